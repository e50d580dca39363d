//! Fake model engine.

pub mod model;
mod orders;
mod server;

pub use model::{EngineModel, Job, ModelParameters, Output};
pub use server::{EngineFaults, FakeEngine, GenerationRecord, prompt_for};
