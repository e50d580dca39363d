//! Requests whose answer is whole.

use crate::control::Message;
use crate::entry::Entry;
use crate::forward::{Forward, strip_hop_headers};
use crate::refusal::Refusal;
use crate::wire::{Marks, Outgoing, Wire};
use bytes::Bytes;
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, StatusCode};
use magnoliawinch::balance::{Candidate, Outcome};
use magnoliawinch::fleet::ListedUpstream;
use magnoliawinch::names::UpstreamName;
use magnoliawinch::route_table::Delivery;
use magnoliawinch::time::Millis;
use magnoliawinch::verdict::Verdict;
use magnoliawinch_http::{Reply, Reuse};
use std::time::{Duration, Instant};

/// Largest whole answer, in bytes; the users' are a few kilobytes.
const MAX_ANSWER_BYTES: usize = 16_777_216;

/// Time for an attempt that can be followed by another: the longest work on the users' sheets is
/// 220 ms.
const FIRST_ATTEMPT: Duration = Duration::from_millis(350);

/// Time left below which nothing is sent any more.
const TOO_LATE: Duration = Duration::from_millis(8);

/// Time after which a caller may come back that found all servers full.
const FULL_RETRY: Millis = Millis(150);

/// Attempts that do not reach a server, or that it refuses, at the most.
const MAX_NOT_RUN: u32 = 4;

/// A whole answer of an upstream.
#[derive(Debug)]
pub(crate) struct Whole {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// How one attempt ended.
pub(crate) enum Attempt {
    /// With an answer of the upstream.
    Answered(Whole),
    /// It did not run; whether it reached an upstream.
    NotRun { arrived: bool },
    /// It may have run.
    MayHaveRun(String),
}

/// Counts a call at a server until it is dropped.
struct InUse<'a, W: Wire> {
    entry: &'a Entry<W>,
    name: &'a UpstreamName,
    outcome: Option<Outcome>,
}

impl<'a, W: Wire> InUse<'a, W> {
    fn new(entry: &'a Entry<W>, name: &'a UpstreamName) -> Self {
        entry.shared.routing().balancer.started(entry.shared.clock.now(), name);
        Self { entry, name, outcome: None }
    }
}

impl<W: Wire> Drop for InUse<'_, W> {
    fn drop(&mut self) {
        let now = self.entry.shared.clock.now();
        self.entry.shared.routing().balancer.ended(now, self.name, self.outcome);
    }
}

impl<W: Wire> Entry<W> {
    /// Gets the answer of one of the service's upstreams.
    pub(crate) async fn call(&self, fwd: &Forward) -> Result<Whole, Refusal> {
        let idempotent = fwd.route.delivery == Delivery::Idempotent;
        let mut tried: Vec<UpstreamName> = Vec::new();
        let mut verdict = Verdict::NotRun;
        let mut runs = 0;
        let mut not_run = 0;
        let mut failure = None;
        let mut reason = String::new();
        while fwd.remaining() > TOO_LATE {
            let Some(upstream) = self.choose(fwd, &tried) else {
                break;
            };
            let may_repeat = idempotent && runs + 1 < fwd.route.max_upstreams;
            match self.attempt(fwd, &upstream, may_repeat).await {
                Attempt::Answered(whole) if whole.status.is_server_error() && may_repeat => {
                    verdict = Verdict::Ran;
                    runs += 1;
                    self.note_attempt(fwd, &upstream.name, whole.status.as_str(), Verdict::Ran);
                    failure = Some(whole);
                }
                Attempt::Answered(whole) => return Ok(whole),
                Attempt::NotRun { arrived } => {
                    not_run += 1;
                    let is_free = !arrived;
                    if not_run >= MAX_NOT_RUN || !(is_free || self.shared.spend_retry(&fwd.service))
                    {
                        break;
                    }
                    tried.push(upstream.name);
                    continue;
                }
                Attempt::MayHaveRun(why) => {
                    verdict = verdict.combine(Verdict::MayHaveRun);
                    reason = why;
                    runs += 1;
                    if !may_repeat {
                        break;
                    }
                }
            }
            if !self.shared.spend_retry(&fwd.service) {
                break;
            }
            tried.push(upstream.name);
        }
        match failure {
            Some(whole) => Ok(whole),
            None => Err(give_up(fwd, verdict, reason)),
        }
    }

    /// The server for the next attempt.
    pub(crate) fn choose(&self, fwd: &Forward, tried: &[UpstreamName]) -> Option<ListedUpstream> {
        let view = self.shared.view.load();
        let now = self.shared.clock.now();
        let own = &self.shared.settings.failure_domain;
        let mut routing = self.shared.routing();
        let routing = &mut *routing;
        let usable = view.fleet.usable(fwd.service.as_str()).filter(|l| !tried.contains(&l.name));
        let candidates = usable.map(|listed| Candidate {
            name: &listed.name,
            slots: listed.slots,
            in_same_domain: listed.failure_domain == *own,
            is_down: view.fleet.is_unreachable(now, &listed.name),
        });
        let name = routing.balancer.choose(now, candidates, &mut routing.rng)?;
        view.fleet.get(name).cloned()
    }

