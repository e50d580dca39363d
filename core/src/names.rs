//! Typed names of hosts, services, upstreams and the like.

use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps `name` without checking it; see [`is_valid`].
            pub fn new(name: &str) -> Self {
                Self(Arc::from(name))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }

        impl From<String> for $name {
            fn from(name: String) -> Self {
                Self::new(&name)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name!(
    /// A host that runs a daemon.
    HostName
);
name!(
    /// Hosts and upstreams that may fail together.
    FailureDomain
);
name!(
    /// An organisation that sends requests.
    OrganisationName
);
name!(
    /// A service that organisations call.
    ServiceName
);
name!(
    /// A model engine or plain server of a service.
    UpstreamName
);
name!(
    /// A kind of request within a service.
    KindName
);

name!(
    /// Identifies a run: a caller's attempt, even when it moves from one upstream to another.
    RunId
);

/// Maximum bytes of a name in settings and service files.
pub const MAX_NAME_BYTES: usize = 64;

/// Whether `name` is valid for any of the types above: 1 to [`MAX_NAME_BYTES`] lower-case ASCII
/// letters, digits and hyphens.
pub fn is_valid(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(allowed)
}
