//! The gRPC service for other daemons.

use crate::control::{AdmissionReply, AdmissionRequest, AdmitDecision, Message, ShardClaim};
use crate::shared::Shared;
use magnoliawinch::catalogue::Offset;
use magnoliawinch::ledger::{Claim, ClaimDecision, Claimant, Outcome};
use magnoliawinch::names::{HostName, KindName, OrganisationName, ServiceName, UpstreamName};
use magnoliawinch::quarantine::{Crash, Fingerprint, QuarantineStatus, UNKNOWN_INCARNATION};
use magnoliawinch::time::Millis;
use magnoliawinch_peer::{
    AdmitReply, AdmitRequest, ClaimReply, ClaimRequest, FollowReply, FollowRequest, InForceReply,
    InForceRequest, LogRecord, Peer, ProbeReply, ProbeRequest, RenewReply, RenewRequest,
    SettleReply, SettleRequest, SuspectReply, SuspectRequest,
};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use strum::{EnumIter, FromRepr};
use tokio::sync::oneshot;
use tonic::{Request, Response, Status};

/// Scale of `AdmitReply::utilisation`, which is in thousandths.
pub(crate) const UTILISATION_SCALE: f64 = 1_000.0;

/// Values of `AdmitReply::decision` on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, FromRepr, EnumIter)]
#[repr(u32)]
pub(crate) enum AdmitCode {
    Granted = 0,
    Busy = 1,
    Refused = 2,
    Unknown = 3,
}

/// Values of `ClaimReply::decision` on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, FromRepr, EnumIter)]
#[repr(u32)]
pub(crate) enum ClaimCode {
    Won = 0,
    Running = 1,
    Released = 2,
    Finished = 3,
    OtherBody = 4,
    LogUnavailable = 5,
}

/// Values of `SuspectRequest::report` on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, FromRepr, EnumIter)]
#[repr(u32)]
pub(crate) enum SuspectReport {
    Ask = 0,
    Crashed = 1,
    Completed = 2,
}

static NEXT_WITHDRAW_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a new ID, which identifies an admission request when it is withdrawn.
pub(crate) fn next_withdraw_id() -> u64 {
    NEXT_WITHDRAW_ID.fetch_add(1, Ordering::Relaxed)
}

/// Withdraws an admission request when dropped, unless disarmed after the reply.
pub(crate) struct WithdrawGuard {
    shared: Arc<Shared>,
    upstream: UpstreamName,
    withdraw_id: u64,
    disarmed: bool,
}

impl WithdrawGuard {
    pub(crate) fn new(shared: &Arc<Shared>, upstream: &UpstreamName, withdraw_id: u64) -> Self {
        let (shared, upstream) = (Arc::clone(shared), upstream.clone());
        Self { shared, upstream, withdraw_id, disarmed: false }
    }

    pub(crate) fn disarm(mut self) {
        self.disarmed = true;
    }
}

impl Drop for WithdrawGuard {
    fn drop(&mut self) {
        if self.disarmed {
            return;
        }
        let message =
            Message::Withdraw { upstream: self.upstream.clone(), withdraw_id: self.withdraw_id };
        let shared = Arc::clone(&self.shared);
        self.shared.traffic.spawn(async move {
            let _ = shared.control.send(message).await;
        });
    }
}

/// Implements the gRPC service that other daemons call.
#[derive(Debug)]
pub(crate) struct PeerService {
    shared: Arc<Shared>,
}

