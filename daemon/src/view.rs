//! Snapshots of the control state for the traffic threads.

use magnoliawinch::catalogue::{Offset, State};
use magnoliawinch::membership::Member;
use magnoliawinch::names::{HostName, OrganisationName, ServiceName, UpstreamName};
use magnoliawinch::ownership::Owners;
use magnoliawinch::routing::pool;
use magnoliawinch::service_file::ServiceSpec;
use magnoliawinch::upstreams::UpstreamHealth;
use std::collections::HashMap;
use std::sync::Arc;

/// A service as the traffic threads see it.
#[derive(Debug)]
pub(crate) struct ServiceView {
    pub(crate) spec: Arc<ServiceSpec>,
    /// The upstreams of the service that this daemon uses.
    pub(crate) pool: Vec<UpstreamName>,
    /// Organisations by the digest of each of their keys.
    organisations_by_key: HashMap<String, OrganisationName>,
}

impl ServiceView {
    fn new(host: &HostName, spec: &Arc<ServiceSpec>) -> Self {
        let organisations_by_key = spec
            .organisations
            .iter()
            .flat_map(|(name, organisation)| {
                organisation.key_sha256.iter().map(|digest| (digest.clone(), name.clone()))
            })
            .collect();
        Self { spec: Arc::clone(spec), pool: pool(host, spec), organisations_by_key }
    }

    /// The organisation that has a key with this digest, if it may use the service.
    pub(crate) fn organisation(&self, key_digest: &str) -> Option<&OrganisationName> {
        self.organisations_by_key.get(key_digest)
    }
}

/// Services by name. Views of unchanged services are shared with the previous configuration.
pub(crate) type Services = HashMap<ServiceName, Arc<ServiceView>>;

/// The services of `state`; reuses the views in `old` of services that have not changed.
pub(crate) fn service_views(host: &HostName, state: &State, old: &Services) -> Services {
    let view = |spec: &Arc<ServiceSpec>| {
        let kept = old.get(&spec.name).filter(|view| Arc::ptr_eq(&view.spec, spec));
        let view = kept.map_or_else(|| Arc::new(ServiceView::new(host, spec)), Arc::clone);
        (spec.name.clone(), view)
    };
    state.specs().map(view).collect()
}

/// A snapshot of the control state.
#[derive(Clone, Debug)]
pub(crate) struct View {
    pub(crate) ready: bool,
    pub(crate) own: Member,
    /// Last configuration offset that is in force.
    pub(crate) last_offset: Offset,
    pub(crate) services: Arc<Services>,
    pub(crate) owners: Arc<Owners>,
    pub(crate) upstreams: Arc<UpstreamHealth>,
    /// Daemons of this failure domain that read the configuration from the log for the others.
    pub(crate) readers: Vec<Member>,
}

impl View {
    pub(crate) fn new(own: Member) -> Self {
        Self {
            ready: false,
            own,
            last_offset: Offset(0),
            services: Arc::default(),
            owners: Arc::default(),
            upstreams: Arc::default(),
            readers: Vec::new(),
        }
    }

    /// The organisation that has a key with this digest, in any service.
    pub(crate) fn organisation_by_key(&self, key_digest: &str) -> Option<&OrganisationName> {
        self.services.values().find_map(|service| service.organisation(key_digest))
    }
}
