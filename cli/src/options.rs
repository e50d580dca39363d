//! Arguments of the command line.

use gumdrop::Options;
use magnoliawinch_experiments::crowd::{Deployment, Policy};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Arguments before the command.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

/// The commands.
#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "validate settings and service files")]
    Check(CheckOptions),
    #[options(help = "publish the service files of a directory")]
    Publish(PublishOptions),
    #[options(help = "show the state of a daemon")]
    Status(OperatorOptions),
    #[options(help = "show which addresses a caller would be told")]
    Hosts(HostsOptions),
    #[options(help = "show the decisions about one request")]
    Explain(ExplainOptions),
    #[options(help = "explain lost and late requests from the daemons' logs")]
    Lost(LostOptions),
    #[options(help = "let a daemon finish its requests and end")]
    Drain(OperatorOptions),
    #[options(help = "run daemons, callers and stand-ins in one process")]
    Demo(DemoOptions),
    #[options(help = "send open-loop load")]
    Load(LoadOptions),
    #[options(help = "run stand-ins for the platform and the sample files' upstreams")]
    StandIns(StandInsOptions),
    #[options(help = "run an experiment")]
    Experiment(ExperimentOptions),
}

/// Arguments of `check`.
#[derive(Debug, Options)]
pub(crate) struct CheckOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(free, help = "settings (*.settings.ini) and service files (*.service.ini)")]
    pub(crate) files: Vec<PathBuf>,
    #[options(no_short, help = "print JSON")]
    pub(crate) json: bool,
}

/// Arguments of `lost`.
#[derive(Debug, Options)]
pub(crate) struct LostOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(free, help = "logs of daemons")]
    pub(crate) files: Vec<PathBuf>,
    #[options(no_short, help = "show the lines of one request", meta = "ID")]
    pub(crate) request: Option<String>,
}

/// Arguments of commands that ask a daemon.
#[derive(Debug, Options)]
pub(crate) struct OperatorOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(no_short, required, help = "the daemon's operator address", meta = "ADDRESS")]
    pub(crate) daemon: Option<SocketAddr>,
    #[options(no_short, required, help = "file with the operators' key", meta = "FILE")]
    pub(crate) key_file: Option<PathBuf>,
    #[options(no_short, help = "print JSON")]
    pub(crate) json: bool,
}

/// Arguments of `publish`.
#[derive(Debug, Options)]
pub(crate) struct PublishOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(free, required, help = "directory to collect *.service.ini from")]
    pub(crate) directory: Option<PathBuf>,
    #[options(no_short, required, help = "a daemon's operator address", meta = "ADDRESS")]
    pub(crate) daemon: Option<SocketAddr>,
    #[options(no_short, required, help = "file with the operators' key", meta = "FILE")]
    pub(crate) key_file: Option<PathBuf>,
    #[options(no_short, help = "who publishes; the user's name by default", meta = "NAME")]
    pub(crate) author: Option<String>,
    #[options(no_short, help = "show what would change and stop")]
    pub(crate) dry_run: bool,
    #[options(no_short, help = "seconds to wait until it is in force", default = "10")]
    pub(crate) wait_seconds: u64,
    #[options(no_short, help = "print JSON")]
    pub(crate) json: bool,
}

/// Arguments of `hosts`.
#[derive(Debug, Options)]
pub(crate) struct HostsOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(no_short, required, help = "a daemon's caller address", meta = "ADDRESS")]
    pub(crate) host: Option<SocketAddr>,
    #[options(no_short, required, help = "file with the organisation's key", meta = "FILE")]
    pub(crate) key_file: Option<PathBuf>,
    #[options(no_short, help = "print JSON")]
    pub(crate) json: bool,
}

