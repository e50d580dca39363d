//! Authentication and authorisation of callers.

use crate::shared::Shared;
use crate::view::ServiceView;
use hyper::Request;
use hyper::header::AUTHORIZATION;
use magnoliawinch::names::{KindName, OrganisationName};
use magnoliawinch::service_file::{KindSpec, ServiceType, key_digest};
use magnoliawinch_caller::{Code, ErrorBody};
use std::sync::Arc;

/// Time after which a caller may retry at a daemon that has no configuration yet.
const NOT_READY_RETRY_MS: u64 = 1_000;

/// A caller authorised for a service.
#[derive(Clone, Debug)]
pub(super) struct ServiceAccess {
    pub(super) organisation: OrganisationName,
    pub(super) key_digest: String,
    pub(super) service: Arc<ServiceView>,
}

/// A caller authorised for a kind of a service.
#[derive(Clone, Debug)]
pub(super) struct KindAccess {
    pub(super) service_access: ServiceAccess,
    pub(super) kind_name: KindName,
    pub(super) kind: KindSpec,
}

fn bearer_key_digest<T>(shared: &Shared, req: &Request<T>) -> Result<String, ErrorBody> {
    if !shared.view.load().ready {
        let error = ErrorBody::new(Code::NotReady, "this host has no configuration yet");
        return Err(error.with_retry_after(NOT_READY_RETRY_MS));
    }
    let header = req.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    match header.and_then(|value| value.strip_prefix("Bearer ")) {
        Some(key) => Ok(key_digest(key.trim())),
        None => Err(ErrorBody::new(Code::NoKey, "the request has no bearer key")),
    }
}

/// Identifies the organisation that sent a request, whichever services it may use.
pub(super) fn authenticate<T>(
    shared: &Shared,
    req: &Request<T>,
) -> Result<OrganisationName, ErrorBody> {
    let digest = bearer_key_digest(shared, req)?;
    let view = shared.view.load();
    view.organisation_by_key(&digest).cloned().ok_or_else(wrong_key)
}

fn wrong_key() -> ErrorBody {
    ErrorBody::new(Code::WrongKey, "the bearer key is unknown")
}

/// Authenticates the caller and checks that it may use `service`.
pub(super) fn authorise<T>(
    shared: &Shared,
    req: &Request<T>,
    service: &str,
) -> Result<ServiceAccess, ErrorBody> {
    let key_digest = bearer_key_digest(shared, req)?;
    let view = shared.view.load();
    if view.organisation_by_key(&key_digest).is_none() {
        return Err(wrong_key());
    }
    let service = view.services.get(service).ok_or_else(|| unknown_service(service))?;
    let organisation = service.organisation(&key_digest).cloned().ok_or_else(|| {
        let name = &service.spec.name;
        let message = format!("the organisation is not allowed to use service \"{name}\"");
        ErrorBody::new(Code::NotAllowed, message)
    })?;
    Ok(ServiceAccess { organisation, key_digest, service: Arc::clone(service) })
}

fn unknown_service(service: &str) -> ErrorBody {
    ErrorBody::new(Code::NotFound, format!("service \"{service}\" does not exist"))
}

/// Authenticates the caller and checks that it may use `kind` of `service`; a service of another
/// type than `service_type` counts as unknown.
pub(super) fn authorise_kind<T>(
    shared: &Shared,
    req: &Request<T>,
    service: &str,
    kind: &str,
    service_type: ServiceType,
) -> Result<KindAccess, ErrorBody> {
    let access = authorise(shared, req, service)?;
    if access.service.spec.service_type != service_type {
        return Err(unknown_service(service));
    }
    let entry = access.service.spec.kinds.get_key_value(kind);
    let (kind_name, kind) =
        entry.map(|(name, kind)| (name.clone(), kind.clone())).ok_or_else(|| {
            let message = format!("kind \"{kind}\" does not exist in service \"{service}\"");
            ErrorBody::new(Code::NotFound, message)
        })?;
    Ok(KindAccess { service_access: access, kind_name, kind })
}
