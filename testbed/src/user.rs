//! A caller as a firm's application would be written: keeps the addresses it was given, resumes a
//! broken stream elsewhere, and comes back when it is told to.

use crate::answer::{AnswerCheck, AnswerError};
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

/// Tries of one request that was refused or found no host.
const MAX_TRIES: u32 = 8;

/// Resumes of one stream.
const MAX_RESUMES: u32 = 6;

/// Wait after a host did not answer.
const HOST_PAUSE: Duration = Duration::from_millis(50);

/// How a request ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer arrived.
    Whole,
    /// The stream ended with an error after a part of the answer.
    Broken(ErrorBody),
    /// The request was refused.
    Refused(ErrorBody),
    /// No host answered.
    NoHost(String),
    /// The answer breaks a promise.
    Wrong(AnswerError),
}

/// Times of one answer.
#[derive(Clone, Debug, Default)]
pub struct Times {
    /// From the first try to the first token.
    pub first_token: Option<Duration>,
    /// Between tokens.
    pub between: Vec<Duration>,
    /// Tries that were refused as not run before the last one.
    pub refusals: u32,
    /// Times that the stream was resumed.
    pub resumes: u32,
    /// Prompts that were refused as not run.
    pub not_run: Vec<String>,
}

impl Times {
    fn note_refusal(&mut self, request: &GenerationRequest, error: &ErrorBody) {
        self.refusals += 1;
        if error.verdict == Verdict::NotRun {
            self.not_run.push(request.prompt.clone());
        }
    }
}

/// A request whose prompt differs from one try to the next.
fn request_for(text: &str, attempt: u32, length: u32) -> GenerationRequest {
    let text = match attempt {
        0 => text.to_owned(),
        _ => format!("{text} (try {attempt})"),
    };
    GenerationRequest { prompt: prompt_for(&text, length), max_tokens: None }
}

/// A caller of the testbed.
#[derive(Clone, Debug)]
pub struct User {
    caller: CallerClient,
    seeds: Vec<SocketAddr>,
    hosts: Vec<SocketAddr>,
    hosts_until: Instant,
    turn: usize,
    counts: Option<RunCounts>,
    not_run_but_ran: u64,
}

impl User {
    /// A caller with the bearer key `key` that first asks one of `seeds`.
    pub fn new(key: &str, seeds: &[SocketAddr], turn: usize) -> Self {
        Self {
            caller: CallerClient::new(key),
            seeds: seeds.to_vec(),
            hosts: Vec::new(),
            hosts_until: Instant::now(),
            turn,
            counts: None,
            not_run_but_ran: 0,
        }
    }

    /// The same caller, which checks each "not run" of a call against what upstreams ran.
    pub fn with_counts(self, counts: &RunCounts) -> Self {
        Self { counts: Some(counts.clone()), ..self }
    }

    /// Calls that were refused as not run though an upstream had run them.
    pub fn not_run_but_ran(&self) -> u64 {
        self.not_run_but_ran
    }

    fn check_not_run(&mut self, key: Option<&str>, error: &ErrorBody) {
        let runs = key.zip(self.counts.as_ref()).map(|(key, counts)| counts.of(key));
        let ran = runs.is_some_and(|runs| runs > 0);
        self.not_run_but_ran += u64::from(ran && error.verdict == Verdict::NotRun);
    }

    /// A host to use, asked for anew when the last answer has expired.
    async fn host(&mut self) -> SocketAddr {
        if Instant::now() >= self.hosts_until {
            self.ask_hosts().await;
        }
        let known = if self.hosts.is_empty() { &self.seeds } else { &self.hosts };
        known[self.turn % known.len()]
    }

    async fn ask_hosts(&mut self) {
        let places: Vec<_> = self.hosts.iter().chain(&self.seeds).copied().collect();
        for step in 0..places.len() {
            let place = places[(self.turn + step) % places.len()];
            if let Ok(answer) = self.caller.hosts(place).await
                && !answer.hosts.is_empty()
            {
                self.hosts = answer.hosts.iter().map(|host| host.address).collect();
                self.hosts_until = Instant::now() + Duration::from(answer.lifetime_ms);
                self.turn = 0;
                return;
            }
        }
    }

    /// Goes on with the next host that it was given.
    fn next_host(&mut self) {
        self.turn += 1;
    }

    /// Waits as a refusal asks; false when there is no sense in another try.
    async fn wait_as_told(&mut self, error: &ErrorBody) -> bool {
        let may_try = error.verdict == Verdict::NotRun
            && matches!(
                error.code,
                Code::Overloaded
                    | Code::NotReady
                    | Code::NoUpstream
                    | Code::LogUnavailable
                    | Code::UpstreamFailed
            );
        let may_ask_again = error.code == Code::InProgress;
        if may_try || may_ask_again {
            let ms = error.retry_after_ms.unwrap_or(100);
            sleep(Duration::from_millis(ms)).await;
        }
        self.next_host();
        may_try || may_ask_again
    }

