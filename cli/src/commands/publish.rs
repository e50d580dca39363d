//! Publishes the service files of a directory.

use super::check::is_service_file;
use super::{CommandError, block_on, operator_client, read_file};
use crate::options::PublishOptions;
use crate::output::{EXIT_REFUSED, print_json};
use magnoliawinch::catalogue::{Change, Offset};
use magnoliawinch::ini::Document;
use magnoliawinch::names::ServiceName;
use magnoliawinch::service_file::ServiceSpec;
use magnoliawinch_operator::client::OperatorClient;
use magnoliawinch_operator::{InForce, Published};
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Interval at which the daemon is asked whether a change is in force everywhere.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The outcome for one file.
#[derive(Debug, Serialize)]
struct Outcome {
    file: PathBuf,
    service: ServiceName,
    /// Added or changed sections.
    put: Vec<String>,
    /// Removed sections.
    removed: Vec<String>,
    published: Option<Published>,
    in_force: Option<InForce>,
    in_force_after_ms: Option<u128>,
}

/// Returns the service files in `directory` and its subdirectories, sorted.
fn find_service_files(directory: &Path) -> Result<Vec<PathBuf>, CommandError> {
    let read_error = |source| CommandError::Read { path: directory.to_owned(), source };
    let mut files = Vec::new();
    for entry in std::fs::read_dir(directory).map_err(read_error)? {
        let path = entry.map_err(read_error)?.path();
        if path.is_dir() {
            files.extend(find_service_files(&path)?);
        } else if is_service_file(&path) {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

/// A parsed and validated service file.
struct ServiceFile {
    path: PathBuf,
    name: ServiceName,
    document: Document,
}

/// Reads all service files; fails if any of them is invalid, after printing every error.
fn read_service_files(directory: &Path) -> Result<Vec<ServiceFile>, CommandError> {
    let paths = find_service_files(directory)?;
    if paths.is_empty() {
        return Err(CommandError::NoFiles(directory.to_owned()));
    }
    let total = paths.len();
    let mut files = Vec::new();
    for path in paths {
        let text = read_file(&path)?;
        let parsed = Document::parse(&text)
            .and_then(|document| Ok((ServiceSpec::from_document(&document)?.name, document)));
        match parsed {
            Ok((name, document)) => files.push(ServiceFile { path, name, document }),
            Err(e) => eprintln!("{}: {e}", path.display()),
        }
    }
    match total - files.len() {
        0 => Ok(files),
        count => Err(CommandError::BadFiles { count, total }),
    }
}

/// Publishes every file that differs from the configuration in force.
pub(crate) fn run(options: &PublishOptions) -> Result<ExitCode, CommandError> {
    let directory = options.directory.as_deref().ok_or(CommandError::MissingArgument("DIR"))?;
    let files = read_service_files(directory)?;
    let operator = operator_client(options.daemon, options.key_file.as_deref())?;
    let outcomes = block_on(async {
        let mut outcomes = Vec::new();
        for file in files {
            outcomes.push(publish(options, &operator, file).await?);
        }
        Ok::<_, CommandError>(outcomes)
    })??;
    match options.json {
        true => print_json(&outcomes),
        false => outcomes.iter().for_each(print),
    }
    let is_refused = |outcome: &Outcome| {
        matches!(outcome.published, Some(Published::Refused { .. } | Published::Unknown { .. }))
    };
    match outcomes.iter().any(is_refused) {
        true => Ok(ExitCode::from(EXIT_REFUSED)),
        false => Ok(ExitCode::SUCCESS),
    }
}

async fn publish(
    options: &PublishOptions,
    operator: &OperatorClient,
    file: ServiceFile,
) -> Result<Outcome, CommandError> {
    let current = operator.service(file.name.as_str()).await?;
    let change = Change::between(&file.name, current.revision, &current.document, &file.document);
    let mut outcome = Outcome {
        file: file.path,
        service: file.name,
        put: Vec::new(),
        removed: Vec::new(),
        published: None,
        in_force: None,
        in_force_after_ms: None,
    };
    let Some(change) = change else {
        return Ok(outcome);
    };
    outcome.put = change.put.keys().cloned().collect();
    outcome.removed.clone_from(&change.remove);
    if options.dry_run {
        return Ok(outcome);
    }
    let author = options.author.clone().or_else(|| std::env::var("USER").ok());
    let change = change.with_author(0, &author.unwrap_or_else(|| "operator".to_owned()));
    let started = Instant::now();
    let published = operator.publish(change).await?;
    if let Published::Accepted { revision } = published {
        let timeout = Duration::from_secs(options.wait_seconds);
        let in_force = wait_until_in_force(operator, revision, started, timeout).await?;
        outcome.in_force_after_ms =
            in_force.behind.is_empty().then(|| started.elapsed().as_millis());
        outcome.in_force = Some(in_force);
    }
    outcome.published = Some(published);
    Ok(outcome)
}

/// Polls until the revision is in force on all hosts or `timeout` has passed since `started`.
async fn wait_until_in_force(
    operator: &OperatorClient,
    revision: Offset,
    started: Instant,
    timeout: Duration,
) -> Result<InForce, CommandError> {
    loop {
        let in_force = operator.in_force(revision).await?;
        if in_force.behind.is_empty() || started.elapsed() >= timeout {
            return Ok(in_force);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn print(outcome: &Outcome) {
    println!("{} ({})", outcome.service, outcome.file.display());
    outcome.put.iter().for_each(|section| println!("  changed [{section}]"));
    outcome.removed.iter().for_each(|section| println!("  removed [{section}]"));
    match &outcome.published {
        None if outcome.put.is_empty() && outcome.removed.is_empty() => {
            println!("  no change");
        }
        None => println!("  not published"),
        Some(Published::Accepted { revision }) => println!("  accepted as {}", revision.0),
        Some(Published::Refused { reason }) => println!("  refused: {reason}"),
        Some(Published::Unknown { reason }) => println!("  unknown: {reason}"),
    }
    if let Some(in_force) = &outcome.in_force {
        let names = |hosts: &[magnoliawinch::names::HostName]| {
            hosts.iter().map(|host| host.as_str().to_owned()).collect::<Vec<_>>().join(", ")
        };
        println!("  in force on {}", names(&in_force.reached));
        if !in_force.behind.is_empty() {
            println!("  not in force on {}", names(&in_force.behind));
        }
    }
    if let Some(ms) = outcome.in_force_after_ms {
        println!("  in force everywhere after {ms} ms");
    }
}
