//! Command-line arguments.

use gumdrop::Options;
use magnoliawinch_experiments::crowd::{Deployment, Policy};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Inspects, configures and measures a deployment.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

/// Subcommands.
#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "validate settings and service files")]
    Check(CheckOptions),
    #[options(help = "publish the service files of a directory")]
    Publish(PublishOptions),
    #[options(help = "show the state of a daemon")]
    Status(OperatorOptions),
    #[options(help = "show the addresses that a host gives its callers")]
    Hosts(HostsOptions),
    #[options(help = "show the logged decisions about one request")]
    Explain(ExplainOptions),
    #[options(help = "count lost and late requests by cause, from daemon logs")]
    Lost(LostOptions),
    #[options(help = "tell a daemon to finish its requests and exit")]
    Drain(OperatorOptions),
    #[options(help = "run daemons, callers and stand-ins in one process")]
    Demo(DemoOptions),
    #[options(help = "generate open-loop load")]
    Load(LoadOptions),
    #[options(help = "run stand-ins for the platform and for upstreams of the sample files")]
    StandIns(StandInsOptions),
    #[options(help = "run an experiment")]
    Experiment(ExperimentOptions),
}

/// Validates settings and service files.
#[derive(Debug, Options)]
pub(crate) struct CheckOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(free, help = "settings (*.settings.ini) and service files (*.service.ini)")]
    pub(crate) files: Vec<PathBuf>,
    #[options(no_short, help = "print JSON")]
    pub(crate) json: bool,
}

/// Counts lost and late requests by cause, or shows the log lines of one request.
#[derive(Debug, Options)]
pub(crate) struct LostOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(free, help = "log files of daemons")]
    pub(crate) files: Vec<PathBuf>,
    #[options(no_short, help = "show the log lines of this request instead", meta = "ID")]
    pub(crate) request: Option<String>,
}

/// Sends a command to a daemon and shows its state.
#[derive(Debug, Options)]
pub(crate) struct OperatorOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(no_short, required, help = "operator address of the daemon", meta = "ADDRESS")]
    pub(crate) daemon: Option<SocketAddr>,
    #[options(no_short, required, help = "file that contains the operators' key", meta = "FILE")]
    pub(crate) key_file: Option<PathBuf>,
    #[options(no_short, help = "print JSON")]
    pub(crate) json: bool,
}

/// Publishes the service files of a directory that differ from the configuration in force.
#[derive(Debug, Options)]
pub(crate) struct PublishOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(free, required, help = "directory to search for *.service.ini files, recursively")]
    pub(crate) directory: Option<PathBuf>,
    #[options(no_short, required, help = "operator address of a daemon", meta = "ADDRESS")]
    pub(crate) daemon: Option<SocketAddr>,
    #[options(no_short, required, help = "file that contains the operators' key", meta = "FILE")]
    pub(crate) key_file: Option<PathBuf>,
    #[options(no_short, help = "author of the change; $USER by default", meta = "NAME")]
    pub(crate) author: Option<String>,
    #[options(no_short, help = "show what would change, without publishing it")]
    pub(crate) dry_run: bool,
    #[options(
        no_short,
        help = "maximum wait for the change to be in force, in seconds",
        default = "10"
    )]
    pub(crate) wait_seconds: u64,
    #[options(no_short, help = "print JSON")]
    pub(crate) json: bool,
}

/// Shows the addresses that a host gives its callers.
#[derive(Debug, Options)]
pub(crate) struct HostsOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(no_short, required, help = "caller address of a daemon", meta = "ADDRESS")]
    pub(crate) host: Option<SocketAddr>,
    #[options(
        no_short,
        required,
        help = "file that contains the organisation's key",
        meta = "FILE"
    )]
    pub(crate) key_file: Option<PathBuf>,
    #[options(no_short, help = "print JSON")]
    pub(crate) json: bool,
}

/// Shows the logged decisions about one request.
#[derive(Debug, Options)]
pub(crate) struct ExplainOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(free, required, help = "request ID, from the response header x-request-id")]
    pub(crate) request: Option<String>,
    #[options(no_short, required, help = "operator address of the daemon", meta = "ADDRESS")]
    pub(crate) daemon: Option<SocketAddr>,
    #[options(no_short, required, help = "file that contains the operators' key", meta = "FILE")]
    pub(crate) key_file: Option<PathBuf>,
    #[options(no_short, help = "print JSON")]
    pub(crate) json: bool,
}

