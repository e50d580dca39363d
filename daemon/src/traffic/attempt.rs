//! Attempts of a job, which may be retried on other upstreams.

use super::admission::{AdmissionCriteria, DEFAULT_RETRY_AFTER, acquire_admission};
use super::job::Job;
use super::run::{Output, Run, RunFailure, start};
use super::suspects::{Notice, report_suspect};
use crate::shared::Shared;
use magnoliawinch::decision::Decision;
use magnoliawinch::names::{FailureDomain, UpstreamName};
use magnoliawinch::quarantine::QuarantineStatus;
use magnoliawinch::verdict::Verdict;
use magnoliawinch_caller::{Code, ErrorBody};
use std::sync::Arc;
use tokio::time::sleep;

/// The current attempt of a job, with the history of earlier ones.
#[derive(Debug)]
pub(super) struct Attempt {
    /// Attempts so far, this one included.
    count: u32,
    /// Combined verdict of the failed attempts.
    verdict: Verdict,
    pub(super) run: Run,
    pub(super) first_output: Output,
    quarantine: QuarantineStatus,
}

impl Attempt {
    /// Starts `job` and waits for its first output; retries on other upstreams as far as allowed.
    pub(super) async fn start(shared: &Arc<Shared>, job: &Job) -> Result<Self, ErrorBody> {
        shared.routing().retry_budget.record_request();
        Self::try_upstreams(shared, job, 0, Verdict::NotRun, None).await
    }

    /// Retries `job` after this attempt failed; no output may have been delivered to the caller.
    pub(super) async fn retry(
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
        wait_for_retry(shared, job, &upstream, count, verdict, failure).await?;
        Self::try_upstreams(shared, job, count, verdict, avoid).await
    }

    /// Reports that the job completed, so that it is no longer a suspect.
    pub(super) async fn report_completed(&self, shared: &Arc<Shared>, job: &Job) {
        if self.quarantine == QuarantineStatus::Suspect {
            report_suspect(shared, job.fingerprint, Notice::Completed).await;
        }
    }

    /// Reports a crash if the engine crashed while it ran the job.
    pub(super) async fn report_crash(&self, shared: &Arc<Shared>, job: &Job, failure: &RunFailure) {
        if failure.engine_crashed {
            let crashed = Notice::Crashed(&self.run.id.upstream);
            report_suspect(shared, job.fingerprint, crashed).await;
        }
    }

    async fn try_upstreams(
        shared: &Arc<Shared>,
        job: &Job,
        attempts: u32,
        verdict: Verdict,
        avoid: Option<FailureDomain>,
    ) -> Result<Self, ErrorBody> {
        let (mut count, mut verdict, mut avoid) = (attempts, verdict, avoid);
        loop {
            let quarantine = report_suspect(shared, job.fingerprint, Notice::Ask).await;
            if let QuarantineStatus::Refused(remaining) = quarantine {
                let error =
                    ErrorBody::new(Code::Quarantined, "the request crashed upstreams before");
                let error = error.with_verdict(verdict).with_retry_after(remaining.0);
                return Err(job.refuse(shared, error));
            }
            // After a failed attempt, the job may wait for admission until its deadline.
            let patience_until = if count == 0 { job.patience_until } else { job.deadline };
            let criteria = AdmissionCriteria { avoid: avoid.as_ref(), quarantine, patience_until };
            let admission = acquire_admission(shared, job, criteria)
                .await
                .map_err(|error| job.refuse(shared, error.with_verdict(verdict)))?;
            count += 1;
            let upstream = admission.upstream.clone();
            let failure_domain = admission.spec.failure_domain.clone();
            match start(shared, job, admission).await {
                Ok((run, first_output)) => {
                    return Ok(Self { count, verdict, run, first_output, quarantine });
                }
                Err(failure) => {
                    verdict = verdict.combine(failure.verdict);
                    avoid = Some(failure_domain);
                    wait_for_retry(shared, job, &upstream, count, verdict, failure).await?;
                }
            }
        }
    }
}

/// Waits until the next attempt may start; returns an error if no retry is allowed.
async fn wait_for_retry(
    shared: &Arc<Shared>,
    job: &Job,
    upstream: &UpstreamName,
    count: u32,
    verdict: Verdict,
    failure: RunFailure,
) -> Result<(), ErrorBody> {
    if failure.engine_crashed && failure.verdict != Verdict::NotRun {
        report_suspect(shared, job.fingerprint, Notice::Crashed(upstream)).await;
    }
    let idempotent = job.access.kind.idempotent;
    let delay = shared.next_attempt(count, verdict, idempotent, job.deadline);
    job.log(
        shared,
        Decision::AttemptFailed {
            upstream: upstream.clone(),
            verdict: failure.verdict,
            retried: delay.is_some(),
            reason: failure.reason.clone(),
        },
    );
    match delay {
        Some(delay) => {
            sleep(delay.into()).await;
            Ok(())
        }
        None => {
            let error = ErrorBody::new(Code::UpstreamFailed, failure.reason);
            let error = error.with_verdict(verdict).with_retry_after(DEFAULT_RETRY_AFTER.0);
            Err(job.refuse(shared, error))
        }
    }
}
