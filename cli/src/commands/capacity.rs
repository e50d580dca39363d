//! Rewrites the tables of the capacity page from the committed measurements.

use super::page::{PageError, fill, load, write_page};
use super::{CommandError, read};
use crate::options::CapacityOptions;
use crate::output::EXIT_REFUSED;
use magnoliawinch_testbed::control::ControlReport;
use std::fmt::Write;
use std::path::Path;
use std::process::ExitCode;

/// The target size.
mod target {
    pub(super) const DAEMONS: f64 = 1_400.0;
    pub(super) const UPSTREAMS_PER_DAEMON: f64 = 12_000.0 / 1_400.0;
    pub(super) const CHANGES_PER_SECOND: f64 = 78_000.0 / 86_400.0;
    pub(super) const REQUESTS_PER_DAEMON: f64 = 68_000.0 / 1_400.0;
    pub(super) const ORGANISATIONS: f64 = 6_000.0;
    pub(super) const CORE_PERCENT: f64 = 2.4;
    pub(super) const BYTES_PER_SECOND: f64 = 3_000.0;
    pub(super) const MEMORY_MB: f64 = 256.0;
}

/// Tokens of each answer in the busy runs.
const BUSY_TOKENS: f64 = 64.0;

/// A line through measurements by least squares.
#[derive(Clone, Copy, Debug)]
struct Fit {
    base: f64,
    slope: f64,
    /// Standard error of the slope.
    error: f64,
}

impl Fit {
    fn new(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        if points.len() < 2 {
            return None;
        }
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let joint: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let slope = joint / spread;
        let base = mean_y - slope * mean_x;
        let left: f64 = points.iter().map(|p| (p.1 - base - slope * p.0).powi(2)).sum();
        let error = (left / (count - 2.0).max(1.0) / spread).sqrt();
        Some(Self { base, slope, error })
    }

