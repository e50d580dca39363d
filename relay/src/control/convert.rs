//! Conversions between protobuf messages and the types of the pools.

use super::Crash;
use magnoliawinch::names::{KindName, OrganisationName, RunId, UpstreamName};
use magnoliawinch::pool::{EndedRun, EngineUse, RunState};
use magnoliawinch::quarantine::Fingerprint;

pub(super) fn run_to_proto(state: &RunState) -> magnoliawinch_peer::RunState {
    magnoliawinch_peer::RunState {
        run: state.run.to_string(),
        kind: state.kind.to_string(),
        organisation: state.organisation.to_string(),
        engine: state.engine.to_string(),
        backup: state.backup.as_ref().map(ToString::to_string).unwrap_or_default(),
        prompt_tokens: state.prompt_tokens,
        written: state.written,
        max_tokens: state.max_tokens,
        priority: u32::from(state.priority),
        moving_to: state.moving_to.as_ref().map(ToString::to_string).unwrap_or_default(),
        refused: state.refused.iter().map(ToString::to_string).collect(),
    }
}

pub(super) fn run_from_proto(message: &magnoliawinch_peer::RunState) -> RunState {
    let upstream = |name: &str| (!name.is_empty()).then(|| UpstreamName::new(name));
    RunState {
        run: RunId::new(&message.run),
        kind: KindName::new(&message.kind),
        organisation: OrganisationName::new(&message.organisation),
        engine: UpstreamName::new(&message.engine),
        backup: upstream(&message.backup),
        prompt_tokens: message.prompt_tokens,
        written: message.written,
        max_tokens: message.max_tokens,
        priority: message.priority.min(u32::from(u8::MAX)) as u8,
        moving_to: upstream(&message.moving_to),
        refused: message.refused.iter().map(|name| UpstreamName::new(name)).collect(),
    }
}

pub(super) fn ended_to_proto(ended: &EndedRun) -> magnoliawinch_peer::EndedRun {
    magnoliawinch_peer::EndedRun {
        kind: ended.kind.to_string(),
        organisation: ended.organisation.to_string(),
        written: ended.written,
    }
}

pub(super) fn ended_from_proto(message: &magnoliawinch_peer::EndedRun) -> EndedRun {
    EndedRun {
        kind: KindName::new(&message.kind),
        organisation: OrganisationName::new(&message.organisation),
        written: message.written,
    }
}

pub(super) fn use_to_proto(engine_use: &EngineUse) -> magnoliawinch_peer::EngineUse {
    magnoliawinch_peer::EngineUse {
        engine: engine_use.engine.to_string(),
        running: engine_use.running,
        tokens: engine_use.tokens,
    }
}

pub(super) fn use_from_proto(message: &magnoliawinch_peer::EngineUse) -> EngineUse {
    EngineUse {
        engine: UpstreamName::new(&message.engine),
        running: message.running,
        tokens: message.tokens,
    }
}

pub(super) fn crash_to_proto(crash: &Crash) -> magnoliawinch_peer::Crash {
    magnoliawinch_peer::Crash {
        fingerprint: crash.fingerprint.0,
        upstream: crash.upstream.to_string(),
    }
}

pub(super) fn crash_from_proto(message: &magnoliawinch_peer::Crash) -> Crash {
    let upstream = UpstreamName::new(&message.upstream);
    Crash { fingerprint: Fingerprint(message.fingerprint), upstream }
}
