//! A demonstration on an embedded testbed: callers of both services and three daemons, of which one
//! is drained while one engine is killed.

use crate::deployment::{
    GENERATION_SERVICE, ORDER_KIND, ORGANISATIONS, PLAIN_SERVICE, STOCK_KIND, STREAM_KIND,
    WHOLE_KIND, bearer_key,
};
use crate::figures::{Latencies, total_stall};
use crate::test_caller::{Outcome, RequestStats, TestCaller};
use crate::testbed::{Testbed, TestbedError, TestbedOptions};
use magnoliawinch_caller::Code;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::collections::HashSet;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Callers of streamed generations.
const STREAMING_CALLERS: u64 = 16;

/// Callers of generations that are delivered whole.
const WHOLE_CALLERS: u64 = 4;

/// Callers that place orders and look up stock.
const ORDER_CALLERS: u64 = 6;

/// Fraction of the duration after which a daemon is drained.
const DRAIN_AT_FRACTION: f64 = 0.3;

/// Fraction of the duration after which an engine is killed.
const KILL_AT_FRACTION: f64 = 0.6;

/// Target time between tokens; the excess counts as stall.
const TARGET_INTER_TOKEN: Duration = Duration::from_millis(56);

/// What callers and upstreams observed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Seed of the random choices.
    pub seed: u64,
    /// Generations that delivered at least one token or completed.
    pub generations: u64,
    /// Responses that arrived complete, in order and from a single run.
    pub whole_in_order: u64,
    /// Streams that ended with an error after part of the response.
    pub broken_streams: u64,
    /// Broken streams whose error is not the loss of their engine.
    pub broken_without_cause: u64,
    /// Responses with missing, duplicate or foreign tokens.
    pub wrong_answers: u64,
    /// Generations refused with an error that does not permit a retry.
    pub generations_refused: u64,
    /// Orders that got a response.
    pub orders: u64,
    /// Orders refused with an error that does not permit a retry, and failed stock look-ups.
    pub orders_refused: u64,
    /// Orders that upstreams ran more than once.
    pub orders_run_twice: u64,
    /// Requests refused as not run although an upstream ran them.
    pub not_run_but_ran: u64,
    /// Requests without a response after all attempts.
    pub no_host: u64,
    /// Generations that were resumed at another host.
    pub resumed: u64,
    /// Whether the drained daemon stopped on its own.
    pub drain_ended: bool,
    /// Number of preemptions at the engines.
    pub preemptions: u64,
    /// 99th percentile of the total stall of a response: time between tokens in excess of the
    /// target.
    pub stall_ms_p99: f64,
    /// 95th percentile of the time between tokens.
    pub inter_token_ms_p95: f64,
    /// 99th percentile of the time between tokens.
    pub inter_token_ms_p99: f64,
    /// 95th percentile of the time to the first token.
    pub first_token_ms_p95: f64,
}

impl Report {
    /// The guarantees that were violated.
    pub fn violations(&self) -> Vec<String> {
        let whole = self.generations - self.broken_streams;
        let checks = [
            (self.whole_in_order == whole, "whole_in_order == generations - broken_streams"),
            (self.broken_without_cause == 0, "only streams of the killed engine break"),
            (
                self.wrong_answers == 0,
                "every response consists of its own tokens, each once and in order",
            ),
            (self.orders_run_twice == 0, "no order runs more than once"),
            (self.not_run_but_ran == 0, "requests refused as not run did not run"),
            (self.no_host == 0, "every caller has the address of a host that responds"),
            (self.drain_ended, "the drained daemon stops on its own"),
            (self.generations > 0 && self.orders > 0, "generations and orders ran"),
        ];
        let violated = checks.into_iter().filter(|(holds, _)| !holds);
        violated.map(|(_, guarantee)| guarantee.to_owned()).collect()
    }
}

#[derive(Default)]
struct Tally {
    report: Report,
    inter_token: Latencies,
    stalls: Latencies,
    first_token: Latencies,
    not_run_prompts: HashSet<String>,
    order_keys: Vec<String>,
}