    /// Asks for a streamed generation of `length` tokens and checks every token.
    pub async fn generate(
        &mut self,
        service: &str,
        kind: &str,
        text: &str,
        length: u32,
    ) -> (Ending, Times) {
        let mut times = Times::default();
        let started = Instant::now();
        for attempt in 0..MAX_TRIES {
            let request = request_for(text, attempt, length);
            let host = self.host().await;
            match self.caller.generate(host, service, kind, &request).await {
                Ok(stream) => {
                    let check = AnswerCheck::new(&request.prompt, length);
                    let ending = self.read(stream, check, started, &mut times).await;
                    return (ending, times);
                }
                Err(CallerError::Api(error)) => {
                    times.note_refusal(&request, &error);
                    if !self.wait_as_told(&error).await {
                        return (Ending::Refused(error), times);
                    }
                }
                Err(_) => {
                    self.next_host();
                    sleep(HOST_PAUSE).await;
                }
            }
        }
        (Ending::NoHost(format!("{MAX_TRIES} tries failed")), times)
    }

    async fn read(
        &mut self,
        stream: TokenStream,
        mut check: AnswerCheck,
        started: Instant,
        times: &mut Times,
    ) -> Ending {
        let mut stream = stream;
        let mut last: Option<(Instant, String)> = None;
        loop {
            match stream.next().await {
                Ok(Event::Token { id, data }) => {
                    if let Err(e) = check.token(data.index, &data.text) {
                        return Ending::Wrong(e);
                    }
                    let now = Instant::now();
                    match &last {
                        Some((at, _)) => times.between.push(now - *at),
                        None => times.first_token = Some(now - started),
                    }
                    last = Some((now, id));
                }
                Ok(Event::End(end)) => {
                    return check.end(end.tokens).map_or_else(Ending::Wrong, |()| Ending::Whole);
                }
                Ok(Event::Error(error)) => return Ending::Broken(error),
                Err(e) => match self.resume(last.as_ref().map(|(_, id)| id), times).await {
                    Some(Ok(resumed)) => stream = resumed,
                    Some(Err(error)) => return Ending::Broken(error),
                    None => return Ending::NoHost(e.to_string()),
                },
            }
        }
    }

    /// Resumes a stream at another host; `None` when no host answers.
    async fn resume(
        &mut self,
        last_event_id: Option<&String>,
        times: &mut Times,
    ) -> Option<Result<TokenStream, ErrorBody>> {
        let id = last_event_id?;
        let (generation, _) = magnoliawinch_caller::sse::split_event_id(id)?;
        while times.resumes < MAX_RESUMES {
            times.resumes += 1;
            self.next_host();
            self.hosts_until = Instant::now();
            let host = self.host().await;
            match self.caller.resume(host, generation, Some(id)).await {
                Ok(stream) => return Some(Ok(stream)),
                Err(CallerError::Api(error)) if error.code != Code::NotReady => {
                    return Some(Err(error));
                }
                Err(_) => sleep(HOST_PAUSE).await,
            }
        }
        None
    }

    /// Asks for a whole generation of `length` tokens and checks it.
    pub async fn generate_whole(
        &mut self,
        service: &str,
        kind: &str,
        text: &str,
        length: u32,
    ) -> (Ending, Times) {
        let mut times = Times::default();
        let started = Instant::now();
        for attempt in 0..MAX_TRIES {
            let request = request_for(text, attempt, length);
            let host = self.host().await;
            match self.caller.generate_whole(host, service, kind, &request).await {
                Ok(answer) => {
                    times.first_token = Some(started.elapsed());
                    let mut check = AnswerCheck::new(&request.prompt, length);
                    let checked = check.whole(&answer.text);
                    let ending = checked.map_or_else(Ending::Wrong, |()| Ending::Whole);
                    return (ending, times);
                }
                Err(CallerError::Api(error)) => {
                    times.note_refusal(&request, &error);
                    if !self.wait_as_told(&error).await {
                        return (Ending::Refused(error), times);
                    }
                }
                Err(_) => {
                    self.next_host();
                    sleep(HOST_PAUSE).await;
                }
            }
        }
        (Ending::NoHost(format!("{MAX_TRIES} tries failed")), times)
    }

    /// Makes a call; the same key is used for every try.
    pub async fn call(
        &mut self,
        service: &str,
        kind: &str,
        key: Option<&str>,
        body: &str,
    ) -> Result<Bytes, Ending> {
        let mut last = String::new();
        for _ in 0..MAX_TRIES {
            let host = self.host().await;
            let body = Bytes::from(body.to_owned());
            match self.caller.call(host, service, kind, key, body).await {
                Ok(answer) => return Ok(answer),
                Err(CallerError::Api(error)) => {
                    self.check_not_run(key, &error);
                    if !self.wait_as_told(&error).await {
                        return Err(Ending::Refused(error));
                    }
                }
                Err(e) => {
                    last = e.to_string();
                    self.next_host();
                    sleep(HOST_PAUSE).await;
                }
            }
        }
        Err(Ending::NoHost(last))
    }
}
