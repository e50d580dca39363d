//! The daemon that runs on every entry host.

use gumdrop::Options;
use magnoliawinch_telemetry::init_logging;
use magnoliawinchd::Daemon;
use magnoliawinchd::options::{Arguments, load_settings};
use std::error::Error;
use std::process::ExitCode;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code when the daemon fails to start.
const EXIT_NOT_STARTED: u8 = 2;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    init_logging();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("magnoliawinchd: {e}");
            ExitCode::from(EXIT_NOT_STARTED)
        }
    }
}

fn run(arguments: &Arguments) -> Result<(), Box<dyn Error>> {
    let settings = load_settings(arguments)?;
    let rt = Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    rt.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let daemon = Daemon::start(settings).await?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = daemon.leave_requested() => {}
        }
        daemon.leave().await;
        Ok(())
    })
}