    async fn attempt(&self, fwd: &Forward, upstream: &ListedUpstream, may_repeat: bool) -> Attempt {
        let out = Outgoing {
            upstream: &upstream.name,
            organisation: fwd.organisation.as_ref().map(|o| o.name.as_str()),
            remaining: fwd.remaining_ms(),
            backup: None,
            resume: None,
        };
        let req = fwd.request(&*self.wire, &out);
        let limit = match may_repeat {
            true => fwd.remaining().min(FIRST_ATTEMPT),
            false => fwd.remaining(),
        };
        // A connection that went silent or carries a stray answer costs a repeatable request a
        // retry, but another one its only run.
        let reuse = match fwd.route.delivery {
            Delivery::Idempotent => Reuse::Settled,
            Delivery::AtMostOnce | Delivery::Stream => Reuse::Never,
        };
        let begun = Instant::now();
        let mut in_use = InUse::new(self, &upstream.name);
        let attempt = match self.shared.upstreams.send(upstream.address, req, reuse, limit).await {
            Ok(reply) => {
                let left = limit.saturating_sub(begun.elapsed());
                self.read_answer(fwd, &upstream.name, reply, left).await
            }
            Err(e) if e.verdict() == Verdict::NotRun => {
                self.shared.tell(Message::UpstreamUnreachable(upstream.name.clone()));
                self.note_attempt(fwd, &upstream.name, &e.to_string(), Verdict::NotRun);
                Attempt::NotRun { arrived: false }
            }
            Err(e) => {
                self.note_attempt(fwd, &upstream.name, &e.to_string(), Verdict::MayHaveRun);
                Attempt::MayHaveRun(e.to_string())
            }
        };
        let took = Millis(begun.elapsed().as_millis() as u64);
        in_use.outcome = Some(match &attempt {
            Attempt::Answered(whole) if !whole.status.is_server_error() => Outcome::Answered(took),
            _ => Outcome::Failed,
        });
        attempt
    }

    /// Reads an upstream's answer, and whether it is one.
    pub(crate) async fn read_answer(
        &self,
        fwd: &Forward,
        upstream: &UpstreamName,
        reply: Reply,
        limit: Duration,
    ) -> Attempt {
        let marks = self.wire.marks(reply.headers());
        let status = reply.status();
        if let Some(load) = marks.load {
            let now = self.shared.clock.now();
            self.shared.routing().balancer.record_load(now, upstream, load);
        }
        if marks.not_run {
            if status == StatusCode::MISDIRECTED_REQUEST {
                self.shared.tell(Message::UpstreamLeaving(upstream.clone()));
            }
            return Attempt::NotRun { arrived: true };
        }
        if let Some(problem) = problem(fwd, status, &marks) {
            return Attempt::MayHaveRun(format!("{upstream} answered {status}, {problem}"));
        }
        let mut headers = reply.headers().clone();
        let body = match tokio::time::timeout(limit, reply.bytes(MAX_ANSWER_BYTES)).await {
            Ok(Ok(body)) => body,
            Ok(Err(e)) => return Attempt::MayHaveRun(e.to_string()),
            Err(_) => return Attempt::MayHaveRun("the answer was not whole in time".to_owned()),
        };
        strip_hop_headers(&mut headers);
        headers.remove(CONTENT_LENGTH);
        Attempt::Answered(Whole { status, headers, body })
    }

    /// Logs an attempt that failed.
    pub(crate) fn note_attempt(
        &self,
        fwd: &Forward,
        upstream: &UpstreamName,
        why: &str,
        verdict: Verdict,
    ) {
        self.shared.metrics.count("attempt_failed", fwd.route.delivery.to_string().as_str());
        if self.shared.journal.admits(self.shared.clock.now()) {
            log::info!(
                request = fwd.ask.run.as_str(),
                upstream = upstream.as_str(),
                verdict:% = verdict,
                list_age_ms = self.shared.list_age().0,
                reason = why;
                "attempt failed"
            );
        }
    }
}

/// Why an answer cannot be handed on.
pub(crate) fn problem(fwd: &Forward, status: StatusCode, marks: &Marks) -> Option<&'static str> {
    if marks.run.as_ref() != Some(&fwd.ask.run) {
        return Some("which belongs to another request");
    }
    if status.is_success() && !marks.is_sealed {
        return Some("without its seal");
    }
    (!marks.is_plain).then_some("with an encoded body")
}

/// The refusal for a request without an answer.
pub(crate) fn give_up(fwd: &Forward, verdict: Verdict, reason: String) -> Refusal {
    let is_late = fwd.remaining() <= TOO_LATE;
    match (verdict, is_late) {
        (Verdict::NotRun, true) => Refusal::NotSentInTime,
        (Verdict::NotRun, false) => Refusal::Overloaded(FULL_RETRY),
        (_, true) => Refusal::TimedOut,
        (_, false) => Refusal::Lost(reason),
    }
}
