//! Finds a place for a generation at an upstream.

use super::job::Job;
use crate::admit::{AdmitOutcome, admit};
use crate::control::AdmissionRequest;
use crate::grants::Grant;
use crate::shared::Shared;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use magnoliawinch::decision::Decision;
use magnoliawinch::names::{FailureDomain, ServiceName, UpstreamName};
use magnoliawinch::quarantine::QuarantineStatus;
use magnoliawinch::routing::{NextStep, Plan, RoutingCriteria};
use magnoliawinch::service_file::UpstreamSpec;
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_caller::{Code, ErrorBody};
use std::future::Future;
use std::sync::Arc;

/// Requests of this daemon at one upstream when its admission owner is silent.
const DIRECT_SHARE: u32 = 4;

/// Time after which a caller may send a failed request again.
pub(super) const RETRY_AFTER: Millis = Millis(1_000);

/// Where a run takes place.
#[derive(Debug)]
pub(super) struct Place {
    pub(super) upstream: UpstreamName,
    pub(super) spec: UpstreamSpec,
    pub(super) grant: Option<Grant>,
    _counted: Outstanding,
}

impl Place {
    pub(super) fn new(
        shared: &Arc<Shared>,
        upstream: &UpstreamName,
        spec: &UpstreamSpec,
        grant: Option<Grant>,
    ) -> Self {
        let counted = Outstanding::new(shared, upstream);
        Self { upstream: upstream.clone(), spec: spec.clone(), grant, _counted: counted }
    }
}

/// Counts a request at an upstream until it is dropped.
#[derive(Debug)]
struct Outstanding {
    shared: Arc<Shared>,
    upstream: UpstreamName,
}

impl Outstanding {
    fn new(shared: &Arc<Shared>, upstream: &UpstreamName) -> Self {
        shared.routing().router.note_start(upstream);
        Self { shared: Arc::clone(shared), upstream: upstream.clone() }
    }
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        self.shared.routing().router.note_end(&self.upstream);
    }
}

/// What an attempt looks for.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlaceWish<'a> {
    /// A failure domain that just failed the job.
    pub(super) avoid: Option<&'a FailureDomain>,
    pub(super) treatment: QuarantineStatus,
    /// When the attempt stops waiting for a place.
    pub(super) patience_until: Time,
}

/// Finds an upstream with room, asking a few admission owners.
pub(super) async fn find_place(
    shared: &Arc<Shared>,
    job: &Job,
    wish: PlaceWish<'_>,
) -> Result<Place, ErrorBody> {
    let asked_at = shared.clock.now();
    let names = rank(shared, job, wish, asked_at)?;
    let mut search =
        Search { shared, job, wish, asked_at, plan: Plan::new(names.clone()), silent: 0 };
    loop {
        let found = match search.plan.next_step() {
            NextStep::Ask(upstream) => search.ask(&upstream, false).await,
            NextStep::Queue(upstreams) => search.queue(&upstreams).await,
            NextStep::GiveUp(_) if search.silent > 0 => {
                return direct(shared, job, &names, asked_at);
            }
            NextStep::GiveUp(retry) => {
                let service = &job.access.access.service.spec.name;
                return Err(overloaded(service, retry));
            }
        };
        if let Some(place) = found {
            return Ok(place);
        }
    }
}

/// One search for a place.
struct Search<'a> {
    shared: &'a Arc<Shared>,
    job: &'a Job,
    wish: PlaceWish<'a>,
    asked_at: Time,
    plan: Plan,
    /// Owners that did not answer.
    silent: u32,
}

impl Search<'_> {
    /// Asks the owner of an upstream; with `queue`, waits there.
    async fn ask(&mut self, upstream: &UpstreamName, queue: bool) -> Option<Place> {
        let answer = self.question(upstream, queue).await;
        self.take(upstream, answer)
    }

    /// Waits at several owners; the first grant counts, the other wishes are withdrawn.
    async fn queue(&mut self, upstreams: &[UpstreamName]) -> Option<Place> {
        let question = |upstream: &UpstreamName| {
            let (question, upstream) = (self.question(upstream, true), upstream.clone());
            async move { (upstream, question.await) }
        };
        let mut questions: FuturesUnordered<_> = upstreams.iter().map(question).collect();
        let mut answers = Vec::new();
        while let Some((upstream, answer)) = questions.next().await {
            let is_grant = matches!(answer, AdmitOutcome::Granted(_));
            answers.push((upstream, answer));
            if is_grant {
                break;
            }
        }
        drop(questions);
        let mut answers = answers.into_iter();
        answers.find_map(|(upstream, answer)| self.take(&upstream, answer))
    }

    /// The question to the owner of an upstream.
    fn question(
        &self,
        upstream: &UpstreamName,
        queue: bool,
    ) -> impl Future<Output = AdmitOutcome> + use<> {
        let view = self.shared.view.load();
        let spec = self.job.access.access.service.spec.upstreams.get(upstream);
        let owner = spec.and_then(|s| view.owners.of_upstream(upstream, &s.failure_domain));
        let owner = owner.cloned();
        let call = admit_call(self.shared, self.job, upstream, queue, self.wish);
        let shared = Arc::clone(self.shared);
        async move {
            match owner {
                Some(owner) => admit(&shared, &owner, call).await,
                None => AdmitOutcome::Silent,
            }
        }
    }

    fn take(&mut self, upstream: &UpstreamName, answer: AdmitOutcome) -> Option<Place> {
        match answer {
            AdmitOutcome::Granted(grant) => {
                let spec = self.job.access.access.service.spec.upstreams.get(upstream)?;
                let (shared, job, asked_at) = (self.shared, self.job, self.asked_at);
                return Some(granted(shared, job, asked_at, upstream, spec, grant));
            }
            AdmitOutcome::Busy(wait) => {
                self.plan.busy(wait);
                log_busy(self.shared, self.job, upstream, wait);
            }
            AdmitOutcome::Refused(retry) => {
                self.plan.refused(retry);
                log_busy(self.shared, self.job, upstream, retry);
            }
            AdmitOutcome::Silent => {
                self.silent += 1;
                self.plan.refused(RETRY_AFTER);
            }
        }
        None
    }
}

