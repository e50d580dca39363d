//! The main job on an embedded default: callers of both kinds, three daemons, one drained and one
//! engine killed on the way.

use crate::bed::{Bed, BedError, BedOptions};
use crate::deployment::{
    CLASSIFICATION, GUIDANCE, ORDER, ORGANISATIONS, PARTS, STOCK, WALKTHROUGH, key_of,
};
use crate::figures::{Latencies, stall};
use crate::user::{Ending, Times, User};
use magnoliawinch_caller::Code;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::collections::HashSet;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Callers that stream generations.
const STREAMING_CALLERS: u64 = 16;

/// Callers of whole generations.
const WHOLE_CALLERS: u64 = 4;

/// Callers that place orders and look up stock.
const ORDERING_CALLERS: u64 = 6;

/// Part of the time after which a daemon is drained.
const DRAIN_AT: f64 = 0.3;

/// Part of the time after which an engine dies.
const KILL_AT: f64 = 0.6;

/// Time between tokens that callers accept.
const TARGET: Duration = Duration::from_millis(56);

/// What callers and upstreams saw.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Generations that released at least one token or ended whole.
    pub generations: u64,
    /// Answers that arrived whole, in order, from one generation.
    pub whole_in_order: u64,
    /// Streams that ended with an error after a part of the answer.
    pub broken_streams: u64,
    /// Broken streams of engines that had not died.
    pub broken_without_cause: u64,
    /// Answers that broke a promise.
    pub wrong_answers: u64,
    /// Generations refused for good.
    pub generations_refused: u64,
    /// Orders that were answered.
    pub orders: u64,
    /// Orders refused for good.
    pub orders_refused: u64,
    /// Orders that upstreams ran more than once.
    pub orders_run_twice: u64,
    /// Requests refused as not run that an upstream ran.
    pub not_run_but_ran: u64,
    /// Requests for which no host answered.
    pub no_host: u64,
    /// Streams that were resumed at another host.
    pub resumed: u64,
    /// Whether the drained daemon ended by itself.
    pub drain_ended: bool,
    /// Preemptions at the engines.
    pub preemptions: u64,
    /// Time that answers stood still beyond the target between tokens.
    pub stall_ms_p99: f64,
    /// Time between tokens.
    pub inter_token_ms_p95: f64,
    /// Time between tokens.
    pub inter_token_ms_p99: f64,
    /// Time to the first token.
    pub first_token_ms_p95: f64,
}

impl Report {
    /// The promises that did not hold.
    pub fn violations(&self) -> Vec<String> {
        let whole = self.generations - self.broken_streams;
        let checks = [
            (self.whole_in_order == whole, "whole_in_order == generations - broken_streams"),
            (self.broken_without_cause == 0, "only the dead engine's streams break"),
            (self.wrong_answers == 0, "every answer is its caller's own, once and in order"),
            (self.orders_run_twice == 0, "no order runs twice"),
            (self.not_run_but_ran == 0, "\"not run\" is true"),
            (self.no_host == 0, "every caller has an address that works"),
            (self.drain_ended, "the drained daemon ends by itself"),
            (self.generations > 0 && self.orders > 0, "there was work"),
        ];
        let broken = checks.into_iter().filter(|(holds, _)| !holds);
        broken.map(|(_, promise)| promise.to_owned()).collect()
    }
}

#[derive(Default)]
struct Tally {
    report: Report,
    between: Latencies,
    stalls: Latencies,
    first_token: Latencies,
    not_run_prompts: HashSet<String>,
    order_keys: Vec<String>,
}

impl Tally {
    fn generation(&mut self, ending: &Ending, times: &Times) {
        let report = &mut self.report;
        match ending {
            Ending::Whole => {
                report.generations += 1;
                report.whole_in_order += 1;
            }
            Ending::Broken(error) => {
                report.generations += 1;
                report.broken_streams += 1;
                report.broken_without_cause += u64::from(error.code != Code::Interrupted);
            }
            Ending::Wrong(_) => {
                report.generations += 1;
                report.wrong_answers += 1;
            }
            Ending::Refused(_) => report.generations_refused += 1,
            Ending::NoHost(_) => report.no_host += 1,
        }
        report.resumed += u64::from(times.resumes > 0);
        self.between.extend(&times.between);
        self.stalls.add(stall(&times.between, TARGET));
        if let Some(first) = times.first_token {
            self.first_token.add(first);
        }
        self.not_run_prompts.extend(times.not_run.iter().cloned());
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
        self.between.merge(&other.between);
        self.stalls.merge(&other.stalls);
        self.first_token.merge(&other.first_token);
        self.not_run_prompts.extend(other.not_run_prompts);
        self.order_keys.extend(other.order_keys);
    }
}

/// A caller of one of the organisations.
fn user(bed: &Bed, number: u64) -> User {
    let organisation = ORGANISATIONS[number as usize % ORGANISATIONS.len()];
    User::new(&key_of(organisation), &bed.caller_addresses(), number as usize)
        .with_counts(&bed.counts)
}

