//! Admission of a generation to an upstream with free capacity.

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

/// Maximum number of requests that this daemon has in progress at one upstream when it chooses
/// without an admission owner.
const MAX_DIRECT_REQUESTS: u32 = 4;

/// Time after which a caller may retry, unless an admission owner gives another.
pub(super) const DEFAULT_RETRY_AFTER: Millis = Millis(1_000);

/// Admission of a run to an upstream.
#[derive(Debug)]
pub(super) struct UpstreamAdmission {
    pub(super) upstream: UpstreamName,
    pub(super) spec: UpstreamSpec,
    /// `None` for a resumed generation, or if admitted without an owner.
    pub(super) grant: Option<Grant>,
    _outstanding: Outstanding,
}

impl UpstreamAdmission {
    pub(super) fn new(
        shared: &Arc<Shared>,
        upstream: &UpstreamName,
        spec: &UpstreamSpec,
        grant: Option<Grant>,
    ) -> Self {
        let outstanding = Outstanding::new(shared, upstream);
        Self { upstream: upstream.clone(), spec: spec.clone(), grant, _outstanding: outstanding }
    }
}

/// Counts a request as in progress at an upstream until dropped.
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

/// Constraints on the admission of an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct AdmissionCriteria<'a> {
    /// Failure domain in which the job just failed.
    pub(super) avoid: Option<&'a FailureDomain>,
    pub(super) quarantine: QuarantineStatus,
    /// When the attempt stops waiting for admission.
    pub(super) patience_until: Time,
}

/// Finds an upstream with free capacity by asking a few admission owners.
pub(super) async fn acquire_admission(
    shared: &Arc<Shared>,
    job: &Job,
    criteria: AdmissionCriteria<'_>,
) -> Result<UpstreamAdmission, ErrorBody> {
    let started_at = shared.clock.now();
    let candidates = rank(shared, job, criteria, started_at)?;
    let mut search = Search {
        shared,
        job,
        criteria,
        started_at,
        plan: Plan::new(candidates.clone()),
        silent_owners: 0,
    };
    loop {
        let admission = match search.plan.next_step() {
            NextStep::Ask(upstream) => search.ask(&upstream, false).await,
            NextStep::Queue(upstreams) => search.queue(&upstreams).await,
            NextStep::GiveUp(_) if search.silent_owners > 0 => {
                return admission_without_owner(shared, job, &candidates, started_at);
            }
            NextStep::GiveUp(retry_after) => {
                let service = &job.access.service_access.service.spec.name;
                return Err(overloaded(service, retry_after));
            }
        };
        if let Some(admission) = admission {
            return Ok(admission);
        }
    }
}

struct Search<'a> {
    shared: &'a Arc<Shared>,
    job: &'a Job,
    criteria: AdmissionCriteria<'a>,
    started_at: Time,
    plan: Plan,
    /// Admission owners that did not reply.
    silent_owners: u32,
}

impl Search<'_> {
    /// Asks the admission owner of an upstream for admission; with `may_queue`, waits in its queue.
    async fn ask(&mut self, upstream: &UpstreamName, may_queue: bool) -> Option<UpstreamAdmission> {
        let reply = self.request_admission(upstream, may_queue).await;
        self.handle_reply(upstream, reply)
    }

    /// Queues at several owners and takes the first grant; dropping the other requests withdraws
    /// them.
    async fn queue(&mut self, upstreams: &[UpstreamName]) -> Option<UpstreamAdmission> {
        let request = |upstream: &UpstreamName| {
            let (reply, upstream) = (self.request_admission(upstream, true), upstream.clone());
            async move { (upstream, reply.await) }
        };
        let mut requests: FuturesUnordered<_> = upstreams.iter().map(request).collect();
        let mut replies = Vec::new();
        while let Some((upstream, reply)) = requests.next().await {
            let is_grant = matches!(reply, AdmitOutcome::Granted(_));
            replies.push((upstream, reply));
            if is_grant {
                break;
            }
        }
        drop(requests);
        let mut replies = replies.into_iter();
        replies.find_map(|(upstream, reply)| self.handle_reply(&upstream, reply))
    }

    fn request_admission(
        &self,
        upstream: &UpstreamName,
        may_queue: bool,
    ) -> impl Future<Output = AdmitOutcome> + use<> {
        let view = self.shared.view.load();
        let spec = self.job.access.service_access.service.spec.upstreams.get(upstream);
        let owner = spec.and_then(|s| view.owners.of_upstream(upstream, &s.failure_domain));
        let owner = owner.cloned();
        let request = admission_request(self.shared, self.job, upstream, may_queue, self.criteria);
        let shared = Arc::clone(self.shared);
        async move {
            match owner {
                Some(owner) => admit(&shared, &owner, request).await,
                None => AdmitOutcome::Silent,
            }
        }
    }

    fn handle_reply(
        &mut self,
        upstream: &UpstreamName,
        reply: AdmitOutcome,
    ) -> Option<UpstreamAdmission> {
        match reply {
            AdmitOutcome::Granted(grant) => {
                let spec = self.job.access.service_access.service.spec.upstreams.get(upstream)?;
                let (shared, job, started_at) = (self.shared, self.job, self.started_at);
                return Some(admission_for_grant(shared, job, started_at, upstream, spec, grant));
            }
            AdmitOutcome::Busy(wait) => {
                self.plan.busy(wait);
                log_busy(self.shared, self.job, upstream, wait);
            }
            AdmitOutcome::Refused(retry_after) => {
                self.plan.refused(retry_after);
                log_busy(self.shared, self.job, upstream, retry_after);
            }
            AdmitOutcome::Silent => {
                self.silent_owners += 1;
                self.plan.refused(DEFAULT_RETRY_AFTER);
            }
        }
        None
    }
}

