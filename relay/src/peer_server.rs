//! The gRPC service for other daemons.

use crate::carry::{CarriedCall, CarriedParts};
use crate::configuration_body::Chunk;
use crate::control::{Message, PlaceOutcome};
use crate::shared::Shared;
use bytes::Bytes;
use magnoliawinch::names::{
    FailureDomain, HostName, KindName, OrganisationName, RunId, ServiceName, UpstreamName,
};
use magnoliawinch::pool::PlacementRequest;
use magnoliawinch::quarantine::Fingerprint;
use magnoliawinch::rendezvous;
use magnoliawinch::time::Millis;
use magnoliawinch_peer::{
    CarriedRequest, CellOf, FetchReply, FetchRequest, PlaceReply, PlaceRequest, ProbeReply,
    ProbeRequest, ReachReply, ReachRequest, Relay, RelocateReply, RelocateRequest, RunsReply,
    RunsReport, StateReply, StateRequest,
};
use std::sync::Arc;
use std::time::Duration;
use strum::FromRepr;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tonic::{Request, Response, Status, Streaming};

/// Time in which a host sends the request that it carries here.
const CARRIED_REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Values of `PlaceReply::decision` on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, FromRepr)]
#[repr(u32)]
pub(crate) enum PlaceCode {
    Placed = 0,
    Refused = 1,
    Unknown = 2,
    Queued = 3,
    AllAvoided = 4,
}

/// Values of `FetchReply::result` on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, FromRepr)]
#[repr(u32)]
pub(crate) enum FetchCode {
    Data = 0,
    Busy = 1,
    Unknown = 2,
}

/// Implements the gRPC service that other daemons call.
#[derive(Debug)]
pub(crate) struct RelayService {
    shared: Arc<Shared>,
}

impl RelayService {
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
impl Relay for RelayService {
    type CarryStream = CarriedParts;

    async fn carry(
        &self,
        req: Request<Streaming<CarriedRequest>>,
    ) -> Result<Response<CarriedParts>, Status> {
        // From before the other host may send a request, which arrives later.
        let in_progress = self.shared.track_request();
        if !self.shared.view.load().is_ready() {
            return Err(Status::unavailable("the daemon takes no requests"));
        }
        let (parts, reply) = CarriedParts::new(in_progress);
        let (carried, mut requests) = (self.shared.carried.clone(), req.into_inner());
        self.shared.traffic.spawn(async move {
            let request = timeout(CARRIED_REQUEST_TIMEOUT, requests.message()).await;
            match request.unwrap_or(Ok(None)) {
                Ok(Some(request)) => {
                    if carried.send(CarriedCall { request, parts }).await.is_err() {
                        log::debug!("a carried request arrived after the end of the handler");
                    }
                }
                Ok(None) => log::debug!("a host carried no request"),
                Err(status) => log::debug!("a carried request did not arrive: {status}"),
            }
        });
        Ok(Response::new(reply))
    }

    async fn probe(&self, req: Request<ProbeRequest>) -> Result<Response<ProbeReply>, Status> {
        let req = req.into_inner();
        self.ask(|reply| Message::Probe { req, reply }).await.map(Response::new)
    }

    async fn place(&self, req: Request<PlaceRequest>) -> Result<Response<PlaceReply>, Status> {
        let req = req.into_inner();
        let service = ServiceName::new(&req.service);
        let now = self.shared.clock.now();
        let request = Box::new(PlacementRequest {
            run: RunId::new(&req.run),
            holder: HostName::new(&req.host),
            holder_domain: FailureDomain::new(&req.failure_domain),
            kind: KindName::new(&req.kind),
            organisation: OrganisationName::new(&req.organisation),
            prompt_tokens: req.prompt_tokens,
            max_tokens: req.max_tokens,
            priority: req.priority.min(u32::from(u8::MAX)) as u8,
            first_event_deadline: now + Millis(u64::from(req.on_time_ms)),
            patience_until: now + Millis(u64::from(req.patience_ms)),
            avoid: req.avoid.iter().map(|name| UpstreamName::new(name)).collect(),
            max_pause: req.max_pause_ms.map(|ms| Millis(u64::from(ms))),
            fingerprint: req.fingerprint.map(Fingerprint),
        });
        let Some(cell) = req.cell.as_ref().and_then(CellOf::cell) else {
            return Ok(Response::new(place_reply(PlaceOutcome::Unknown)));
        };
        let outcome = self.ask(|reply| Message::Place { service, cell, request, reply }).await?;
        Ok(Response::new(place_reply(outcome)))
    }