    fn at(self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

/// Measurements of one series, ordered by size.
struct Series {
    reports: Vec<ControlReport>,
}

impl Series {
    fn load(directory: &Path, prefix: &'static str) -> Result<Self, CommandError> {
        let mut reports: Vec<ControlReport> = load(directory, prefix)?;
        reports.sort_by_key(|r| {
            let o = &r.options;
            let rate = (o.changes_a_second * 1_000.0) as u64;
            (o.daemons, o.upstreams, o.organisations, rate, o.requests_a_second as u64)
        });
        match reports.len() {
            0 | 1 => Err(PageError::TooFew(prefix).into()),
            _ => Ok(Self { reports }),
        }
    }

    fn fit(
        &self,
        x: impl Fn(&ControlReport) -> f64,
        y: impl Fn(&ControlReport) -> f64,
    ) -> Result<Fit, PageError> {
        let points: Vec<_> = self.reports.iter().map(|r| (x(r), y(r))).collect();
        Fit::new(&points).ok_or(PageError::TooFew("points"))
    }
}

fn core_percent(report: &ControlReport) -> f64 {
    (report.figures.control_core + report.figures.traffic_core) * 100.0
}

fn megabytes(report: &ControlReport) -> f64 {
    report.figures.memory_bytes / 1e6
}

fn bytes(report: &ControlReport) -> f64 {
    report.figures.bytes_per_second
}

/// A table of one series.
fn series_table(series: &Series, name: &str, x: impl Fn(&ControlReport) -> f64) -> String {
    let mut text = format!(
        "| {name} | core % | MB | bytes/s | in force p99 ms | log reads/s | loss known ms | \
         owners moved |\n|---|---|---|---|---|---|---|---|\n"
    );
    for report in &series.reports {
        let f = &report.figures;
        let in_force = match f.changes {
            0 => "-".to_owned(),
            _ => format!("{:.0}", f.in_force_ms_p99),
        };
        let _ = writeln!(
            text,
            "| {} | {:.3} | {:.2} | {:.0} | {in_force} | {:.1} | {:.0} | {:.3} of {:.3} |",
            x(report),
            core_percent(report),
            megabytes(report),
            bytes(report),
            f.log_reads_per_second,
            f.converge_ms,
            f.owners_moved,
            f.owners_of_killed,
        );
    }
    text
}

/// The slopes and what they come to at the target size.
struct Slopes {
    core: Vec<Term>,
    bytes: Vec<Term>,
    memory: Vec<Term>,
}

struct Term {
    name: &'static str,
    slope: f64,
    error: f64,
    size: f64,
}

impl Term {
    fn new(name: &'static str, fit: Fit, size: f64) -> Self {
        Self { name, slope: fit.slope, error: fit.error, size }
    }

    fn base(name: &'static str, value: f64) -> Self {
        Self { name, slope: value, error: 0.0, size: 1.0 }
    }

    fn cost(&self) -> f64 {
        self.slope * self.size
    }
}

struct Data {
    daemons: Series,
    upstreams: Series,
    changes: Series,
    organisations: Series,
    requests: Series,
}

impl Data {
    fn load(directory: &Path) -> Result<Self, CommandError> {
        Ok(Self {
            daemons: Series::load(directory, "daemons-")?,
            upstreams: Series::load(directory, "upstreams-")?,
            changes: Series::load(directory, "changes-")?,
            organisations: Series::load(directory, "organisations-")?,
            requests: Series::load(directory, "requests-")?,
        })
    }

    fn slopes(&self) -> Result<Slopes, PageError> {
        let daemons = |r: &ControlReport| r.options.daemons as f64;
        let per_daemon = |r: &ControlReport| r.options.upstreams as f64 / r.options.daemons as f64;
        let changes = |r: &ControlReport| r.options.changes_a_second;
        let organisations = |r: &ControlReport| r.options.organisations as f64;
        let upstreams = |r: &ControlReport| r.options.upstreams as f64;
        let terms = |y: fn(&ControlReport) -> f64| -> Result<Vec<Term>, PageError> {
            let by_daemons = self.daemons.fit(daemons, y)?;
            Ok(vec![
                Term::base("a daemon by itself", by_daemons.base),
                Term::new("each other daemon", by_daemons, target::DAEMONS),
                Term::new(
                    "each upstream owned",
                    self.upstreams.fit(per_daemon, y)?,
                    target::UPSTREAMS_PER_DAEMON,
                ),
                Term::new(
                    "each change a second",
                    self.changes.fit(changes, y)?,
                    target::CHANGES_PER_SECOND,
                ),
            ])
        };
        let mut memory = terms(megabytes)?;
        memory.truncate(2);
        memory.push(Term::new(
            "each upstream in all",
            self.upstreams.fit(upstreams, megabytes)?,
            target::UPSTREAMS_PER_DAEMON * target::DAEMONS,
        ));
        memory.push(Term::new(
            "each organisation",
            self.organisations.fit(organisations, megabytes)?,
            target::ORGANISATIONS,
        ));
        let mut core = terms(core_percent)?;
        core.push(Term::new(
            "each organisation, at 0.9 changes a second",
            self.organisations.fit(organisations, core_percent)?,
            target::ORGANISATIONS,
        ));
        Ok(Slopes { core, bytes: terms(bytes)?, memory })
    }
}

fn budget_table(terms: &[Term], unit: &str, budget: f64) -> String {
    let mut text = format!("| term | slope | error | size | {unit} |\n|---|---|---|---|---|\n");
    for term in terms {
        let _ = writeln!(
            text,
            "| {} | {:.5} | {:.5} | {:.1} | {:.3} |",
            term.name,
            term.slope,
            term.error,
            term.size,
            term.cost()
        );
    }
    let sum: f64 = terms.iter().map(Term::cost).sum();
    let verdict = if sum <= budget { "within" } else { "**over**" };
    let _ = writeln!(text, "| **sum** | | | | **{sum:.3}**, {verdict} {budget} |");
    text
}

fn requests_table(requests: &Series) -> Result<String, PageError> {
    let rate = |r: &ControlReport| r.options.requests_a_second / r.options.daemons as f64;
    let control = requests.fit(rate, |r| r.figures.control_core * 100.0)?;
    let traffic = requests.fit(rate, |r| r.figures.traffic_core * 100.0)?;
    let bytes = requests.fit(rate, bytes)?;
    let size = target::REQUESTS_PER_DAEMON;
    let mut text = format!(
        "Each request has {BUSY_TOKENS} tokens.\n\n| cost | slope for each request/s | error | at \
         {size:.0} requests/s |\n|---|---|---|---|\n"
    );
    for (name, fit) in [
        ("control thread, % of a core", control),
        ("traffic threads, % of a core", traffic),
        ("loopback bytes/s: tokens, callers and coordination", bytes),
    ] {
        let _ = writeln!(
            text,
            "| {name} | {:.4} | {:.4} | {:.1} |",
            fit.slope,
            fit.error,
            fit.at(size)
        );
    }
    Ok(text)
}

/// Rewrites the page, or checks that it says what the data say.
pub(crate) fn run(options: &CapacityOptions) -> Result<ExitCode, CommandError> {
    let data = Data::load(&options.data)?;
    let slopes = data.slopes()?;
    let old = read(&options.page)?;
    let tables = [
        ("daemons", series_table(&data.daemons, "daemons", |r| r.options.daemons as f64)),
        ("upstreams", series_table(&data.upstreams, "upstreams", |r| r.options.upstreams as f64)),
        ("changes", series_table(&data.changes, "changes/s", |r| r.options.changes_a_second)),
        (
            "organisations",
            series_table(&data.organisations, "organisations", |r| r.options.organisations as f64),
        ),
        ("requests", requests_table(&data.requests)?),
        ("core", budget_table(&slopes.core, "% of a core", target::CORE_PERCENT)),
        ("bytes", budget_table(&slopes.bytes, "bytes/s", target::BYTES_PER_SECOND)),
        ("memory", budget_table(&slopes.memory, "MB", target::MEMORY_MB)),
    ];
    let mut page = old.clone();
    for (name, table) in tables {
        page = fill(&page, name, &table)?;
    }
    if options.check {
        let is_same = page == old;
        println!("the page and the data {}", if is_same { "agree" } else { "differ" });
        return Ok(if is_same { ExitCode::SUCCESS } else { ExitCode::from(EXIT_REFUSED) });
    }
    write_page(&options.page, &page)?;
    Ok(ExitCode::SUCCESS)
}