/// Arguments of `explain`.
#[derive(Debug, Options)]
pub(crate) struct ExplainOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(free, required, help = "the request's id, from the header x-request-id")]
    pub(crate) request: Option<String>,
    #[options(no_short, required, help = "the daemon's operator address", meta = "ADDRESS")]
    pub(crate) daemon: Option<SocketAddr>,
    #[options(no_short, required, help = "file with the operators' key", meta = "FILE")]
    pub(crate) key_file: Option<PathBuf>,
    #[options(no_short, help = "print JSON")]
    pub(crate) json: bool,
}

/// Arguments of `stand-ins`.
#[derive(Debug, Options)]
pub(crate) struct StandInsOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(free, help = "settings files of the daemons that the list is to name")]
    pub(crate) settings: Vec<PathBuf>,
}

/// Arguments of `demo`.
#[derive(Debug, Options)]
pub(crate) struct DemoOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(no_short, help = "how long callers send requests", default = "10")]
    pub(crate) seconds: u64,
    #[options(no_short, help = "seed of all chance", default = "1")]
    pub(crate) seed: u64,
    #[options(no_short, help = "print JSON")]
    pub(crate) json: bool,
}

/// Arguments of `load`.
#[derive(Debug, Options)]
pub(crate) struct LoadOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(
        no_short,
        help = "daemons' caller addresses; a daemon and an engine of its own when absent",
        meta = "ADDRESS"
    )]
    pub(crate) host: Vec<SocketAddr>,
    #[options(no_short, help = "file with the organisation's key", meta = "FILE")]
    pub(crate) key_file: Option<PathBuf>,
    #[options(no_short, help = "the service", default = "repair-guidance")]
    pub(crate) service: String,
    #[options(no_short, help = "the kind", default = "walkthrough")]
    pub(crate) kind: String,
    #[options(no_short, help = "requests a second", default = "50")]
    pub(crate) rate: f64,
    #[options(no_short, help = "how long requests are started", default = "10")]
    pub(crate) seconds: u64,
    #[options(no_short, help = "tokens of each answer", default = "64")]
    pub(crate) length: u32,
    #[options(no_short, help = "milliseconds of an engine step, without --host", default = "5")]
    pub(crate) step_ms: f64,
    #[options(no_short, help = "\"direct\" also sends the load straight to the engine")]
    pub(crate) baseline: Option<Baseline>,
    #[options(no_short, help = "seed of the arrivals", default = "1")]
    pub(crate) seed: u64,
    #[options(no_short, help = "print JSON")]
    pub(crate) json: bool,
}

/// What a load is compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Baseline {
    /// The same load straight to the engine.
    Direct,
}

/// Arguments of `experiment`.
#[derive(Debug, Options)]
pub(crate) struct ExperimentOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(command)]
    pub(crate) command: Option<ExperimentCommand>,
}

/// The experiments.
#[derive(Debug, Options)]
pub(crate) enum ExperimentCommand {
    #[options(help = "compare policies on crowded engines under a virtual clock")]
    Crowd(CrowdOptions),
    #[options(help = "measure what control costs on real daemons over loopback")]
    Control(ControlOptions),
    #[options(help = "measure what calls that run at most once cost at the log")]
    Orders(OrdersOptions),
    #[options(help = "compare what is done for generations whose engine is taken away")]
    Reclaim(ReclaimOptions),
    #[options(help = "rewrite the tables of docs/design/admission.md from docs/crowd")]
    CrowdTable(CrowdTableOptions),
    #[options(help = "rewrite the tables of docs/CAPACITY.md from docs/capacity")]
    Capacity(CapacityOptions),
}