/// Runs stand-ins for the platform and for upstreams of the sample files.
#[derive(Debug, Options)]
pub(crate) struct StandInsOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(free, help = "settings files of the daemons to include in the list of hosts")]
    pub(crate) settings: Vec<PathBuf>,
}

/// Runs daemons, callers and stand-ins in one process, and checks the guarantees.
#[derive(Debug, Options)]
pub(crate) struct DemoOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(
        no_short,
        help = "time during which callers send requests, in seconds",
        default = "10"
    )]
    pub(crate) seconds: u64,
    #[options(no_short, help = "random seed", default = "1")]
    pub(crate) seed: u64,
    #[options(no_short, help = "print JSON")]
    pub(crate) json: bool,
}

/// Generates open-loop load.
#[derive(Debug, Options)]
pub(crate) struct LoadOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(
        no_short,
        help = "caller address of a daemon (repeatable); by default, starts a daemon and an engine",
        meta = "ADDRESS"
    )]
    pub(crate) host: Vec<SocketAddr>,
    #[options(no_short, help = "file that contains the organisation's key", meta = "FILE")]
    pub(crate) key_file: Option<PathBuf>,
    #[options(no_short, help = "service to call", default = "repair-guidance")]
    pub(crate) service: String,
    #[options(no_short, help = "kind of request", default = "walkthrough")]
    pub(crate) kind: String,
    #[options(no_short, help = "requests per second", default = "50")]
    pub(crate) rate: f64,
    #[options(no_short, help = "time during which requests are sent, in seconds", default = "10")]
    pub(crate) seconds: u64,
    #[options(no_short, help = "tokens per generation", default = "64")]
    pub(crate) length: u32,
    #[options(
        no_short,
        help = "duration of an engine step in milliseconds, without --host",
        default = "5"
    )]
    pub(crate) step_ms: f64,
    #[options(no_short, help = "\"direct\" also sends the load directly to the engine")]
    pub(crate) baseline: Option<Baseline>,
    #[options(no_short, help = "random seed of the arrival times", default = "1")]
    pub(crate) seed: u64,
    #[options(no_short, help = "print JSON")]
    pub(crate) json: bool,
}

/// What the load is compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Baseline {
    /// The same load sent directly to the engine.
    Direct,
}

/// Runs an experiment.
#[derive(Debug, Options)]
pub(crate) struct ExperimentOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(command)]
    pub(crate) command: Option<ExperimentCommand>,
}

/// Experiments.
#[derive(Debug, Options)]
pub(crate) enum ExperimentCommand {
    #[options(help = "compare placement policies on contended engines in virtual time")]
    Crowd(CrowdOptions),
    #[options(help = "measure the control overhead of real daemons over loopback")]
    Control(ControlOptions),
    #[options(help = "measure what at-most-once calls cost at the log")]
    Orders(OrdersOptions),
    #[options(help = "compare policies for generations whose engine is reclaimed")]
    Reclaim(ReclaimOptions),
    #[options(help = "rewrite the tables of docs/design/admission.md from docs/crowd")]
    CrowdTable(CrowdTableOptions),
    #[options(help = "rewrite the tables of docs/CAPACITY.md from docs/capacity")]
    Capacity(CapacityOptions),
}