impl Tally {
    fn record_generation(&mut self, outcome: &Outcome, stats: &RequestStats) {
        let report = &mut self.report;
        match outcome {
            Outcome::Complete => {
                report.generations += 1;
                report.whole_in_order += 1;
            }
            Outcome::Broken(error) => {
                report.generations += 1;
                report.broken_streams += 1;
                report.broken_without_cause += u64::from(error.code != Code::Interrupted);
            }
            Outcome::Wrong(_) => {
                report.generations += 1;
                report.wrong_answers += 1;
            }
            Outcome::Refused(_) => report.generations_refused += 1,
            Outcome::NoHost(_) => report.no_host += 1,
        }
        report.resumed += u64::from(stats.resumes > 0);
        self.inter_token.record_all(&stats.inter_token);
        self.stalls.record(total_stall(&stats.inter_token, TARGET_INTER_TOKEN));
        if let Some(first) = stats.first_token {
            self.first_token.record(first);
        }
        self.not_run_prompts.extend(stats.not_run_prompts.iter().cloned());
    }

    fn merge(&mut self, other: Self) {
        let (sum, part) = (&mut self.report, other.report);
        sum.generations += part.generations;
        sum.whole_in_order += part.whole_in_order;
        sum.broken_streams += part.broken_streams;
        sum.broken_without_cause += part.broken_without_cause;
        sum.wrong_answers += part.wrong_answers;
        sum.generations_refused += part.generations_refused;
        sum.orders += part.orders;
        sum.orders_refused += part.orders_refused;
        sum.not_run_but_ran += part.not_run_but_ran;
        sum.no_host += part.no_host;
        sum.resumed += part.resumed;
        self.inter_token.merge(&other.inter_token);
        self.stalls.merge(&other.stalls);
        self.first_token.merge(&other.first_token);
        self.not_run_prompts.extend(other.not_run_prompts);
        self.order_keys.extend(other.order_keys);
    }
}

/// Creates a caller; numbers are assigned to the organisations in turn.
fn new_caller(testbed: &Testbed, number: u64) -> TestCaller {
    let organisation = ORGANISATIONS[number as usize % ORGANISATIONS.len()];
    TestCaller::new(&bearer_key(organisation), &testbed.caller_addresses(), number as usize)
        .with_run_counts(&testbed.run_counts)
}

/// A random response length of 4 to 255 tokens; most are short.
fn random_length<R: RngExt>(rng: &mut R) -> u32 {
    const MIN_TOKENS: f64 = 4.0;
    const DOUBLINGS: f64 = 6.0;
    (MIN_TOKENS * (rng.random::<f64>().powi(2) * DOUBLINGS).exp2()) as u32
}

async fn stream_generations(caller: TestCaller, number: u64, seed: u64, until: Instant) -> Tally {
    let (mut caller, mut tally) = (caller, Tally::default());
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ number);
    let mut sequence = 0;
    while Instant::now() < until {
        sequence += 1;
        let text = format!("walkthrough {number}.{sequence}");
        let length = random_length(&mut rng);
        let (outcome, stats) =
            caller.generate(GENERATION_SERVICE, STREAM_KIND, &text, length).await;
        tally.record_generation(&outcome, &stats);
        sleep(Duration::from_millis(rng.random_range(0..60))).await;
    }
    tally
}

async fn request_whole_generations(
    caller: TestCaller,
    number: u64,
    seed: u64,
    until: Instant,
) -> Tally {
    let (mut caller, mut tally) = (caller, Tally::default());
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ number);
    let mut sequence = 0;
    while Instant::now() < until {
        sequence += 1;
        let text = format!("classification {number}.{sequence}");
        let length = random_length(&mut rng);
        let (outcome, mut stats) =
            caller.generate_whole(GENERATION_SERVICE, WHOLE_KIND, &text, length).await;
        // A response that is delivered whole has no time to the first token.
        stats.first_token = None;
        tally.record_generation(&outcome, &stats);
        sleep(Duration::from_millis(rng.random_range(0..100))).await;
    }
    tally
}

