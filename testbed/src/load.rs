//! Open-loop load against running daemons, or side by side against an engine directly.

use crate::figures::Latencies;
use magnoliawinch_caller::GenerationRequest;
use magnoliawinch_caller::client::CallerClient;
use magnoliawinch_caller::sse::Event;
use magnoliawinch_engine::{EngineClient, StartGeneration};
use magnoliawinch_fakes::engine::prompt_for;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout};

/// Longest time for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// What to send.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Requests a second.
    pub rate: f64,
    /// How long requests are started.
    pub span: Duration,
    /// Tokens of each answer.
    pub length: u32,
    /// The seed of the arrival times.
    pub seed: u64,
}

/// Where requests go.
#[derive(Clone, Debug)]
pub enum Target {
    /// Through daemons.
    Daemons {
        /// Their addresses.
        hosts: Vec<SocketAddr>,
        /// The bearer key.
        key: String,
        /// The service.
        service: String,
        /// The kind.
        kind: String,
    },
    /// Straight to an engine.
    Engine(SocketAddr),
}

/// What came back.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Requests that were started.
    pub started: u64,
    /// Whole answers.
    pub whole: u64,
    /// Requests without a whole answer.
    pub failed: u64,
    /// Tokens a second over the whole run.
    pub tokens_per_second: f64,
    /// From the time at which the request was due to its first token.
    pub first_token_ms_p50: f64,
    /// The same.
    pub first_token_ms_p95: f64,
    /// The same.
    pub first_token_ms_p99: f64,
    /// Between tokens.
    pub inter_token_ms_p50: f64,
    /// The same.
    pub inter_token_ms_p95: f64,
    /// The same.
    pub inter_token_ms_p99: f64,
}

#[derive(Default)]
struct Tally {
    started: u64,
    whole: u64,
    tokens: u64,
    first: Latencies,
    between: Latencies,
}

impl Tally {
    fn merge(&mut self, other: &Self) {
        self.started += other.started;
        self.whole += other.whole;
        self.tokens += other.tokens;
        self.first.merge(&other.first);
        self.between.merge(&other.between);
    }
}

/// Times of one answer, from the moment at which it was due.
struct Clocked {
    due: Instant,
    last: Option<Instant>,
    tally: Tally,
}

impl Clocked {
    fn new(due: Instant) -> Self {
        Self { due, last: None, tally: Tally { started: 1, ..Tally::default() } }
    }

    fn token(&mut self) {
        let now = Instant::now();
        match self.last {
            Some(last) => self.tally.between.add(now - last),
            None => self.tally.first.add(now - self.due),
        }
        self.last = Some(now);
        self.tally.tokens += 1;
    }
}

async fn through_daemon(
    caller: &CallerClient,
    host: SocketAddr,
    service: &str,
    kind: &str,
    prompt: String,
    clocked: &mut Clocked,
) -> Option<()> {
    let request = GenerationRequest { prompt, max_tokens: None };
    let mut stream = caller.generate(host, service, kind, &request).await.ok()?;
    loop {
        match stream.next().await.ok()? {
            Event::Token { .. } => clocked.token(),
            Event::End(_) => return Some(()),
            Event::Error(_) => return None,
        }
    }
}

async fn straight_to_engine(
    client: &EngineClient,
    engine: SocketAddr,
    number: u64,
    prompt: String,
    clocked: &mut Clocked,
) -> Option<()> {
    use magnoliawinch::delivery::EngineEvent;
    let start = StartGeneration {
        generation: format!("direct-{number}"),
        prompt_tokens: prompt.len() as u32 / 4,
        prompt,
        prefix: 0,
        prefix_tokens: 0,
        priority: 5,
        max_tokens: u32::MAX,
    };
    let mut events = client.start(engine, &start, ANSWER_TIMEOUT).await.ok()?.events;
    loop {
        match events.next().await?.ok()? {
            EngineEvent::Token { .. } => clocked.token(),
            EngineEvent::End { .. } => return Some(()),
            EngineEvent::Heartbeat => {}
            EngineEvent::Failed { .. } => return None,
        }
    }
}

/// The moments at which requests are due, as independent callers would send them.
fn arrivals(options: &LoadOptions) -> Vec<Duration> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut at = 0.0;
    let mut arrivals = Vec::new();
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / options.rate;
        if at >= options.span.as_secs_f64() {
            return arrivals;
        }
        arrivals.push(Duration::from_secs_f64(at));
    }
}

/// Sends the load to `target`. Requests are started when they are due, whatever came of those
/// before.
pub async fn run(options: &LoadOptions, target: &Target) -> Figures {
    let started = Instant::now();
    let engine_client = EngineClient::new();
    let mut tasks = Vec::new();
    let key = match target {
        Target::Daemons { key, .. } => key.as_str(),
        Target::Engine(_) => "",
    };
    let caller = CallerClient::new(key);
    for (number, after) in arrivals(options).into_iter().enumerate() {
        let due = started + after;
        sleep_until(due).await;
        let (target, caller, client) = (target.clone(), caller.clone(), engine_client.clone());
        let prompt = prompt_for(&format!("load {} {number}", options.seed), options.length);
        tasks.push(tokio::spawn(async move {
            let mut clocked = Clocked::new(due);
            let answer = async {
                match &target {
                    Target::Daemons { hosts, service, kind, .. } => {
                        let host = hosts[number % hosts.len()];
                        through_daemon(&caller, host, service, kind, prompt, &mut clocked).await
                    }
                    Target::Engine(engine) => {
                        let number = number as u64;
                        straight_to_engine(&client, *engine, number, prompt, &mut clocked).await
                    }
                }
            };
            let whole = matches!(timeout(ANSWER_TIMEOUT, answer).await, Ok(Some(())));
            clocked.tally.whole = u64::from(whole);
            clocked.tally
        }));
    }
    let mut tally = Tally::default();
    for task in tasks {
        if let Ok(part) = task.await {
            tally.merge(&part);
        }
    }
    figures(&tally, started.elapsed())
}

fn figures(tally: &Tally, elapsed: Duration) -> Figures {
    Figures {
        started: tally.started,
        whole: tally.whole,
        failed: tally.started - tally.whole,
        tokens_per_second: tally.tokens as f64 / elapsed.as_secs_f64(),
        first_token_ms_p50: tally.first.quantile_ms(0.50),
        first_token_ms_p95: tally.first.quantile_ms(0.95),
        first_token_ms_p99: tally.first.quantile_ms(0.99),
        inter_token_ms_p50: tally.between.quantile_ms(0.50),
        inter_token_ms_p95: tally.between.quantile_ms(0.95),
        inter_token_ms_p99: tally.between.quantile_ms(0.99),
    }
}
