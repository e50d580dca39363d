//! Open-loop load generator for running daemons, or for an engine directly as a baseline.

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

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// The load to send.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Mean number of requests per second.
    pub rate: f64,
    /// How long new requests are sent.
    pub duration: Duration,
    /// Number of tokens of each response.
    pub length: u32,
    /// Seed of the arrival times.
    pub seed: u64,
}

/// Where requests are sent.
#[derive(Clone, Debug)]
pub enum Target {
    /// To daemons, in turn.
    Daemons {
        /// The daemons' addresses for callers.
        hosts: Vec<SocketAddr>,
        /// The bearer key.
        key: String,
        /// Name of the service.
        service: String,
        /// Kind of the requests; must be streamed.
        kind: String,
    },
    /// Directly to an engine.
    Engine(SocketAddr),
}

/// The measured throughput and latencies.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadFigures {
    /// Requests sent.
    pub started: u64,
    /// Requests with a complete response.
    pub whole: u64,
    /// Requests without a complete response.
    pub failed: u64,
    /// Tokens per second over the whole run.
    pub tokens_per_second: f64,
    /// Median time from when the request was due to its first token.
    pub first_token_ms_p50: f64,
    /// 95th percentile of that time.
    pub first_token_ms_p95: f64,
    /// 99th percentile of that time.
    pub first_token_ms_p99: f64,
    /// Median time between tokens.
    pub inter_token_ms_p50: f64,
    /// 95th percentile of the time between tokens.
    pub inter_token_ms_p95: f64,
    /// 99th percentile of the time between tokens.
    pub inter_token_ms_p99: f64,
}

#[derive(Default)]
struct Tally {
    started: u64,
    complete: u64,
    tokens: u64,
    first_token: Latencies,
    inter_token: Latencies,
}

impl Tally {
    fn merge(&mut self, other: &Self) {
        self.started += other.started;
        self.complete += other.complete;
        self.tokens += other.tokens;
        self.first_token.merge(&other.first_token);
        self.inter_token.merge(&other.inter_token);
    }
}

/// Latencies of one response, measured from when its request was due.
struct TimedResponse {
    due: Instant,
    last: Option<Instant>,
    tally: Tally,
}

impl TimedResponse {
    fn new(due: Instant) -> Self {
        Self { due, last: None, tally: Tally { started: 1, ..Tally::default() } }
    }

    fn record_token(&mut self) {
        let now = Instant::now();
        match self.last {
            Some(last) => self.tally.inter_token.record(now - last),
            None => self.tally.first_token.record(now - self.due),
        }
        self.last = Some(now);
        self.tally.tokens += 1;
    }
}

async fn request_via_daemon(
    caller: &CallerClient,
    host: SocketAddr,
    service: &str,
    kind: &str,
    prompt: String,
    timed: &mut TimedResponse,
) -> Option<()> {
    let request = GenerationRequest { prompt, max_tokens: None };
    let mut stream = caller.generate(host, service, kind, &request).await.ok()?;
    loop {
        match stream.next().await.ok()? {
            Event::Token { .. } => timed.record_token(),
            Event::End(_) => return Some(()),
            Event::Error(_) => return None,
        }
    }
}

async fn request_from_engine(
    client: &EngineClient,
    engine: SocketAddr,
    number: u64,
    prompt: String,
    timed: &mut TimedResponse,
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
    let mut events = client.start(engine, &start, RESPONSE_TIMEOUT).await.ok()?.events;
    loop {
        match events.next().await?.ok()? {
            EngineEvent::Token { .. } => timed.record_token(),
            EngineEvent::End { .. } => return Some(()),
            EngineEvent::Heartbeat => {}
            EngineEvent::Failed { .. } => return None,
        }
    }
}

/// Times at which requests are due, as a Poisson process, which models independent callers.
fn arrival_times(options: &LoadOptions) -> Vec<Duration> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut due_secs = 0.0;
    let mut arrival_times = Vec::new();
    loop {
        due_secs += -(1.0 - rng.random::<f64>()).ln() / options.rate;
        if due_secs >= options.duration.as_secs_f64() {
            return arrival_times;
        }
        arrival_times.push(Duration::from_secs_f64(due_secs));
    }
}

/// Sends the load to `target`. Requests are sent when they are due, whether or not earlier ones
/// have completed.
pub async fn run(options: &LoadOptions, target: &Target) -> LoadFigures {
    let started = Instant::now();
    let engine_client = EngineClient::new();
    let mut tasks = Vec::new();
    let key = match target {
        Target::Daemons { key, .. } => key.as_str(),
        Target::Engine(_) => "",
    };
    let caller = CallerClient::new(key);
    for (number, after) in arrival_times(options).into_iter().enumerate() {
        let due = started + after;
        sleep_until(due).await;
        let (target, caller, client) = (target.clone(), caller.clone(), engine_client.clone());
        let prompt = prompt_for(&format!("load {} {number}", options.seed), options.length);
        tasks.push(tokio::spawn(async move {
            let mut timed = TimedResponse::new(due);
            let response = async {
                match &target {
                    Target::Daemons { hosts, service, kind, .. } => {
                        let host = hosts[number % hosts.len()];
                        request_via_daemon(&caller, host, service, kind, prompt, &mut timed).await
                    }
                    Target::Engine(engine) => {
                        let number = number as u64;
                        request_from_engine(&client, *engine, number, prompt, &mut timed).await
                    }
                }
            };
            let is_complete = matches!(timeout(RESPONSE_TIMEOUT, response).await, Ok(Some(())));
            timed.tally.complete = u64::from(is_complete);
            timed.tally
        }));
    }
    let mut tally = Tally::default();
    for task in tasks {
        if let Ok(part) = task.await {
            tally.merge(&part);
        }
    }
    summarise(&tally, started.elapsed())
}

fn summarise(tally: &Tally, elapsed: Duration) -> LoadFigures {
    LoadFigures {
        started: tally.started,
        whole: tally.complete,
        failed: tally.started - tally.complete,
        tokens_per_second: tally.tokens as f64 / elapsed.as_secs_f64(),
        first_token_ms_p50: tally.first_token.quantile_ms(0.50),
        first_token_ms_p95: tally.first_token.quantile_ms(0.95),
        first_token_ms_p99: tally.first_token.quantile_ms(0.99),
        inter_token_ms_p50: tally.inter_token.quantile_ms(0.50),
        inter_token_ms_p95: tally.inter_token.quantile_ms(0.95),
        inter_token_ms_p99: tally.inter_token.quantile_ms(0.99),
    }
}