async fn place_orders(caller: TestCaller, number: u64, seed: u64, until: Instant) -> Tally {
    let (mut caller, mut tally) = (caller, Tally::default());
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ number);
    let mut sequence = 0;
    while Instant::now() < until {
        sequence += 1;
        let key = format!("order-{seed}-{number}-{sequence}");
        match caller.call(PLAIN_SERVICE, ORDER_KIND, Some(&key), "one bearing").await {
            Ok(_) => tally.report.orders += 1,
            Err(Outcome::NoHost(_)) => tally.report.no_host += 1,
            Err(_) => tally.report.orders_refused += 1,
        }
        tally.order_keys.push(key);
        if caller.call(PLAIN_SERVICE, STOCK_KIND, None, "bearing").await.is_err() {
            tally.report.orders_refused += 1;
        }
        sleep(Duration::from_millis(rng.random_range(0..60))).await;
    }
    tally.report.not_run_but_ran = caller.not_run_but_ran();
    tally
}

fn start_callers(testbed: &Testbed, seed: u64, until: Instant) -> Vec<JoinHandle<Tally>> {
    let mut callers = Vec::new();
    for number in 0..STREAMING_CALLERS {
        callers.push(tokio::spawn(stream_generations(
            new_caller(testbed, number),
            number,
            seed,
            until,
        )));
    }
    for number in STREAMING_CALLERS..STREAMING_CALLERS + WHOLE_CALLERS {
        callers.push(tokio::spawn(request_whole_generations(
            new_caller(testbed, number),
            number,
            seed,
            until,
        )));
    }
    let first = STREAMING_CALLERS + WHOLE_CALLERS;
    for number in first..first + ORDER_CALLERS {
        callers.push(tokio::spawn(place_orders(new_caller(testbed, number), number, seed, until)));
    }
    callers
}

/// Runs the demo for `duration`.
pub async fn run(duration: Duration, seed: u64) -> Result<Report, TestbedError> {
    let mut testbed = Testbed::start(TestbedOptions::default()).await?;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let started = Instant::now();
    let callers = start_callers(&testbed, seed, started + duration);
    sleep(duration.mul_f64(DRAIN_AT_FRACTION)).await;
    let drain = testbed.drain_daemon(rng.random_range(0..3));
    sleep((started + duration.mul_f64(KILL_AT_FRACTION)).saturating_duration_since(Instant::now()))
        .await;
    testbed.engines[rng.random_range(0..3)].kill();
    let mut tally = Tally::default();
    for caller in callers {
        if let Ok(part) = caller.await {
            tally.merge(part);
        }
    }
    let drain_ended = match drain {
        Some(drain) => drain.await.is_ok(),
        None => false,
    };
    Ok(build_report(&testbed, &tally, seed, drain_ended))
}

fn build_report(testbed: &Testbed, tally: &Tally, seed: u64, drain_ended: bool) -> Report {
    let ran_prompts: HashSet<_> =
        testbed.engines.iter().flat_map(|engine| engine.records()).map(|r| r.prompt).collect();
    let ran_despite_refusal =
        tally.not_run_prompts.iter().filter(|p| ran_prompts.contains(*p)).count();
    let runs = testbed.run_counts.all();
    let is_run_twice = |key: &&String| runs.get(*key).is_some_and(|runs| *runs > 1);
    Report {
        seed,
        orders_run_twice: tally.order_keys.iter().filter(is_run_twice).count() as u64,
        not_run_but_ran: tally.report.not_run_but_ran + ran_despite_refusal as u64,
        preemptions: testbed.engines.iter().map(|engine| engine.preemptions()).sum(),
        stall_ms_p99: tally.stalls.quantile_ms(0.99),
        inter_token_ms_p95: tally.inter_token.quantile_ms(0.95),
        inter_token_ms_p99: tally.inter_token.quantile_ms(0.99),
        first_token_ms_p95: tally.first_token.quantile_ms(0.95),
        drain_ended,
        ..tally.report.clone()
    }
}
