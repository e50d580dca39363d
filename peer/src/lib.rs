//! gRPC messages, clients and server for calls between daemons.

/// Generated from `proto/peer.proto` by `cargo run -p xtask`.
#[allow(missing_docs, clippy::all, clippy::pedantic, unused_qualifications)]
#[rustfmt::skip]
pub mod generated {
    include!("generated/magnoliawinch.peer.rs");
}

mod channels;
mod convert;
mod serve;
mod stored;

pub use channels::{FromChannel, PeerChannels, PeerError};
pub use convert::{InvalidMember, merge_members};
pub use generated::peer_client::PeerClient;
pub use generated::peer_server::{Peer, PeerServer};
pub use generated::relay_client::RelayClient;
pub use generated::relay_server::{Relay, RelayServer};
pub use generated::*;
pub use serve::serve;
