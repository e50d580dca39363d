//! Retries are limited by verdicts, deadlines and budgets.

use magnoliawinch::retry::{
    AttemptHistory, RetryBudget, SharedRetryBudget, SharedRetryLimits, retry_delay,
};
use magnoliawinch::time::{Millis, Time};
use magnoliawinch::verdict::Verdict;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn failed_once(verdict: Verdict, idempotent: bool, answer_started: bool) -> AttemptHistory {
    AttemptHistory { count: 1, verdict, idempotent, answer_started, deadline: Time(10_000) }
}

#[test]
fn only_what_may_run_again_is_retried() {
    let mut rows = Vec::new();
    for verdict in [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran] {
        for idempotent in [false, true] {
            for answer_started in [false, true] {
                let history = failed_once(verdict, idempotent, answer_started);
                let delay = retry_delay(Time(0), history, &mut RetryBudget::new());
                rows.push(format!(
                    "{verdict}, idempotent {idempotent}, answer started {answer_started}: {}",
                    delay.map_or("no".to_owned(), |delay| delay.to_string())
                ));
            }
        }
    }
    insta::assert_debug_snapshot!(rows);
}

#[test]
fn no_retry_starts_after_the_deadline() {
    let expiring = failed_once(Verdict::NotRun, false, false);
    assert_eq!(retry_delay(Time(9_995), expiring, &mut RetryBudget::new()), None);
}

/// Mean number of attempts per request when `refused_fraction` of the attempts are refused.
/// Without a budget, each retry is charged to a new one.
fn attempts_per_request(refused_fraction: f64, with_budget: bool) -> f64 {
    const REQUESTS: u32 = 20_000;
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut budget = RetryBudget::new();
    let mut attempts = 0;
    for _ in 0..REQUESTS {
        budget.record_request();
        let mut count = 0;
        loop {
            count += 1;
            attempts += 1;
            if rng.random::<f64>() >= refused_fraction {
                break;
            }
            let history = AttemptHistory { count, ..failed_once(Verdict::NotRun, true, false) };
            let mut fresh = RetryBudget::new();
            let budget = if with_budget { &mut budget } else { &mut fresh };
            if retry_delay(Time(0), history, budget).is_none() {
                break;
            }
        }
    }
    f64::from(attempts) / f64::from(REQUESTS)
}

#[test]
fn the_budget_bounds_attempts_when_upstreams_refuse() {
    // The budget allows one retry per ten requests.
    assert!(attempts_per_request(1.0 / 3.0, true) < 1.11);
    assert!(attempts_per_request(1.0, true) < 1.11);
    // Without a budget, a total outage multiplies the load.
    assert!(attempts_per_request(1.0, false) > 3.9);
}

fn shared_limits() -> SharedRetryLimits {
    SharedRetryLimits { ratio: 0.2, slack: 58.0, window: Millis(10_000) }
}

/// Guards against retries that overload a service which fails every request: no daemon exceeds its
/// share, and all together stay below the shared limit in every window.
#[test]
fn the_shared_budget_holds_in_every_sliding_window() {
    const DAEMONS: usize = 9;
    let mut budgets = vec![SharedRetryBudget::new(shared_limits(), Time(0)); DAEMONS];
    let mut spent = Vec::new();
    for ms in (0..40_000).step_by(25) {
        let daemon = (ms / 25) as usize % DAEMONS;
        budgets[daemon].record_request(Time(ms));
        if budgets[daemon].try_spend(Time(ms), DAEMONS) {
            spent.push(ms);
        }
    }
    let requests_in_window = 10_000.0 / 25.0;
    let bound = 0.2 * requests_in_window + 58.0;
    for start in (0..30_000).step_by(100) {
        let count = spent.iter().filter(|ms| (start..start + 10_000).contains(*ms)).count();
        assert!((count as f64) <= bound, "{count} retries from {start} ms");
    }
    assert!(spent.len() > 100, "the budget allowed too few retries");
}

#[test]
fn a_quiet_daemon_has_its_share_of_the_slack() {
    let mut budget = SharedRetryBudget::new(shared_limits(), Time(0));
    let spent = (0..100).filter(|_| budget.try_spend(Time(10_000), 9)).count();
    // 80% of a ninth of 58 retries.
    assert_eq!(spent, 5);
    assert!(!budget.try_spend(Time(19_000), 9));
    assert!(budget.try_spend(Time(31_000), 9));
}

/// Runs that are resumed elsewhere reach an upstream again, too.
#[test]
fn resumed_runs_leave_less_for_retries() {
    let mut budget = SharedRetryBudget::new(shared_limits(), Time(0));
    (0..3).for_each(|_| budget.record_retry(Time(10_000)));
    assert_eq!((0..100).filter(|_| budget.try_spend(Time(10_500), 9)).count(), 2);
}

