//! Relays callers' HTTP requests to upstreams of a platform.
//!
//! One control thread owns what the daemon believes and decides about pools of engines; one
//! traffic thread serves requests from snapshots. How requests look on the wire is known only to an
//! implementation of [`Wire`].

mod call;
mod clock;
mod control;
mod directory;
mod entry;
mod events;
mod forward;
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
pub use directory::Spread;
pub use entry::Entry;
pub use events::Events;
pub use node::{Node, Source, StartError, listen};
pub use refusal::Refusal;
pub use settings::{Bounds, Settings};
pub use wire::{Ask, BadAsk, Copied, CopyRefused, Marks, Outgoing, Prompt, Resume, Wire};