/// The candidate upstreams, best first.
fn rank(
    shared: &Shared,
    job: &Job,
    admission_criteria: AdmissionCriteria<'_>,
    now: Time,
) -> Result<Vec<UpstreamName>, ErrorBody> {
    let service = &job.access.service_access.service.spec;
    let criteria = RoutingCriteria {
        prefix: job.prefix,
        prefix_tokens: job.prefix_tokens,
        local_domain: &shared.settings.failure_domain,
        avoid: admission_criteria.avoid,
    };
    let candidates = shared.candidates(now, &job.access.service_access.service, criteria);
    job.log(
        shared,
        Decision::Candidates {
            ranked: candidates.iter().map(|c| (c.upstream.clone(), c.score_ms)).collect(),
        },
    );
    if candidates.is_empty() {
        let message = format!("no upstream of service \"{}\" is available", service.name);
        let error = ErrorBody::new(Code::NoUpstream, message);
        return Err(error.with_retry_after(DEFAULT_RETRY_AFTER.0));
    }
    Ok(candidates.into_iter().map(|candidate| candidate.upstream).collect())
}

fn admission_request(
    shared: &Shared,
    job: &Job,
    upstream: &UpstreamName,
    may_queue: bool,
    criteria: AdmissionCriteria<'_>,
) -> AdmissionRequest {
    AdmissionRequest {
        holder: shared.settings.host.clone(),
        withdraw_id: 0,
        service: job.access.service_access.service.spec.name.clone(),
        upstream: upstream.clone(),
        organisation: job.access.service_access.organisation.clone(),
        kind: job.access.kind_name.clone(),
        prompt_tokens: job.prompt_tokens,
        patience: criteria.patience_until.since(shared.clock.now()),
        suspect: criteria.quarantine == QuarantineStatus::Suspect,
        no_queue: !may_queue,
    }
}

fn admission_for_grant(
    shared: &Arc<Shared>,
    job: &Job,
    started_at: Time,
    upstream: &UpstreamName,
    spec: &UpstreamSpec,
    grant: Grant,
) -> UpstreamAdmission {
    let now = shared.clock.now();
    job.log(
        shared,
        Decision::Chosen {
            upstream: upstream.clone(),
            owner: grant.owner().clone(),
            waited_ms: now.since(started_at).0,
        },
    );
    UpstreamAdmission::new(shared, upstream, spec, Some(grant))
}

fn log_busy(shared: &Shared, job: &Job, upstream: &UpstreamName, wait: Millis) {
    let expected_wait_ms = wait.0;
    job.log(shared, Decision::Busy { upstream: upstream.clone(), expected_wait_ms });
}

/// Chooses an upstream without a grant when admission owners are silent. Each daemon may use a
/// small share of every upstream in this way.
fn admission_without_owner(
    shared: &Arc<Shared>,
    job: &Job,
    candidates: &[UpstreamName],
    started_at: Time,
) -> Result<UpstreamAdmission, ErrorBody> {
    let service = &job.access.service_access.service.spec;
    let has_capacity = |name: &&UpstreamName| {
        shared.routing().router.outstanding(name.as_str()) < MAX_DIRECT_REQUESTS
    };
    let chosen = candidates.iter().find(has_capacity);
    let Some((upstream, spec)) = chosen.and_then(|n| service.upstreams.get_key_value(n)) else {
        return Err(overloaded(&service.name, DEFAULT_RETRY_AFTER));
    };
    job.log(
        shared,
        Decision::Chosen {
            upstream: upstream.clone(),
            owner: shared.settings.host.clone(),
            waited_ms: shared.clock.now().since(started_at).0,
        },
    );
    Ok(UpstreamAdmission::new(shared, upstream, spec, None))
}

fn overloaded(service: &ServiceName, retry_after: Millis) -> ErrorBody {
    let message = format!("the upstreams of service \"{service}\" have no free capacity");
    ErrorBody::new(Code::Overloaded, message).with_retry_after(retry_after.0)
}
