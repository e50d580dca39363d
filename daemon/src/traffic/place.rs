//! Finds a place for a generation at an upstream.

use super::job::Job;
use crate::admit::{Admitted, admit};
use crate::control::AdmitCall;
use crate::grants::Grant;
use crate::shared::Shared;
use magnoliawinch::decision::Decision;
use magnoliawinch::names::{FailureDomain, ServiceName, UpstreamName};
use magnoliawinch::quarantine::Treatment;
use magnoliawinch::routing::{NextStep, Plan, Wish};
use magnoliawinch::service_file::UpstreamSpec;
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_caller::{Code, ErrorBody};
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
    pub(super) treatment: Treatment,
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
    let view = shared.view.load_full();
    let service = &job.access.access.service.spec;
    let mut plan = Plan::new(names.clone());
    let mut silent = 0;
    loop {
        let (upstream, queue) = match plan.next_step() {
            NextStep::Ask { upstream, queue } => (upstream, queue),
            NextStep::GiveUp(_) if silent > 0 => return direct(shared, job, &names, asked_at),
            NextStep::GiveUp(retry) => return Err(overloaded(&service.name, retry)),
        };
        let spec = service.upstreams.get(&upstream);
        let owner = spec.and_then(|s| view.owners.of_upstream(&upstream, &s.failure_domain));
        let (Some(spec), Some(owner)) = (spec, owner) else {
            silent += 1;
            plan.refused(RETRY_AFTER);
            continue;
        };
        let call = admit_call(shared, job, &upstream, queue, wish);
        match admit(shared, owner, call).await {
            Admitted::Granted(grant) => {
                return Ok(granted(shared, job, asked_at, &upstream, spec, grant));
            }
            Admitted::Busy(wait) => {
                plan.busy(wait);
                log_busy(shared, job, &upstream, wait);
            }
            Admitted::Refused(retry) => {
                plan.refused(retry);
                log_busy(shared, job, &upstream, retry);
            }
            Admitted::Silent => {
                silent += 1;
                plan.refused(RETRY_AFTER);
            }
        }
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
    let wish = Wish {
        prefix: job.prefix,
        prefix_tokens: job.prefix_tokens,
        near: &shared.settings.failure_domain,
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
) -> AdmitCall {
    AdmitCall {
        holder: shared.settings.host.clone(),
        token: 0,
        service: job.access.access.service.spec.name.clone(),
        upstream: upstream.clone(),
        organisation: job.access.access.organisation.clone(),
        kind: job.access.kind_name.clone(),
        prompt_tokens: job.prompt_tokens,
        patience: place_wish.patience_until.since(shared.clock.now()),
        suspect: place_wish.treatment == Treatment::Suspect,
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
