//! Relays callers' HTTP requests to the upstreams of a platform.
//!
//! A control thread owns the daemon's cluster state and decides about pools of engines. A traffic
//! thread serves requests from snapshots of that state. The wire format of requests is defined by
//! an implementation of [`Wire`].

mod body_end;
mod call;
mod carry;
mod clock;
mod configuration_body;
mod control;
mod directory;
mod events;
mod forward;
mod handler;
mod late;
mod node;
mod outbound;
mod paths;
mod peer_server;
mod placement;
mod refusal;
mod relocate;
mod run_body;
mod runs;
mod settings;
mod shared;
mod statements;
mod stream;
mod view;
mod wire;

pub use control::{EvacuationUpdate, ListUpdate};
pub use directory::AddressList;
pub use events::{EventError, EventReader};
pub use handler::RequestHandler;
pub use node::{ControlHandle, Node, StartError, listen};
pub use refusal::{Refusal, Refused};
pub use settings::{Bounds, Settings};
pub use wire::{
    CopyRefusal, InvalidHeader, Outgoing, ProcessInfo, Prompt, RequestInfo, ResponseInfo, Resume,
    RunCopy, Wire,
};
