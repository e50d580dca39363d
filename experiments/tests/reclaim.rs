//! Tests of the reclaim experiment with short simulations.

use magnoliawinch_experiments::crowd::Deployment;
use magnoliawinch_experiments::reclaim::{Figures, Options, Policy, Report, run};

fn simulate(deployment: Deployment) -> Report {
    run(&Options { deployment, seeds: 2, load: 0.7, seconds: 10 })
}

fn figures(report: &Report, policy: Policy) -> &Figures {
    &report.rows.iter().find(|row| row.policy == policy).unwrap().figures
}

#[test]
fn request_outcomes_add_up_under_every_policy() {
    for deployment in [Deployment::Peachtree, Deployment::LoPresti] {
        let report = simulate(deployment);
        let long = figures(&report, Policy::None).long;
        assert!(long > 200, "{long}");
        for row in &report.rows {
            let f = &row.figures;
            assert_eq!(f.long, long, "{}", row.policy);
            assert!(f.long_late + f.long_refused + f.long_lost <= long, "{}", row.policy);
            assert!(f.earned <= f.owed, "{}", row.policy);
        }
    }
}

/// A sixth of the engines is reclaimed every 3.3 s, while answers take longer than that.
#[test]
fn moved_generations_survive_reclaims() {
    let report = simulate(Deployment::Peachtree);
    let (none, moves) = (figures(&report, Policy::None), figures(&report, Policy::Moves));
    assert!(none.reclaimed.hit > 40, "{}", none.reclaimed.hit);
    assert_eq!(none.reclaimed.whole, 0);
    assert!(moves.reclaimed.on_time_fraction() > 0.6, "{}", moves.reclaimed.on_time_fraction());
    assert!(moves.earned_fraction() > none.earned_fraction() + 0.05);
    assert_eq!(figures(&report, Policy::Undisturbed).long_lost, 0);
}

/// Engines crash without notice while much of the memory is idle, so most runs have a backup.
#[test]
fn only_generations_with_backups_survive_crashes() {
    let idle = Options { deployment: Deployment::LoPresti, seeds: 3, load: 0.35, seconds: 30 };
    let report = run(&idle);
    assert_eq!(figures(&report, Policy::Moves).crashed.whole, 0);
    let crashed = figures(&report, Policy::Backups).crashed;
    assert!(crashed.hit > 4 && crashed.whole * 2 >= crashed.hit, "{crashed:?}");
}

#[test]
fn equal_seeds_give_equal_figures() {
    let row = |report: &Report| format!("{:?}", report.rows);
    assert_eq!(row(&simulate(Deployment::Peachtree)), row(&simulate(Deployment::Peachtree)));
}