impl PeerService {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn ask<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> Message,
    ) -> Result<T, Status> {
        self.shared.ask(message).await.ok_or_else(|| Status::unavailable("the daemon ends"))
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn probe(&self, req: Request<ProbeRequest>) -> Result<Response<ProbeReply>, Status> {
        let req = req.into_inner();
        self.ask(|reply| Message::Probe { req, reply }).await.map(Response::new)
    }

    async fn admit(&self, req: Request<AdmitRequest>) -> Result<Response<AdmitReply>, Status> {
        let req = req.into_inner();
        let withdraw_id = next_withdraw_id();
        let upstream = UpstreamName::new(&req.upstream);
        let guard = WithdrawGuard::new(&self.shared, &upstream, withdraw_id);
        let request = AdmissionRequest {
            holder: HostName::new(&req.host),
            withdraw_id,
            service: ServiceName::new(&req.service),
            upstream,
            organisation: OrganisationName::new(&req.organisation),
            kind: KindName::new(&req.kind),
            prompt_tokens: req.prompt_tokens,
            patience: Millis(u64::from(req.patience_ms)),
            suspect: req.suspect,
            no_queue: req.no_queue,
        };
        let reply = self.ask(|reply| Message::Admit { request, reply }).await?;
        guard.disarm();
        Ok(Response::new(admit_reply(reply)))
    }

    async fn renew(&self, req: Request<RenewRequest>) -> Result<Response<RenewReply>, Status> {
        let message = Message::Renew(req.into_inner());
        let sent = self.shared.control.send(message).await;
        sent.map_err(|_| Status::unavailable("the daemon ends"))?;
        Ok(Response::new(RenewReply {}))
    }

    async fn claim(&self, req: Request<ClaimRequest>) -> Result<Response<ClaimReply>, Status> {
        let req = req.into_inner();
        let host = HostName::new(&req.host);
        let claim = ShardClaim {
            shard: req.shard,
            claim: Claim {
                key: req.key,
                body_digest: req.body_digest,
                claimant: Claimant { host, incarnation: req.host_incarnation },
                nonce: req.nonce,
            },
            patience: Millis(u64::from(req.patience_ms)),
        };
        let decision = self.ask(|reply| Message::Claim { claim, reply }).await?;
        Ok(Response::new(claim_reply(&decision)))
    }

    async fn settle(&self, req: Request<SettleRequest>) -> Result<Response<SettleReply>, Status> {
        let req = req.into_inner();
        let outcome: Outcome = serde_json::from_str(&req.outcome)
            .map_err(|e| Status::invalid_argument(e.to_string()))?;
        let (shard, key, nonce) = (req.shard, req.key, req.nonce);
        self.ask(|reply| Message::Settle { shard, key, nonce, outcome, reply }).await?;
        Ok(Response::new(SettleReply { recorded: true }))
    }

    async fn follow(&self, req: Request<FollowRequest>) -> Result<Response<FollowReply>, Status> {
        let req = req.into_inner();
        let (host, from) = (req.host, Offset(req.from));
        let wait = Millis(u64::from(req.wait_ms));
        let reply = self.ask(|reply| Message::Follow { host, from, wait, reply }).await?;
        let record = |r: magnoliawinch_log::LogRecord| LogRecord {
            offset: r.offset.0,
            at_ms: r.at_ms.0,
            data: r.data,
        };
        Ok(Response::new(FollowReply {
            records: reply.records.into_iter().map(record).collect(),
            next: reply.next.0,
            first: reply.first.0,
            snapshot: reply.snapshot.unwrap_or_default(),
        }))
    }

    async fn suspect(
        &self,
        req: Request<SuspectRequest>,
    ) -> Result<Response<SuspectReply>, Status> {
        let req = req.into_inner();
        let fingerprint = Fingerprint(req.fingerprint);
        let status = match SuspectReport::from_repr(req.report) {
            Some(SuspectReport::Ask) => {
                self.ask(|reply| Message::Quarantine { fingerprint, reply }).await?
            }
            Some(SuspectReport::Crashed) => {
                let upstream = UpstreamName::new(&req.upstream);
                let crash = Crash { fingerprint, upstream, born: UNKNOWN_INCARNATION };
                self.ask(|reply| Message::Crashed { crash, reply }).await?
            }
            Some(SuspectReport::Completed) => {
                let message = Message::SuspectCompleted(fingerprint);
                let _ = self.shared.control.send(message).await;
                QuarantineStatus::Normal
            }
            None => return Err(Status::invalid_argument("unknown report")),
        };
        Ok(Response::new(suspect_reply(status)))
    }

    async fn in_force(
        &self,
        req: Request<InForceRequest>,
    ) -> Result<Response<InForceReply>, Status> {
        let offset = Offset(req.into_inner().offset);
        let reply = self.ask(|reply| Message::InForce { offset, reply }).await?;
        let names = |hosts: Vec<HostName>| hosts.iter().map(HostName::to_string).collect();
        Ok(Response::new(InForceReply {
            reached: names(reply.reached),
            behind: names(reply.behind),
        }))
    }
}

fn admit_reply(admission: AdmissionReply) -> AdmitReply {
    let millis = |m: Millis| m.0.min(u64::from(u32::MAX)) as u32;
    let utilisation = (admission.utilisation * UTILISATION_SCALE) as u32;
    let reply = AdmitReply { utilisation, ..AdmitReply::default() };
    match admission.decision {
        AdmitDecision::Granted(grant) => {
            AdmitReply { decision: AdmitCode::Granted as u32, grant, ..reply }
        }
        AdmitDecision::Busy(wait) => {
            AdmitReply { decision: AdmitCode::Busy as u32, expected_wait_ms: millis(wait), ..reply }
        }
        AdmitDecision::Refused(retry_after) => AdmitReply {
            decision: AdmitCode::Refused as u32,
            retry_after_ms: millis(retry_after),
            ..reply
        },
        AdmitDecision::Unknown => AdmitReply { decision: AdmitCode::Unknown as u32, ..reply },
    }
}

fn claim_reply(decision: &ClaimDecision) -> ClaimReply {
    let (code, outcome) = match decision {
        ClaimDecision::Won => (ClaimCode::Won, None),
        ClaimDecision::Running => (ClaimCode::Running, None),
        ClaimDecision::Released => (ClaimCode::Released, None),
        ClaimDecision::Finished(outcome) => (ClaimCode::Finished, Some(outcome)),
        ClaimDecision::OtherBody => (ClaimCode::OtherBody, None),
        ClaimDecision::LogUnavailable => (ClaimCode::LogUnavailable, None),
    };
    let outcome = outcome.map(|o| serde_json::to_string(o).unwrap_or_default());
    ClaimReply { decision: code as u32, outcome: outcome.unwrap_or_default() }
}

fn suspect_reply(status: QuarantineStatus) -> SuspectReply {
    match status {
        QuarantineStatus::Normal => SuspectReply { suspect: false, refused_for_ms: 0 },
        QuarantineStatus::Suspect => SuspectReply { suspect: true, refused_for_ms: 0 },
        QuarantineStatus::Refused(Millis(ms)) => {
            SuspectReply { suspect: true, refused_for_ms: ms.min(u64::from(u32::MAX)) as u32 }
        }
    }
}
