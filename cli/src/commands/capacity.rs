//! Rewrites the tables of the capacity page from the committed measurements.

use super::page::{PageError, load_reports, replace_table, write_page};
use super::{CommandError, read_file};
use crate::options::CapacityOptions;
use crate::output::EXIT_REFUSED;
use magnoliawinch_testbed::control::ControlReport;
use std::fmt::Write;
use std::path::Path;
use std::process::ExitCode;

/// Target scale of a deployment, and the budgets of one daemon at that scale.
mod target {
    pub(super) const DAEMONS: f64 = 1_400.0;
    pub(super) const UPSTREAMS_PER_DAEMON: f64 = 12_000.0 / 1_400.0;
    pub(super) const CHANGES_PER_SECOND: f64 = 78_000.0 / 86_400.0;
    pub(super) const REQUESTS_PER_SECOND_PER_DAEMON: f64 = 68_000.0 / 1_400.0;
    pub(super) const ORGANISATIONS: f64 = 6_000.0;
    pub(super) const CORE_PERCENT_BUDGET: f64 = 2.4;
    pub(super) const BYTES_PER_SECOND_BUDGET: f64 = 3_000.0;
    pub(super) const MEMORY_BUDGET_MB: f64 = 256.0;
}

/// Tokens per generation in the `requests` series.
const TOKENS_PER_GENERATION: f64 = 64.0;

/// Least-squares fit of a line.
#[derive(Clone, Copy, Debug)]
struct LinearFit {
    intercept: f64,
    slope: f64,
    /// Standard error of the slope.
    slope_error: f64,
}

impl LinearFit {
    fn new(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        if points.len() < 2 {
            return None;
        }
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let sum_xy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let slope = sum_xy / sum_xx;
        let intercept = mean_y - slope * mean_x;
        let squared_residuals: f64 =
            points.iter().map(|p| (p.1 - intercept - slope * p.0).powi(2)).sum();
        let slope_error = (squared_residuals / (count - 2.0).max(1.0) / sum_xx).sqrt();
        Some(Self { intercept, slope, slope_error })
    }

    fn value_at(self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// The measurements of one series, sorted by the parameter that it varies.
struct Series {
    reports: Vec<ControlReport>,
}

impl Series {
    fn load(directory: &Path, prefix: &'static str) -> Result<Self, CommandError> {
        let mut reports: Vec<ControlReport> = load_reports(directory, prefix)?;
        reports.sort_by_key(|r| {
            let o = &r.options;
            let changes_per_1000_s = (o.changes_a_second * 1_000.0) as u64;
            (
                o.daemons,
                o.upstreams,
                o.organisations,
                changes_per_1000_s,
                o.requests_a_second as u64,
            )
        });
        match reports.len() {
            0 | 1 => Err(PageError::TooFewMeasurements(prefix).into()),
            _ => Ok(Self { reports }),
        }
    }

    fn fit(
        &self,
        x: impl Fn(&ControlReport) -> f64,
        y: impl Fn(&ControlReport) -> f64,
    ) -> Result<LinearFit, PageError> {
        let points: Vec<_> = self.reports.iter().map(|r| (x(r), y(r))).collect();
        LinearFit::new(&points).ok_or(PageError::TooFewMeasurements("points"))
    }
}

/// CPU time of a daemon, in percent of one core.
fn core_percent(report: &ControlReport) -> f64 {
    (report.figures.control_core + report.figures.traffic_core) * 100.0
}

fn megabytes(report: &ControlReport) -> f64 {
    report.figures.memory_bytes / 1e6
}

fn bytes_per_second(report: &ControlReport) -> f64 {
    report.figures.bytes_per_second
}

/// Formats one row per measurement; `x` returns the parameter that the series varies.
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
            bytes_per_second(report),
            f.log_reads_per_second,
            f.converge_ms,
            f.owners_moved,
            f.owners_of_killed,
        );
    }
    text
}

/// Linear cost model of one daemon, fitted to the measurements.
struct CostModel {
    /// CPU time, in percent of a core.
    core: Vec<CostTerm>,
    /// Traffic, in bytes per second.
    bytes: Vec<CostTerm>,
    /// Resident memory, in megabytes.
    memory: Vec<CostTerm>,
}

/// The cost of one parameter: its slope times its value at the target scale.
struct CostTerm {
    name: &'static str,
    slope: f64,
    slope_error: f64,
    target: f64,
}

impl CostTerm {
    fn new(name: &'static str, fit: LinearFit, target: f64) -> Self {
        Self { name, slope: fit.slope, slope_error: fit.slope_error, target }
    }

    fn constant(name: &'static str, value: f64) -> Self {
        Self { name, slope: value, slope_error: 0.0, target: 1.0 }
    }

    fn cost(&self) -> f64 {
        self.slope * self.target
    }
}

/// The committed measurements.
struct Measurements {
    daemons: Series,
    upstreams: Series,
    changes: Series,
    organisations: Series,
    requests: Series,
}

impl Measurements {
    fn load(directory: &Path) -> Result<Self, CommandError> {
        Ok(Self {
            daemons: Series::load(directory, "daemons-")?,
            upstreams: Series::load(directory, "upstreams-")?,
            changes: Series::load(directory, "changes-")?,
            organisations: Series::load(directory, "organisations-")?,
            requests: Series::load(directory, "requests-")?,
        })
    }