/// Compares placement policies on contended engines in virtual time.
#[derive(Debug, Options)]
pub(crate) struct CrowdOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(no_short, required, help = "peachtree or lo-presti")]
    pub(crate) deployment: Option<Deployment>,
    #[options(no_short, help = "random seed", default = "1")]
    pub(crate) seed: u64,
    #[options(no_short, help = "load as a fraction of capacity", default = "0.9")]
    pub(crate) load: f64,
    #[options(no_short, help = "load during the middle third of the experiment")]
    pub(crate) surge: Option<f64>,
    #[options(no_short, help = "time during which requests arrive, in seconds", default = "600")]
    pub(crate) seconds: u64,
    #[options(no_short, help = "delay of load reports, in milliseconds", default = "500")]
    pub(crate) report_lag_ms: u64,
    #[options(no_short, help = "lose one engine halfway through the experiment")]
    pub(crate) engine_loss: bool,
    #[options(no_short, help = "slow one engine down during the middle third of the experiment")]
    pub(crate) grey_engine: bool,
    #[options(no_short, help = "policy to run (repeatable); all by default")]
    pub(crate) policy: Vec<Policy>,
    #[options(no_short, help = "plot the figures to an SVG file", meta = "FILE")]
    pub(crate) plot: Option<PathBuf>,
    #[options(no_short, help = "print JSON")]
    pub(crate) json: bool,
}

/// Compares policies for generations whose engine is reclaimed.
#[derive(Debug, Options)]
pub(crate) struct ReclaimOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(no_short, required, help = "peachtree or lo-presti")]
    pub(crate) deployment: Option<Deployment>,
    #[options(
        no_short,
        help = "number of simulations of each policy, with seeds from 1 on",
        default = "100"
    )]
    pub(crate) seeds: u64,
    #[options(no_short, help = "request rate relative to the users' data sheets", default = "1")]
    pub(crate) load: f64,
    #[options(
        no_short,
        help = "time during which requests arrive in a simulation, in seconds",
        default = "30"
    )]
    pub(crate) seconds: u64,
    #[options(no_short, help = "print JSON")]
    pub(crate) json: bool,
}

/// Measures the control overhead of real daemons over loopback.
#[derive(Debug, Options)]
pub(crate) struct ControlOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(no_short, help = "number of daemons", default = "9")]
    pub(crate) daemons: usize,
    #[options(no_short, help = "number of upstreams", default = "14")]
    pub(crate) upstreams: usize,
    #[options(no_short, help = "number of organisations", default = "10")]
    pub(crate) organisations: usize,
    #[options(no_short, help = "configuration changes per second", default = "0.9")]
    pub(crate) changes_a_second: f64,
    #[options(no_short, help = "requests per second, over all daemons", default = "0")]
    pub(crate) requests_a_second: f64,
    #[options(no_short, help = "duration of the measurement, in seconds", default = "10")]
    pub(crate) seconds: u64,
    #[options(no_short, help = "print JSON")]
    pub(crate) json: bool,
}

/// Measures what at-most-once calls cost at the log.
#[derive(Debug, Options)]
pub(crate) struct OrdersOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(no_short, help = "orders per second", default = "50")]
    pub(crate) orders_a_second: f64,
    #[options(no_short, help = "time during which orders are sent, in seconds", default = "5")]
    pub(crate) seconds: u64,
    #[options(
        no_short,
        help = "latency of each request to the log, in milliseconds",
        default = "5"
    )]
    pub(crate) log_ms: u64,
    #[options(no_short, help = "kill a daemon halfway through the experiment")]
    pub(crate) kill: bool,
    #[options(no_short, help = "random seed of the arrival times", default = "1")]
    pub(crate) seed: u64,
    #[options(no_short, help = "print JSON")]
    pub(crate) json: bool,
}

/// Rewrites the tables of the capacity page from the measurements.
#[derive(Debug, Options)]
pub(crate) struct CapacityOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(
        no_short,
        help = "directory of the measurements",
        default = "docs/capacity",
        meta = "DIR"
    )]
    pub(crate) data: PathBuf,
    #[options(no_short, help = "page to rewrite", default = "docs/CAPACITY.md", meta = "FILE")]
    pub(crate) page: PathBuf,
    #[options(no_short, help = "change nothing; fail if the page differs from the measurements")]
    pub(crate) check: bool,
}

/// Rewrites the tables of the admission page from the reports of `experiment crowd`.
#[derive(Debug, Options)]
pub(crate) struct CrowdTableOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(no_short, help = "directory of the reports", default = "docs/crowd", meta = "DIR")]
    pub(crate) data: PathBuf,
    #[options(
        no_short,
        help = "page to rewrite",
        default = "docs/design/admission.md",
        meta = "FILE"
    )]
    pub(crate) page: PathBuf,
}
