//! Measures the load that calls that run at most once put on the log, and their recovery from a
//! crash.

use crate::deployment::{ORDER_KIND, ORGANISATIONS, PLAIN_SERVICE, bearer_key};
use crate::figures::Latencies;
use crate::test_caller::TestCaller;
use crate::testbed::{Testbed, TestbedError, TestbedOptions};
use magnoliawinch_fakes::log::LogFaults;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// The load to measure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderOptions {
    /// Mean number of orders per second.
    pub orders_a_second: f64,
    /// How long orders are sent, in seconds.
    pub seconds: u64,
    /// Delay that the log adds to each request, in milliseconds.
    pub log_ms: u64,
    /// Whether a daemon is killed halfway through.
    pub kill: bool,
    /// Seed of the arrival times.
    pub seed: u64,
}

/// The measured results.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrderFigures {
    /// Orders sent.
    pub sent: u64,
    /// Orders that got a response.
    pub answered: u64,
    /// Orders that upstreams ran more than once.
    pub run_twice: u64,
    /// Refusals as not run of orders that an upstream had run.
    pub not_run_but_ran: u64,
    /// Appends to the log per order; its claim and its outcome are two records.
    pub appends_per_order: f64,
    /// Appends to the log per second.
    pub appends_per_second: f64,
    /// Median time from when an order was due to its response or final failure.
    pub answer_ms_p50: f64,
    /// 99th percentile of that time.
    pub answer_ms_p99: f64,
    /// Maximum of that time.
    pub answer_ms_max: f64,
}

/// Sends orders at the configured rate and counts appends to the log.
pub async fn run(options: &OrderOptions) -> Result<OrderFigures, TestbedError> {
    let mut testbed = Testbed::start(TestbedOptions::default()).await?;
    let delay = Duration::from_millis(options.log_ms);
    testbed.log.set_faults(LogFaults { delay, ..LogFaults::default() });
    let (appends_before, _) = testbed.log.append_and_read_counts();
    let started = Instant::now();
    let duration = Duration::from_secs(options.seconds);
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut due_after = Duration::ZERO;
    let mut tasks = Vec::new();
    let mut keys = Vec::new();
    let mut killed = false;
    while due_after < duration {
        if options.kill && !killed && due_after > duration / 2 {
            killed = true;
            testbed.kill_daemon(0);
        }
        let due = started + due_after;
        sleep_until(due).await;
        let number = tasks.len();
        let mut caller = TestCaller::new(
            &bearer_key(ORGANISATIONS[number % 3]),
            &testbed.caller_addresses(),
            number,
        )
        .with_run_counts(&testbed.run_counts);
        let key = format!("order-{}-{number}", options.seed);
        keys.push(key.clone());
        tasks.push(tokio::spawn(async move {
            let answered =
                caller.call(PLAIN_SERVICE, ORDER_KIND, Some(&key), "bearing").await.is_ok();
            (answered, due.elapsed(), caller.not_run_but_ran())
        }));
        let interval = -(1.0 - rng.random::<f64>()).ln() / options.orders_a_second;
        due_after += Duration::from_secs_f64(interval);
    }
    let mut latencies = Latencies::new();
    let mut figures = OrderFigures { sent: tasks.len() as u64, ..OrderFigures::default() };
    for task in tasks {
        let Ok((answered, latency, not_run_but_ran)) = task.await else {
            continue;
        };
        figures.answered += u64::from(answered);
        figures.not_run_but_ran += not_run_but_ran;
        latencies.record(latency);
    }
    let elapsed = started.elapsed().as_secs_f64();
    let runs = testbed.run_counts.all();
    let is_run_twice = |key: &&String| runs.get(*key).is_some_and(|count| *count > 1);
    figures.run_twice = keys.iter().filter(is_run_twice).count() as u64;
    let appends = (testbed.log.append_and_read_counts().0 - appends_before) as f64;
    figures.appends_per_order = appends / figures.sent.max(1) as f64;
    figures.appends_per_second = appends / elapsed;
    figures.answer_ms_p50 = latencies.quantile_ms(0.5);
    figures.answer_ms_p99 = latencies.quantile_ms(0.99);
    figures.answer_ms_max = latencies.quantile_ms(1.0);
    Ok(figures)
}
