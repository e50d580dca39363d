//! The attempts of one job, over several upstreams where that is allowed.

use super::job::Job;
use super::place::{PlaceWish, RETRY_AFTER, find_place};
use super::run::{Output, Run, RunFailure, start};
use super::suspects::ask_about;
use crate::peer_server::SuspectReport;
use crate::shared::Shared;
use magnoliawinch::decision::Decision;
use magnoliawinch::names::{FailureDomain, UpstreamName};
use magnoliawinch::quarantine::QuarantineStatus;
use magnoliawinch::verdict::Verdict;
use magnoliawinch_caller::{Code, ErrorBody};
use std::sync::Arc;
use tokio::time::sleep;

/// The attempts of one job so far.
#[derive(Debug)]
pub(super) struct Attempt {
    count: u32,
    verdict: Verdict,
    pub(super) run: Run,
    /// The first output of the run.
    pub(super) first: Output,
    treatment: QuarantineStatus,
}

impl Attempt {
    /// Runs `job` until a first output, over as many upstreams as are allowed.
    pub(super) async fn first(shared: &Arc<Shared>, job: &Job) -> Result<Self, ErrorBody> {
        shared.routing().budget.record_request();
        Self::run(shared, job, 0, Verdict::NotRun, None).await
    }

    /// Runs `job` again after `failure` of this attempt, of which nothing was released.
    pub(super) async fn again(
        self,
        shared: &Arc<Shared>,
        job: &Job,
        failure: RunFailure,
    ) -> Result<Self, ErrorBody> {
        let avoid = Some(self.run.failure_domain().clone());
        let upstream = self.run.id.upstream.clone();
        let (count, verdict) = (self.count, self.verdict);
        drop(self.run);
        let verdict = verdict.combine(failure.verdict);
        after_failure(shared, job, &upstream, count, verdict, failure).await?;
        Self::run(shared, job, count, verdict, avoid).await
    }

    /// Notes that the job is done, so that a suspect is one no longer.
    pub(super) async fn succeeded(&self, shared: &Arc<Shared>, job: &Job) {
        if self.treatment == QuarantineStatus::Suspect {
            ask_about(shared, job.fingerprint, SuspectReport::Completed).await;
        }
    }

    /// Reports that the engine died while the job ran there.
    pub(super) async fn report_crash(&self, shared: &Arc<Shared>, job: &Job, failure: &RunFailure) {
        if failure.died {
            ask_about(shared, job.fingerprint, SuspectReport::Crashed).await;
        }
    }

    async fn run(
        shared: &Arc<Shared>,
        job: &Job,
        attempts: u32,
        verdict: Verdict,
        avoid: Option<FailureDomain>,
    ) -> Result<Self, ErrorBody> {
        let (mut count, mut verdict, mut avoid) = (attempts, verdict, avoid);
        loop {
            let treatment = ask_about(shared, job.fingerprint, SuspectReport::Ask).await;
            if let QuarantineStatus::Refused(left) = treatment {
                let error = ErrorBody::new(Code::Quarantined, "the request crashed upstreams");
                let error = error.with_verdict(verdict).with_retry_after(left.0);
                return Err(job.refuse(shared, error));
            }
            // A request that lost its first upstream may wait as long as its answer is of use.
            let patience_until = if count == 0 { job.patience_until } else { job.deadline };
            let wish = PlaceWish { avoid: avoid.as_ref(), treatment, patience_until };
            let place = find_place(shared, job, wish)
                .await
                .map_err(|error| job.refuse(shared, error.with_verdict(verdict)))?;
            count += 1;
            let upstream = place.upstream.clone();
            let domain = place.spec.failure_domain.clone();
            match start(shared, job, place).await {
                Ok((run, first)) => {
                    return Ok(Self { count, verdict, run, first, treatment });
                }
                Err(failure) => {
                    verdict = verdict.combine(failure.verdict);
                    avoid = Some(domain);
                    after_failure(shared, job, &upstream, count, verdict, failure).await?;
                }
            }
        }
    }
}

/// Decides whether a failed attempt is followed by another, and waits for its time.
async fn after_failure(
    shared: &Arc<Shared>,
    job: &Job,
    upstream: &UpstreamName,
    count: u32,
    verdict: Verdict,
    failure: RunFailure,
) -> Result<(), ErrorBody> {
    if failure.died && failure.verdict != Verdict::NotRun {
        ask_about(shared, job.fingerprint, SuspectReport::Crashed).await;
    }
    let idempotent = job.access.kind.idempotent;
    let wait = shared.next_attempt(count, verdict, idempotent, job.deadline);
    job.log(
        shared,
        Decision::AttemptFailed {
            upstream: upstream.clone(),
            verdict: failure.verdict,
            retried: wait.is_some(),
            reason: failure.reason.clone(),
        },
    );
    match wait {
        Some(wait) => {
            sleep(wait.into()).await;
            Ok(())
        }
        None => {
            let error = ErrorBody::new(Code::UpstreamFailed, failure.reason);
            let error = error.with_verdict(verdict).with_retry_after(RETRY_AFTER.0);
            Err(job.refuse(shared, error))
        }
    }
}