/// A length as they come: mostly short, sometimes long.
fn length<R: RngExt>(rng: &mut R) -> u32 {
    const SHORTEST: f64 = 4.0;
    const DOUBLINGS: f64 = 6.0;
    (SHORTEST * (rng.random::<f64>().powi(2) * DOUBLINGS).exp2()) as u32
}

async fn stream_generations(user: User, number: u64, seed: u64, until: Instant) -> Tally {
    let (mut user, mut tally) = (user, Tally::default());
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ number);
    let mut turn = 0;
    while Instant::now() < until {
        turn += 1;
        let text = format!("walkthrough {number}.{turn}");
        let length = length(&mut rng);
        let (ending, times) = user.generate(GUIDANCE, WALKTHROUGH, &text, length).await;
        tally.generation(&ending, &times);
        sleep(Duration::from_millis(rng.random_range(0..60))).await;
    }
    tally
}

async fn whole_generations(user: User, number: u64, seed: u64, until: Instant) -> Tally {
    let (mut user, mut tally) = (user, Tally::default());
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ number);
    let mut turn = 0;
    while Instant::now() < until {
        turn += 1;
        let text = format!("classification {number}.{turn}");
        let length = length(&mut rng);
        let (ending, mut times) =
            user.generate_whole(GUIDANCE, CLASSIFICATION, &text, length).await;
        // Nothing is read before the whole answer, so there is no first token.
        times.first_token = None;
        tally.generation(&ending, &times);
        sleep(Duration::from_millis(rng.random_range(0..100))).await;
    }
    tally
}

async fn place_orders(user: User, number: u64, seed: u64, until: Instant) -> Tally {
    let (mut user, mut tally) = (user, Tally::default());
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ number);
    let mut turn = 0;
    while Instant::now() < until {
        turn += 1;
        let key = format!("order-{seed}-{number}-{turn}");
        match user.call(PARTS, ORDER, Some(&key), "one bearing").await {
            Ok(_) => tally.report.orders += 1,
            Err(Ending::NoHost(_)) => tally.report.no_host += 1,
            Err(_) => tally.report.orders_refused += 1,
        }
        tally.order_keys.push(key);
        if user.call(PARTS, STOCK, None, "bearing").await.is_err() {
            tally.report.orders_refused += 1;
        }
        sleep(Duration::from_millis(rng.random_range(0..60))).await;
    }
    tally.report.not_run_but_ran = user.not_run_but_ran();
    tally
}

fn start_callers(bed: &Bed, seed: u64, until: Instant) -> Vec<JoinHandle<Tally>> {
    let mut callers = Vec::new();
    for number in 0..STREAMING_CALLERS {
        callers.push(tokio::spawn(stream_generations(user(bed, number), number, seed, until)));
    }
    for number in STREAMING_CALLERS..STREAMING_CALLERS + WHOLE_CALLERS {
        callers.push(tokio::spawn(whole_generations(user(bed, number), number, seed, until)));
    }
    let first = STREAMING_CALLERS + WHOLE_CALLERS;
    for number in first..first + ORDERING_CALLERS {
        callers.push(tokio::spawn(place_orders(user(bed, number), number, seed, until)));
    }
    callers
}

/// Runs the demo for `span`.
pub async fn run(span: Duration, seed: u64) -> Result<Report, BedError> {
    let mut bed = Bed::start(BedOptions::default()).await?;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let started = Instant::now();
    let callers = start_callers(&bed, seed, started + span);
    sleep(span.mul_f64(DRAIN_AT)).await;
    let drained = bed.drain_daemon(rng.random_range(0..3));
    sleep((started + span.mul_f64(KILL_AT)).saturating_duration_since(Instant::now())).await;
    bed.engines[rng.random_range(0..3)].kill();
    let mut tally = Tally::default();
    for caller in callers {
        if let Ok(part) = caller.await {
            tally.merge(part);
        }
    }
    let drain_ended = match drained {
        Some(drained) => drained.await.is_ok(),
        None => false,
    };
    Ok(finish(&bed, &tally, seed, drain_ended))
}

fn finish(bed: &Bed, tally: &Tally, seed: u64, drain_ended: bool) -> Report {
    let ran: HashSet<_> =
        bed.engines.iter().flat_map(|engine| engine.records()).map(|r| r.prompt).collect();
    let generations_ran = tally.not_run_prompts.iter().filter(|p| ran.contains(*p)).count();
    let runs = bed.counts.all();
    let ran_twice = |key: &&String| runs.get(*key).is_some_and(|runs| *runs > 1);
    Report {
        seed,
        orders_run_twice: tally.order_keys.iter().filter(ran_twice).count() as u64,
        not_run_but_ran: tally.report.not_run_but_ran + generations_ran as u64,
        preemptions: bed.engines.iter().map(|engine| engine.preemptions()).sum(),
        stall_ms_p99: tally.stalls.quantile_ms(0.99),
        inter_token_ms_p95: tally.between.quantile_ms(0.95),
        inter_token_ms_p99: tally.between.quantile_ms(0.99),
        first_token_ms_p95: tally.first_token.quantile_ms(0.95),
        drain_ended,
        ..tally.report.clone()
    }
}
