//! Jobs: generations requested by callers.

use super::auth::KindAccess;
use crate::shared::Shared;
use magnoliawinch::decision::Decision;
use magnoliawinch::quarantine::Fingerprint;
use magnoliawinch::time::Time;
use magnoliawinch_caller::ErrorBody;

/// A generation requested by a caller.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) request_id: String,
    pub(super) access: KindAccess,
    pub(super) prompt: String,
    pub(super) prompt_tokens: u32,
    /// Hash of the prompt's prefix; 0 if the prompt is too short to share one.
    pub(super) prefix: u64,
    pub(super) prefix_tokens: u32,
    pub(super) max_tokens: u32,
    pub(super) fingerprint: Fingerprint,
    pub(super) arrived_at: Time,
    pub(super) deadline: Time,
    /// When the first attempt stops waiting for admission.
    pub(super) patience_until: Time,
}

impl Job {
    pub(super) fn log(&self, shared: &Shared, decision: Decision) {
        let service = &self.access.service_access.service.spec.name;
        shared.decisions.log(&self.request_id, service, decision);
    }

    /// Logs, counts and returns the error that ends the job.
    pub(super) fn refuse(&self, shared: &Shared, error: ErrorBody) -> ErrorBody {
        let code = error.code.to_string();
        let retry_after_ms = error.retry_after_ms;
        self.log(shared, Decision::Refused { code, retry_after_ms });
        let service = &self.access.service_access.service.spec.name;
        shared.metrics.count("refusals", service, &self.access.kind_name);
        error
    }
}
