//! Measures what calls that run at most once cost at the log, and how they recover.

use crate::bed::{Bed, BedError, BedOptions};
use crate::deployment::{ORDER, ORGANISATIONS, PARTS, key_of};
use crate::figures::Latencies;
use crate::user::User;
use magnoliawinch_fakes::log::LogFaults;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// What to measure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderOptions {
    /// Orders a second.
    pub orders_a_second: f64,
    /// How long orders are sent, in seconds.
    pub seconds: u64,
    /// Time that the log takes for each request, in milliseconds.
    pub log_ms: u64,
    /// Whether a daemon is killed at half the time.
    pub kill: bool,
    /// The seed of the arrivals.
    pub seed: u64,
}

/// What the orders cost.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrderFigures {
    /// Orders that were sent.
    pub sent: u64,
    /// Orders that were answered.
    pub answered: u64,
    /// Orders that ran more than once.
    pub run_twice: u64,
    /// Orders told that they did not run though they had.
    pub not_run_but_ran: u64,
    /// Appends to the log for each order; its claim and its outcome are two facts.
    pub appends_per_order: f64,
    /// Appends a second.
    pub appends_per_second: f64,
    /// Time to the answer.
    pub answer_ms_p50: f64,
    /// The same.
    pub answer_ms_p99: f64,
    /// The same.
    pub answer_ms_max: f64,
}

/// Sends orders at their rate and counts appends.
pub async fn run(options: &OrderOptions) -> Result<OrderFigures, BedError> {
    let mut bed = Bed::start(BedOptions::default()).await?;
    let delay = Duration::from_millis(options.log_ms);
    bed.log.set_faults(LogFaults { delay, ..LogFaults::default() });
    let (appends_before, _) = bed.log.counts();
    let started = Instant::now();
    let span = Duration::from_secs(options.seconds);
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut at = Duration::ZERO;
    let mut tasks = Vec::new();
    let mut keys = Vec::new();
    let mut killed = false;
    while at < span {
        if options.kill && !killed && at > span / 2 {
            killed = true;
            bed.kill_daemon(0);
        }
        let due = started + at;
        sleep_until(due).await;
        let number = tasks.len();
        let mut user =
            User::new(&key_of(ORGANISATIONS[number % 3]), &bed.caller_addresses(), number)
                .with_counts(&bed.counts);
        let key = format!("order-{}-{number}", options.seed);
        keys.push(key.clone());
        tasks.push(tokio::spawn(async move {
            let answered = user.call(PARTS, ORDER, Some(&key), "bearing").await.is_ok();
            (answered, due.elapsed(), user.not_run_but_ran())
        }));
        let gap = -(1.0 - rng.random::<f64>()).ln() / options.orders_a_second;
        at += Duration::from_secs_f64(gap);
    }
    let mut latencies = Latencies::new();
    let mut figures = OrderFigures { sent: tasks.len() as u64, ..OrderFigures::default() };
    for task in tasks {
        let Ok((answered, span, not_run_but_ran)) = task.await else {
            continue;
        };
        figures.answered += u64::from(answered);
        figures.not_run_but_ran += not_run_but_ran;
        latencies.add(span);
    }
    let elapsed = started.elapsed().as_secs_f64();
    let runs = bed.counts.all();
    let ran_twice = |key: &&String| runs.get(*key).is_some_and(|count| *count > 1);
    figures.run_twice = keys.iter().filter(ran_twice).count() as u64;
    let appends = (bed.log.counts().0 - appends_before) as f64;
    figures.appends_per_order = appends / figures.sent.max(1) as f64;
    figures.appends_per_second = appends / elapsed;
    figures.answer_ms_p50 = latencies.quantile_ms(0.5);
    figures.answer_ms_p99 = latencies.quantile_ms(0.99);
    figures.answer_ms_max = latencies.quantile_ms(1.0);
    Ok(figures)
}