/// The upstreams to ask, best first.
fn rank(
    shared: &Shared,
    job: &Job,
    place_wish: PlaceWish<'_>,
    now: Time,
) -> Result<Vec<UpstreamName>, ErrorBody> {
    let service = &job.access.access.service.spec;
    let wish = RoutingCriteria {
        prefix: job.prefix,
        prefix_tokens: job.prefix_tokens,
        local_domain: &shared.settings.failure_domain,
        avoid: place_wish.avoid,
    };
    let candidates = shared.candidates(now, &job.access.access.service, wish);
    job.log(
        shared,
        Decision::Candidates {
            ranked: candidates.iter().map(|c| (c.upstream.clone(), c.score_ms)).collect(),
        },
    );
    if candidates.is_empty() {
        let message = format!("no upstream of service \"{}\" can be used", service.name);
        let error = ErrorBody::new(Code::NoUpstream, message);
        return Err(error.with_retry_after(RETRY_AFTER.0));
    }
    Ok(candidates.into_iter().map(|candidate| candidate.upstream).collect())
}

fn admit_call(
    shared: &Shared,
    job: &Job,
    upstream: &UpstreamName,
    queue: bool,
    place_wish: PlaceWish<'_>,
) -> AdmissionRequest {
    AdmissionRequest {
        holder: shared.settings.host.clone(),
        token: 0,
        service: job.access.access.service.spec.name.clone(),
        upstream: upstream.clone(),
        organisation: job.access.access.organisation.clone(),
        kind: job.access.kind_name.clone(),
        prompt_tokens: job.prompt_tokens,
        patience: place_wish.patience_until.since(shared.clock.now()),
        suspect: place_wish.treatment == QuarantineStatus::Suspect,
        no_queue: !queue,
    }
}

fn granted(
    shared: &Arc<Shared>,
    job: &Job,
    asked_at: Time,
    upstream: &UpstreamName,
    spec: &UpstreamSpec,
    grant: Grant,
) -> Place {
    let now = shared.clock.now();
    job.log(
        shared,
        Decision::Chosen {
            upstream: upstream.clone(),
            owner: grant.owner().clone(),
            waited_ms: now.since(asked_at).0,
        },
    );
    Place::new(shared, upstream, spec, Some(grant))
}

fn log_busy(shared: &Shared, job: &Job, upstream: &UpstreamName, wait: Millis) {
    let expected_wait_ms = wait.0;
    job.log(shared, Decision::Busy { upstream: upstream.clone(), expected_wait_ms });
}

/// Routes without an owner, within a small share that every daemon may use.
fn direct(
    shared: &Arc<Shared>,
    job: &Job,
    names: &[UpstreamName],
    asked_at: Time,
) -> Result<Place, ErrorBody> {
    let service = &job.access.access.service.spec;
    let has_room =
        |name: &&UpstreamName| shared.routing().router.outstanding(name.as_str()) < DIRECT_SHARE;
    let found = names.iter().find(has_room);
    let Some((upstream, spec)) = found.and_then(|n| service.upstreams.get_key_value(n)) else {
        return Err(overloaded(&service.name, RETRY_AFTER));
    };
    job.log(
        shared,
        Decision::Chosen {
            upstream: upstream.clone(),
            owner: shared.settings.host.clone(),
            waited_ms: shared.clock.now().since(asked_at).0,
        },
    );
    Ok(Place::new(shared, upstream, spec, None))
}

fn overloaded(service: &ServiceName, retry: Millis) -> ErrorBody {
    let message = format!("the upstreams of service \"{service}\" have no room");
    ErrorBody::new(Code::Overloaded, message).with_retry_after(retry.0)
}
