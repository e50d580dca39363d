//! Relays callers' HTTP requests to upstreams of a platform.
//!
//! One control thread owns what the daemon believes and decides about pools of engines; one
//! traffic thread serves requests from snapshots. How requests look on the wire is known only to an
//! implementation of [`Wire`].

mod call;
mod clock;
mod control;
mod directory;
mod events;
mod forward;
mod handler;
mod node;
mod peer_server;
mod placement;
mod refusal;
mod relocate;
mod runs;
mod settings;
mod shared;
mod stream;
mod view;
mod wire;

pub use control::ListUpdate;
pub use directory::AddressList;
pub use events::EventReader;
pub use handler::RequestHandler;
pub use node::{ControlHandle, Node, StartError, listen};
pub use refusal::Refusal;
pub use settings::{Bounds, Settings};
pub use wire::{
    CopyRefusal, InvalidHeader, Outgoing, Prompt, RequestInfo, ResponseInfo, Resume, RunCopy, Wire,
};