/// Arguments of `experiment crowd`.
#[derive(Debug, Options)]
pub(crate) struct CrowdOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(no_short, required, help = "peachtree or lo-presti")]
    pub(crate) deployment: Option<Deployment>,
    #[options(no_short, help = "seed of all chance", default = "1")]
    pub(crate) seed: u64,
    #[options(no_short, help = "load as a part of capacity", default = "0.9")]
    pub(crate) load: f64,
    #[options(no_short, help = "load in the middle third of the time")]
    pub(crate) surge: Option<f64>,
    #[options(no_short, help = "seconds of arrivals", default = "600")]
    pub(crate) seconds: u64,
    #[options(no_short, help = "lag of load reports", default = "500")]
    pub(crate) report_lag_ms: u64,
    #[options(no_short, help = "one engine dies at half the time")]
    pub(crate) engine_loss: bool,
    #[options(no_short, help = "one engine is slow in the second third of the time")]
    pub(crate) grey_engine: bool,
    #[options(no_short, help = "only these policies")]
    pub(crate) policy: Vec<Policy>,
    #[options(no_short, help = "draw the figures into an SVG file", meta = "FILE")]
    pub(crate) plot: Option<PathBuf>,
    #[options(no_short, help = "print JSON")]
    pub(crate) json: bool,
}

/// Arguments of `experiment reclaim`.
#[derive(Debug, Options)]
pub(crate) struct ReclaimOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(no_short, required, help = "peachtree or lo-presti")]
    pub(crate) deployment: Option<Deployment>,
    #[options(no_short, help = "days to play, each with a seed of its own", default = "100")]
    pub(crate) seeds: u64,
    #[options(no_short, help = "requests as a part of the user's sheet", default = "1")]
    pub(crate) load: f64,
    #[options(no_short, help = "seconds of arrivals of a day", default = "30")]
    pub(crate) seconds: u64,
    #[options(no_short, help = "print JSON")]
    pub(crate) json: bool,
}

/// Arguments of `experiment control`.
#[derive(Debug, Options)]
pub(crate) struct ControlOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(no_short, help = "daemons", default = "9")]
    pub(crate) daemons: usize,
    #[options(no_short, help = "upstreams", default = "14")]
    pub(crate) upstreams: usize,
    #[options(no_short, help = "organisations", default = "10")]
    pub(crate) organisations: usize,
    #[options(no_short, help = "changes of the configuration", default = "0.9")]
    pub(crate) changes_a_second: f64,
    #[options(no_short, help = "requests over all daemons", default = "0")]
    pub(crate) requests_a_second: f64,
    #[options(no_short, help = "how long to measure", default = "10")]
    pub(crate) seconds: u64,
    #[options(no_short, help = "print JSON")]
    pub(crate) json: bool,
}

/// Arguments of `experiment orders`.
#[derive(Debug, Options)]
pub(crate) struct OrdersOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(no_short, help = "orders", default = "50")]
    pub(crate) orders_a_second: f64,
    #[options(no_short, help = "how long orders are sent", default = "5")]
    pub(crate) seconds: u64,
    #[options(no_short, help = "time that the log takes for each request", default = "5")]
    pub(crate) log_ms: u64,
    #[options(no_short, help = "a daemon is killed at half the time")]
    pub(crate) kill: bool,
    #[options(no_short, help = "seed of the arrivals", default = "1")]
    pub(crate) seed: u64,
    #[options(no_short, help = "print JSON")]
    pub(crate) json: bool,
}

/// Arguments of `experiment capacity`.
#[derive(Debug, Options)]
pub(crate) struct CapacityOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(no_short, help = "measurements", default = "docs/capacity", meta = "DIR")]
    pub(crate) data: PathBuf,
    #[options(no_short, help = "the page", default = "docs/CAPACITY.md", meta = "FILE")]
    pub(crate) page: PathBuf,
    #[options(no_short, help = "fail when the page differs from the data, and change nothing")]
    pub(crate) check: bool,
}

/// Arguments of `experiment crowd-table`.
#[derive(Debug, Options)]
pub(crate) struct CrowdTableOptions {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(no_short, help = "runs", default = "docs/crowd", meta = "DIR")]
    pub(crate) data: PathBuf,
    #[options(no_short, help = "the page", default = "docs/design/admission.md", meta = "FILE")]
    pub(crate) page: PathBuf,
}