    fn cost_model(&self) -> Result<CostModel, PageError> {
        let daemons = |r: &ControlReport| r.options.daemons as f64;
        let upstreams_per_daemon =
            |r: &ControlReport| r.options.upstreams as f64 / r.options.daemons as f64;
        let changes = |r: &ControlReport| r.options.changes_a_second;
        let organisations = |r: &ControlReport| r.options.organisations as f64;
        let upstreams = |r: &ControlReport| r.options.upstreams as f64;
        let terms = |y: fn(&ControlReport) -> f64| -> Result<Vec<CostTerm>, PageError> {
            let by_daemons = self.daemons.fit(daemons, y)?;
            Ok(vec![
                CostTerm::constant("a daemon by itself", by_daemons.intercept),
                CostTerm::new("each other daemon", by_daemons, target::DAEMONS),
                CostTerm::new(
                    "each upstream owned",
                    self.upstreams.fit(upstreams_per_daemon, y)?,
                    target::UPSTREAMS_PER_DAEMON,
                ),
                CostTerm::new(
                    "each change a second",
                    self.changes.fit(changes, y)?,
                    target::CHANGES_PER_SECOND,
                ),
            ])
        };
        let mut memory = terms(megabytes)?;
        memory.truncate(2);
        memory.push(CostTerm::new(
            "each upstream in all",
            self.upstreams.fit(upstreams, megabytes)?,
            target::UPSTREAMS_PER_DAEMON * target::DAEMONS,
        ));
        memory.push(CostTerm::new(
            "each organisation",
            self.organisations.fit(organisations, megabytes)?,
            target::ORGANISATIONS,
        ));
        let mut core = terms(core_percent)?;
        core.push(CostTerm::new(
            "each organisation, at 0.9 changes a second",
            self.organisations.fit(organisations, core_percent)?,
            target::ORGANISATIONS,
        ));
        Ok(CostModel { core, bytes: terms(bytes_per_second)?, memory })
    }
}

fn budget_table(terms: &[CostTerm], unit: &str, budget: f64) -> String {
    let mut text = format!("| term | slope | error | size | {unit} |\n|---|---|---|---|---|\n");
    for term in terms {
        let _ = writeln!(
            text,
            "| {} | {:.5} | {:.5} | {:.1} | {:.3} |",
            term.name,
            term.slope,
            term.slope_error,
            term.target,
            term.cost()
        );
    }
    let sum: f64 = terms.iter().map(CostTerm::cost).sum();
    let verdict = if sum <= budget { "within" } else { "**over**" };
    let _ = writeln!(text, "| **sum** | | | | **{sum:.3}**, {verdict} {budget} |");
    text
}

fn requests_table(requests: &Series) -> Result<String, PageError> {
    let rate = |r: &ControlReport| r.options.requests_a_second / r.options.daemons as f64;
    let control = requests.fit(rate, |r| r.figures.control_core * 100.0)?;
    let traffic = requests.fit(rate, |r| r.figures.traffic_core * 100.0)?;
    let bytes = requests.fit(rate, bytes_per_second)?;
    let size = target::REQUESTS_PER_SECOND_PER_DAEMON;
    let mut text = format!(
        "Each request has {TOKENS_PER_GENERATION} tokens.\n\n\
         | cost | slope for each request/s | error | at {size:.0} requests/s |\n|---|---|---|---|\n"
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
            fit.slope_error,
            fit.value_at(size)
        );
    }
    Ok(text)
}

/// Rewrites the page, or with `--check` compares it with the measurements.
pub(crate) fn run(options: &CapacityOptions) -> Result<ExitCode, CommandError> {
    let data = Measurements::load(&options.data)?;
    let costs = data.cost_model()?;
    let old_page = read_file(&options.page)?;
    let tables = [
        ("daemons", series_table(&data.daemons, "daemons", |r| r.options.daemons as f64)),
        ("upstreams", series_table(&data.upstreams, "upstreams", |r| r.options.upstreams as f64)),
        ("changes", series_table(&data.changes, "changes/s", |r| r.options.changes_a_second)),
        (
            "organisations",
            series_table(&data.organisations, "organisations", |r| r.options.organisations as f64),
        ),
        ("requests", requests_table(&data.requests)?),
        ("core", budget_table(&costs.core, "% of a core", target::CORE_PERCENT_BUDGET)),
        ("bytes", budget_table(&costs.bytes, "bytes/s", target::BYTES_PER_SECOND_BUDGET)),
        ("memory", budget_table(&costs.memory, "MB", target::MEMORY_BUDGET_MB)),
    ];
    let mut page = old_page.clone();
    for (name, table) in tables {
        page = replace_table(&page, name, &table)?;
    }
    if options.check {
        let is_same = page == old_page;
        println!("the page and the data {}", if is_same { "agree" } else { "differ" });
        return Ok(if is_same { ExitCode::SUCCESS } else { ExitCode::from(EXIT_REFUSED) });
    }
    write_page(&options.page, &page)?;
    Ok(ExitCode::SUCCESS)
}
