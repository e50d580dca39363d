//! A caller that behaves like an organisation's application: it caches the addresses it received,
//! resumes interrupted streams at another host, and retries refused requests when told to.

use crate::host_choice::HostChoice;
use crate::response::{ResponseCheck, ResponseError};
use bytes::Bytes;
use magnoliawinch::verdict::Verdict;
use magnoliawinch_caller::client::{CallerClient, CallerError, TokenStream};
use magnoliawinch_caller::sse::Event;
use magnoliawinch_caller::{Code, ErrorBody, GenerationRequest};
use magnoliawinch_fakes::engine::prompt_for;
use magnoliawinch_fakes::service::RunCounts;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Maximum attempts of one request that is refused or gets no response.
const MAX_ATTEMPTS: u32 = 8;

/// Maximum attempts to resume one stream.
const MAX_RESUMES: u32 = 6;

/// Delay before the next attempt after a host did not respond.
const HOST_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How a request ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response arrived.
    Complete,
    /// The stream ended with an error after part of the response.
    Broken(ErrorBody),
    /// The request was refused.
    Refused(ErrorBody),
    /// No host gave a response within the allowed attempts; contains the cause.
    NoHost(String),
    /// The response is not one complete generation of the prompt.
    Wrong(ResponseError),
}

/// Latencies and retries of one request.
#[derive(Clone, Debug, Default)]
pub struct RequestStats {
    /// From the first attempt to the first token.
    pub first_token: Option<Duration>,
    /// Times between consecutive tokens.
    pub inter_token: Vec<Duration>,
    /// Attempts that were refused.
    pub refusals: u32,
    /// Attempts to resume the stream.
    pub resumes: u32,
    /// Prompts that were refused as not run.
    pub not_run_prompts: Vec<String>,
}

impl RequestStats {
    fn record_refusal(&mut self, request: &GenerationRequest, error: &ErrorBody) {
        self.refusals += 1;
        if error.verdict == Verdict::NotRun {
            self.not_run_prompts.push(request.prompt.clone());
        }
    }
}

/// A request whose prompt differs for each attempt, which tells the attempts apart at the engines.
fn request_for_attempt(text: &str, attempt: u32, length: u32) -> GenerationRequest {
    let text = match attempt {
        0 => text.to_owned(),
        _ => format!("{text} (try {attempt})"),
    };
    GenerationRequest { prompt: prompt_for(&text, length), max_tokens: None }
}

/// A caller with an organisation's key that checks each response.
#[derive(Clone, Debug)]
pub struct TestCaller {
    caller: CallerClient,
    hosts: HostChoice,
    hosts_expire_at: Instant,
    run_counts: Option<RunCounts>,
    not_run_but_ran: u64,
}

impl TestCaller {
    /// Creates a caller with the bearer key `key` that asks `seed_hosts` for addresses, starting
    /// at `host_index`.
    pub fn new(key: &str, seed_hosts: &[SocketAddr], host_index: usize) -> Self {
        Self {
            caller: CallerClient::new(key),
            hosts: HostChoice::new(seed_hosts, host_index),
            hosts_expire_at: Instant::now(),
            run_counts: None,
            not_run_but_ran: 0,
        }
    }

    /// Checks each call refused as not run against `run_counts`, the runs at the upstreams.
    pub fn with_run_counts(self, run_counts: &RunCounts) -> Self {
        Self { run_counts: Some(run_counts.clone()), ..self }
    }

    /// Calls that were refused as not run though an upstream had run them.
    pub fn not_run_but_ran(&self) -> u64 {
        self.not_run_but_ran
    }

    fn check_not_run(&mut self, key: Option<&str>, error: &ErrorBody) {
        let runs = key.zip(self.run_counts.as_ref()).map(|(key, counts)| counts.of(key));
        let ran = runs.is_some_and(|runs| runs > 0);
        self.not_run_but_ran += u64::from(ran && error.verdict == Verdict::NotRun);
    }

    /// The host to send to; requests the list of hosts again once it has expired.
    async fn current_host(&mut self) -> SocketAddr {
        if Instant::now() >= self.hosts_expire_at {
            self.refresh_hosts().await;
        }
        self.hosts.selected()
    }

    async fn refresh_hosts(&mut self) {
        for address in self.hosts.to_ask() {
            if let Ok(response) = self.caller.hosts(address).await
                && !response.hosts.is_empty()
            {
                self.hosts.refresh(response.hosts.iter().map(|host| host.address).collect());
                self.hosts_expire_at = Instant::now() + Duration::from(response.lifetime_ms);
                return;
            }
        }
    }

    /// Waits as long as the refusal asks and selects the next host; returns whether the request may
    /// be retried.
    async fn wait_before_retry(&mut self, error: &ErrorBody) -> bool {
        let may_retry = error.verdict == Verdict::NotRun
            && matches!(
                error.code,
                Code::Overloaded
                    | Code::NotReady
                    | Code::NoUpstream
                    | Code::LogUnavailable
                    | Code::UpstreamFailed
            );
        let is_in_progress = error.code == Code::InProgress;
        if may_retry || is_in_progress {
            let ms = error.retry_after_ms.unwrap_or(100);
            sleep(Duration::from_millis(ms)).await;
        }
        self.hosts.select_next();
        may_retry || is_in_progress
    }