    async fn report(&self, req: Request<RunsReport>) -> Result<Response<RunsReply>, Status> {
        let report = Box::new(req.into_inner());
        self.ask(|reply| Message::Report { report, reply }).await.map(Response::new)
    }

    async fn relocate(
        &self,
        req: Request<RelocateRequest>,
    ) -> Result<Response<RelocateReply>, Status> {
        let sent = self.shared.control.send(Message::Relocate(req.into_inner())).await;
        sent.map_err(|_| Status::unavailable("the daemon ends"))?;
        Ok(Response::new(RelocateReply {}))
    }

    async fn state(&self, req: Request<StateRequest>) -> Result<Response<StateReply>, Status> {
        let req = req.into_inner();
        self.ask(|reply| Message::State { req, reply }).await.map(Response::new)
    }

    async fn reach(&self, req: Request<ReachRequest>) -> Result<Response<ReachReply>, Status> {
        let ReachRequest { upstream, address, service } = req.into_inner();
        let address = address.parse().map_err(|_| Status::invalid_argument("no address"))?;
        let (upstream, service) = (UpstreamName::new(&upstream), ServiceName::new(&service));
        let result = self.shared.witness(&service, &upstream, address).await;
        Ok(Response::new(ReachReply { result: result as u32 }))
    }

    async fn fetch(&self, req: Request<FetchRequest>) -> Result<Response<FetchReply>, Status> {
        let FetchRequest { version, digest, offset, host } = req.into_inner();
        let (now, follower) = (self.shared.clock.now(), rendezvous::hash(&host));
        let chunk = self.shared.bodies().chunk(now, follower, (version, digest), offset as usize);
        Ok(Response::new(self.fetch_reply(chunk)))
    }
}

impl RelayService {
    fn fetch_reply(&self, chunk: Chunk) -> FetchReply {
        let metrics = &self.shared.metrics;
        let (result, data, retry_after) = match chunk {
            Chunk::Data(data) => {
                metrics.add("bytes_sent", "configuration", data.len());
                (FetchCode::Data, data, Millis(0))
            }
            Chunk::Busy(wait) => {
                metrics.count("refused_chunk", "busy");
                (FetchCode::Busy, Bytes::new(), wait)
            }
            Chunk::Unknown => {
                metrics.count("refused_chunk", "unknown");
                (FetchCode::Unknown, Bytes::new(), Millis(0))
            }
        };
        FetchReply { result: result as u32, data, retry_after_ms: retry_after.0 as u32 }
    }
}

fn place_reply(outcome: PlaceOutcome) -> PlaceReply {
    match outcome {
        PlaceOutcome::Placed(assignment) => PlaceReply {
            decision: PlaceCode::Placed as u32,
            engine: assignment.engine.name.to_string(),
            engine_address: assignment.engine.address.to_string(),
            backup: assignment.backup.as_ref().map(|b| b.name.to_string()).unwrap_or_default(),
            backup_born: assignment.backup.as_ref().map_or(0, |b| b.born),
            backup_address: assignment.backup.map(|b| b.address.to_string()).unwrap_or_default(),
            engine_born: assignment.engine.born,
            retry_after_ms: 0,
            max_slowdown_percent: assignment.max_slowdown_percent,
        },
        PlaceOutcome::Refused(Millis(ms)) => PlaceReply {
            decision: PlaceCode::Refused as u32,
            retry_after_ms: ms.min(u64::from(u32::MAX)) as u32,
            ..PlaceReply::default()
        },
        PlaceOutcome::Queued => {
            PlaceReply { decision: PlaceCode::Queued as u32, ..PlaceReply::default() }
        }
        PlaceOutcome::Unknown => {
            PlaceReply { decision: PlaceCode::Unknown as u32, ..PlaceReply::default() }
        }
        PlaceOutcome::AllAvoided => {
            PlaceReply { decision: PlaceCode::AllAvoided as u32, ..PlaceReply::default() }
        }
    }
}
