//! Rewrites the tables of the admission page from the committed reports of `experiment crowd`.

use super::page::{load_reports, replace_table, write_page};
use super::{CommandError, read_file};
use crate::options::CrowdTableOptions;
use magnoliawinch_experiments::crowd::{Deployment, Figures, Policy, Report};
use std::fmt::Write;
use std::process::ExitCode;

/// Reports of one deployment at one load, sorted by seed.
struct Group<'a> {
    deployment: Deployment,
    load: f64,
    reports: Vec<&'a Report>,
}

fn group_reports(reports: &[Report]) -> Vec<Group<'_>> {
    let mut groups: Vec<Group<'_>> = Vec::new();
    for report in reports {
        let (deployment, load) = (report.options.deployment, report.options.load);
        let is_same = |g: &&mut Group<'_>| g.deployment == deployment && g.load == load;
        match groups.iter_mut().find(is_same) {
            Some(group) => group.reports.push(report),
            None => groups.push(Group { deployment, load, reports: vec![report] }),
        }
    }
    for group in &mut groups {
        group.reports.sort_by_key(|report| report.options.seed);
    }
    groups
}

fn figures(report: &Report, policy: Policy) -> Option<&Figures> {
    report.rows.iter().find(|row| row.policy == policy).map(|row| &row.figures)
}

impl Group<'_> {
    fn mean(&self, policy: Policy, value: impl Fn(&Figures) -> f64) -> f64 {
        let values: Vec<_> =
            self.reports.iter().filter_map(|r| figures(r, policy)).map(value).collect();
        values.iter().sum::<f64>() / values.len().max(1) as f64
    }
}

fn means_table(groups: &[Group<'_>]) -> String {
    let mut text = String::new();
    for group in groups {
        let _ = writeln!(
            text,
            "**{} at load {}**, means of {} seeds\n\n| policy | score | stall p99 ms | preemptions \
             | gap p95 ms | gap p99 ms | first p95 ms | goodput | refused | prefix hits | \
             fairness |\n|---|---|---|---|---|---|---|---|---|---|---|",
            group.deployment,
            group.load,
            group.reports.len()
        );
        for policy in Policy::all() {
            let mean = |value: fn(&Figures) -> f64| group.mean(policy, value);
            let _ = writeln!(
                text,
                "| {policy} | {:.2} | {:.0} | {:.1} | {:.1} | {:.1} | {:.0} | {:.3} | {:.0} | \
                 {:.2} | {:.3} |",
                mean(|f| f.score),
                mean(|f| f.stall_ms_p99),
                mean(|f| f.preemptions as f64),
                mean(|f| f.inter_token_ms_p95),
                mean(|f| f.inter_token_ms_p99),
                mean(|f| f.first_token_ms_p95),
                mean(|f| f.goodput),
                mean(|f| f.refused as f64),
                mean(|f| f.prefix_hit_ratio),
                mean(|f| f.fairness),
            );
        }
        text.push('\n');
    }
    text
}

/// Compares each seed under the current policy with the better of least-outstanding and
/// power-of-two-choices, figure by figure.
fn seeds_table(groups: &[Group<'_>]) -> String {
    let mut text = "| deployment | load | seed | score, current over best | preemptions, current / \
                    best | gap p99 ms | stall p99 ms | goodput |\n|---|---|---|---|---|---|---|---|\n"
        .to_owned();
    for group in groups {
        for report in &group.reports {
            let compared = (
                figures(report, Policy::Current),
                figures(report, Policy::LeastOutstanding),
                figures(report, Policy::PowerOfTwo),
            );
            let (Some(current), Some(least_outstanding), Some(power_of_two)) = compared else {
                continue;
            };
            let best =
                |value: fn(&Figures) -> f64| value(least_outstanding).min(value(power_of_two));
            let _ = writeln!(
                text,
                "| {} | {} | {} | {:.2} | {} / {} | {:.1} / {:.1} | {:.0} / {:.0} | {:.3} / {:.3} |",
                group.deployment,
                group.load,
                report.options.seed,
                current.score / best(|f| f.score),
                current.preemptions,
                least_outstanding.preemptions.min(power_of_two.preemptions),
                current.inter_token_ms_p99,
                best(|f| f.inter_token_ms_p99),
                current.stall_ms_p99,
                best(|f| f.stall_ms_p99),
                current.goodput,
                least_outstanding.goodput.max(power_of_two.goodput),
            );
        }
    }
    text
}

pub(crate) fn run(options: &CrowdTableOptions) -> Result<ExitCode, CommandError> {
    let reports: Vec<Report> = load_reports(&options.data, "")?;
    let groups = group_reports(&reports);
    let page = read_file(&options.page)?;
    let page = replace_table(&page, "means", &means_table(&groups))?;
    let page = replace_table(&page, "seeds", &seeds_table(&groups))?;
    write_page(&options.page, &page)?;
    Ok(ExitCode::SUCCESS)
}
