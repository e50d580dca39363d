//! The HTTP API for operators.

use crate::control::Message;
use crate::shared::Shared;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, Response, StatusCode};
use magnoliawinch::catalogue::Offset;
use magnoliawinch::membership::Member;
use magnoliawinch::names::HostName;
use magnoliawinch::service_file::key_digest;
use magnoliawinch_http::{Body, json_response};
use magnoliawinch_operator::{ErrorBody, Explanation, InForce, Publish, Status};
use magnoliawinch_peer::InForceRequest;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

const MAX_CHANGE_BYTES: usize = 4_194_304;

/// Timeout of a daemon's reply about its followers.
const IN_FORCE_TIMEOUT: Duration = Duration::from_millis(500);

type HandlerResult = Result<Response<Body>, Refusal>;

/// An error response to an operator.
#[derive(Debug)]
struct Refusal {
    status: StatusCode,
    message: String,
}

fn refusal(status: StatusCode, message: impl Into<String>) -> Refusal {
    Refusal { status, message: message.into() }
}

/// Handles one request of an operator.
pub(crate) async fn handle(
    shared: Arc<Shared>,
    leave_requested: Arc<tokio::sync::Notify>,
    req: Request<Incoming>,
) -> Response<Body> {
    let result = match authorise(&shared, &req) {
        Ok(()) => route(&shared, &leave_requested, req).await,
        Err(refusal) => Err(refusal),
    };
    result.unwrap_or_else(|refusal| {
        json_response(refusal.status, &ErrorBody { message: refusal.message })
    })
}

fn authorise(shared: &Shared, req: &Request<Incoming>) -> Result<(), Refusal> {
    let header = req.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = header.and_then(|value| value.strip_prefix("Bearer "));
    let is_valid =
        key.is_some_and(|key| key_digest(key.trim()) == shared.settings.operator_key_sha256);
    match is_valid {
        true => Ok(()),
        false => Err(refusal(StatusCode::UNAUTHORIZED, "the operator key is missing or wrong")),
    }
}

async fn route(
    shared: &Arc<Shared>,
    leave_requested: &tokio::sync::Notify,
    req: Request<Incoming>,
) -> HandlerResult {
    let path = req.uri().path().to_owned();
    let mut segments = path.trim_start_matches('/').split('/');
    match (req.method(), segments.next(), segments.next()) {
        (&Method::GET, Some("status"), None) => Ok(ok(&status(shared).await?)),
        (&Method::GET, Some("services"), Some(name)) => {
            let name = name.to_owned();
            Ok(ok(&ask(shared, |reply| Message::Service { name, reply }).await?))
        }
        (&Method::GET, Some("in-force"), None) => in_force(shared, &req).await,
        (&Method::GET, Some("explain"), Some(request)) => {
            Ok(ok(&Explanation { lines: shared.decisions.for_request(request) }))
        }
        (&Method::POST, Some("changes"), None) => publish(shared, req).await,
        (&Method::POST, Some("drain"), None) => {
            leave_requested.notify_one();
            Ok(ok(&status(shared).await?))
        }
        _ => Err(refusal(StatusCode::NOT_FOUND, format!("path \"{path}\" does not exist"))),
    }
}

fn ok(body: &impl serde::Serialize) -> Response<Body> {
    json_response(StatusCode::OK, body)
}

async fn ask<T>(
    shared: &Shared,
    message: impl FnOnce(oneshot::Sender<T>) -> Message,
) -> Result<T, Refusal> {
    let reply = shared.ask(message).await;
    reply.ok_or_else(|| refusal(StatusCode::SERVICE_UNAVAILABLE, "the daemon is shutting down"))
}

async fn status(shared: &Shared) -> Result<Status, Refusal> {
    ask(shared, Message::Status).await
}

async fn publish(shared: &Shared, req: Request<Incoming>) -> HandlerResult {
    let body = Limited::new(req.into_body(), MAX_CHANGE_BYTES).collect().await;
    let body = body.map_err(|e| refusal(StatusCode::BAD_REQUEST, e.to_string()))?;
    let publish: Publish = serde_json::from_slice(&body.to_bytes())
        .map_err(|e| refusal(StatusCode::BAD_REQUEST, e.to_string()))?;
    let change = Box::new(publish.change);
    Ok(ok(&ask(shared, |reply| Message::Publish { change, reply }).await?))
}

/// Asks members which of their followers have applied an offset, until all daemons are accounted
/// for.
async fn in_force(shared: &Arc<Shared>, req: &Request<Incoming>) -> HandlerResult {
    let query = req.uri().query().and_then(|q| q.strip_prefix("offset="));
    let offset = query.and_then(|n| n.parse().ok()).map(Offset);
    let offset =
        offset.ok_or_else(|| refusal(StatusCode::BAD_REQUEST, "the query has no valid offset"))?;
    let view = shared.view.load_full();
    let mut reached = BTreeSet::new();
    for member in view.owners.members() {
        if let Some(in_force) = ask_member(shared, member, offset).await {
            reached.extend(in_force.reached);
        }
        if view.owners.members().all(|member| reached.contains(&member.host)) {
            break;
        }
    }
    let behind = view.owners.members().map(|m| &m.host);
    let behind = behind.filter(|host| !reached.contains(*host)).cloned().collect();
    Ok(ok(&InForce { reached: reached.into_iter().collect(), behind }))
}

async fn ask_member(shared: &Arc<Shared>, member: &Member, offset: Offset) -> Option<InForce> {
    if member.host == shared.settings.host {
        return shared.ask(|reply| Message::InForce { offset, reply }).await;
    }
    let req = InForceRequest { offset: offset.0 };
    let call = shared.peers.call(member.peer_address, IN_FORCE_TIMEOUT, |mut peer| async move {
        peer.in_force(req).await
    });
    let reply = call.await.ok()?;
    let names = |hosts: Vec<String>| hosts.into_iter().map(HostName::from).collect();
    Some(InForce { reached: names(reply.reached), behind: names(reply.behind) })
}