#[test]
fn a_new_daemon_has_two_retries_in_advance_of_its_own_requests() {
    let mut budget = SharedRetryBudget::new(shared_limits(), Time(50_000));
    // With 50 daemons, the share of each is less than one retry.
    assert!(!budget.try_spend(Time(50_000), 50));
    assert_eq!((0..9).filter(|_| budget.try_spend(Time(50_000), 1)).count(), 2);
    (0..100).for_each(|_| budget.record_request(Time(50_500)));
    let spent = (0..100).filter(|_| budget.try_spend(Time(59_999), 1)).count();
    // 80% of a fifth of 100 requests, less the advance.
    assert_eq!(spent, 14);
    assert!(budget.try_spend(Time(60_000), 9));
}

/// A fleet whose daemons restart and find each other late, all under one clock.
struct Fleet {
    budgets: Vec<SharedRetryBudget>,
    started: Vec<Time>,
    sent: Vec<u64>,
    spent: Vec<u64>,
    retries_per_request: u32,
}

/// Time after its start in which a daemon knows no other.
const JOIN_DELAY: Millis = Millis(1_500);

impl Fleet {
    fn new(daemons: usize) -> Self {
        Self {
            budgets: vec![SharedRetryBudget::new(shared_limits(), Time(0)); daemons],
            started: vec![Time(0); daemons],
            sent: Vec::new(),
            spent: Vec::new(),
            retries_per_request: 3,
        }
    }

    fn restart(&mut self, now: Time, daemon: usize) {
        self.budgets[daemon] = SharedRetryBudget::new(shared_limits(), now);
        self.started[daemon] = now;
    }

    /// A caller's request that upstreams refuse `retries_per_request` times, if the budget allows.
    fn request(&mut self, now: Time, daemon: usize) {
        self.sent.push(now.0);
        self.budgets[daemon].record_request(now);
        let has_joined = now.since(self.started[daemon]) >= JOIN_DELAY;
        let known = if has_joined { self.budgets.len() } else { 1 };
        for _ in 0..self.retries_per_request {
            if self.budgets[daemon].try_spend(now, known) {
                self.spent.push(now.0);
            }
        }
    }

    /// Checks the shared limit as the users state it: in each window, against the requests in that
    /// window, the one before it or the one half a window before it.
    fn assert_within_limit(&self) {
        let SharedRetryLimits { ratio, slack, window: Millis(window) } = shared_limits();
        let count = |times: &[u64], from: u64, until: u64| {
            times.partition_point(|at| *at < until) - times.partition_point(|at| *at < from)
        };
        for from in &self.spent {
            let starts = [*from, from.saturating_sub(window), from.saturating_sub(window / 2)];
            let sent = starts.map(|start| count(&self.sent, start, start + window));
            let allowed = ratio * *sent.iter().max().unwrap() as f64 + slack;
            let spent = count(&self.spent, *from, from + window);
            assert!(spent as f64 <= allowed, "{spent} retries from {from} ms, {allowed} allowed");
        }
    }
}

/// Guards against retries that pile up over restarts: a daemon that has just started knows neither
/// what its predecessor spent nor how many others share the slack.
#[test]
fn the_shared_budget_holds_over_restarts() {
    const DAEMONS: u64 = 9;
    for (seed, herd) in (0..20).flat_map(|seed| [(seed, false), (seed, true)]) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = Fleet::new(DAEMONS as usize);
        let restart_interval = rng.random_range(if herd { 1_500..6_000 } else { 500..6_000 });
        for ms in (0..60_000).step_by(25) {
            let now = Time(ms);
            if ms % (restart_interval / 25 * 25) == 0 {
                let restarted = ms / restart_interval % DAEMONS;
                let is_restarted = |daemon: &u64| herd || *daemon == restarted;
                let all = (0..DAEMONS).filter(is_restarted);
                all.for_each(|daemon| fleet.restart(now, daemon as usize));
            }
            fleet.request(now, rng.random_range(0..DAEMONS as usize));
        }
        fleet.assert_within_limit();
    }
}

/// Guards against credit from two bursts that no window of the shared limit holds together.
#[test]
fn the_shared_budget_holds_after_two_bursts() {
    const DAEMONS: usize = 9;
    for ms_between in (5_000..11_000).step_by(500) {
        let mut rng = ChaCha8Rng::seed_from_u64(ms_between);
        let mut fleet = Fleet::new(DAEMONS);
        for start in [30_000, 30_000 + ms_between] {
            for ms in start..start + 1_000 {
                // Upstreams refuse only the second burst.
                fleet.retries_per_request = if start == 30_000 { 0 } else { 3 };
                fleet.request(Time(ms), rng.random_range(0..DAEMONS));
            }
        }
        fleet.assert_within_limit();
        assert!(fleet.spent.len() > 150, "the budget allowed too few retries");
    }
}