    /// Requests a streamed generation of `length` tokens and checks every token.
    pub async fn generate(
        &mut self,
        service: &str,
        kind: &str,
        text: &str,
        length: u32,
    ) -> (Outcome, RequestStats) {
        let mut stats = RequestStats::default();
        let started = Instant::now();
        for attempt in 0..MAX_ATTEMPTS {
            let request = request_for_attempt(text, attempt, length);
            let host = self.current_host().await;
            match self.caller.generate(host, service, kind, &request).await {
                Ok(stream) => {
                    let check = ResponseCheck::new(&request.prompt, length);
                    let outcome = self.read_stream(stream, check, started, &mut stats).await;
                    return (outcome, stats);
                }
                Err(CallerError::Api(error)) => {
                    stats.record_refusal(&request, &error);
                    if !self.wait_before_retry(&error).await {
                        return (Outcome::Refused(error), stats);
                    }
                }
                Err(_) => {
                    self.hosts.select_next();
                    sleep(HOST_RETRY_DELAY).await;
                }
            }
        }
        (Outcome::NoHost(format!("{MAX_ATTEMPTS} attempts failed")), stats)
    }

    async fn read_stream(
        &mut self,
        stream: TokenStream,
        mut check: ResponseCheck,
        started: Instant,
        stats: &mut RequestStats,
    ) -> Outcome {
        let mut stream = stream;
        let mut last_token: Option<(Instant, String)> = None;
        loop {
            match stream.next().await {
                Ok(Event::Token { id, data }) => {
                    if let Err(e) = check.token(data.index, &data.text) {
                        return Outcome::Wrong(e);
                    }
                    let now = Instant::now();
                    match &last_token {
                        Some((at, _)) => stats.inter_token.push(now - *at),
                        None => stats.first_token = Some(now - started),
                    }
                    last_token = Some((now, id));
                }
                Ok(Event::End(end)) => {
                    return check
                        .end(end.tokens)
                        .map_or_else(Outcome::Wrong, |()| Outcome::Complete);
                }
                Ok(Event::Error(error)) => return Outcome::Broken(error),
                Err(e) => match self.resume(last_token.as_ref().map(|(_, id)| id), stats).await {
                    Some(Ok(resumed)) => stream = resumed,
                    Some(Err(error)) => return Outcome::Broken(error),
                    None => return Outcome::NoHost(e.to_string()),
                },
            }
        }
    }

    /// Resumes a stream at another host. `None` if no token arrived before or no host responds.
    async fn resume(
        &mut self,
        last_event_id: Option<&String>,
        stats: &mut RequestStats,
    ) -> Option<Result<TokenStream, ErrorBody>> {
        let id = last_event_id?;
        let (generation, _) = magnoliawinch_caller::sse::split_event_id(id)?;
        while stats.resumes < MAX_RESUMES {
            stats.resumes += 1;
            self.hosts.select_next();
            self.hosts_expire_at = Instant::now();
            let host = self.current_host().await;
            match self.caller.resume(host, generation, Some(id)).await {
                Ok(stream) => return Some(Ok(stream)),
                Err(CallerError::Api(error)) if error.code != Code::NotReady => {
                    return Some(Err(error));
                }
                Err(_) => sleep(HOST_RETRY_DELAY).await,
            }
        }
        None
    }

    /// Requests a generation of `length` tokens that is delivered whole, and checks it.
    pub async fn generate_whole(
        &mut self,
        service: &str,
        kind: &str,
        text: &str,
        length: u32,
    ) -> (Outcome, RequestStats) {
        let mut stats = RequestStats::default();
        let started = Instant::now();
        for attempt in 0..MAX_ATTEMPTS {
            let request = request_for_attempt(text, attempt, length);
            let host = self.current_host().await;
            match self.caller.generate_whole(host, service, kind, &request).await {
                Ok(response) => {
                    stats.first_token = Some(started.elapsed());
                    let mut check = ResponseCheck::new(&request.prompt, length);
                    let checked = check.whole(&response.text);
                    let outcome = checked.map_or_else(Outcome::Wrong, |()| Outcome::Complete);
                    return (outcome, stats);
                }
                Err(CallerError::Api(error)) => {
                    stats.record_refusal(&request, &error);
                    if !self.wait_before_retry(&error).await {
                        return (Outcome::Refused(error), stats);
                    }
                }
                Err(_) => {
                    self.hosts.select_next();
                    sleep(HOST_RETRY_DELAY).await;
                }
            }
        }
        (Outcome::NoHost(format!("{MAX_ATTEMPTS} attempts failed")), stats)
    }

    /// Calls a plain service; every attempt carries the same idempotency key.
    pub async fn call(
        &mut self,
        service: &str,
        kind: &str,
        key: Option<&str>,
        body: &str,
    ) -> Result<Bytes, Outcome> {
        let mut last_error = String::new();
        for _ in 0..MAX_ATTEMPTS {
            let host = self.current_host().await;
            let body = Bytes::from(body.to_owned());
            match self.caller.call(host, service, kind, key, body).await {
                Ok(response) => return Ok(response),
                Err(CallerError::Api(error)) => {
                    self.check_not_run(key, &error);
                    if !self.wait_before_retry(&error).await {
                        return Err(Outcome::Refused(error));
                    }
                }
                Err(e) => {
                    last_error = e.to_string();
                    self.hosts.select_next();
                    sleep(HOST_RETRY_DELAY).await;
                }
            }
        }
        Err(Outcome::NoHost(last_error))
    }
}
