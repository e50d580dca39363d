//! Conversions between protobuf messages and the types of the pools.

use super::updates::age_ms;
use magnoliawinch::fatal_parts::{EngineEnd, PartNews, Suspect};
use magnoliawinch::names::{KindName, OrganisationName, RunId, UpstreamName};
use magnoliawinch::pool::{EndedRun, EngineSlowdown, EngineUse, RunState};
use magnoliawinch::prompt_parts::{MAX_PARTS, PartId};
use magnoliawinch::quarantine::{Crash, Fact, Fingerprint};
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_peer::{CompletedRun, QuarantineNews, SurvivedPart};

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
        is_copied: state.is_copied,
        refused: state.refused.iter().map(ToString::to_string).collect(),
        max_pause_ms: state.max_pause.map(|pause| pause.0 as u32),
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
        is_copied: message.is_copied,
        refused: message.refused.iter().map(|name| UpstreamName::new(name)).collect(),
        max_pause: message.max_pause_ms.map(|ms| Millis(u64::from(ms))),
    }
}

pub(super) fn slowdown_to_proto(slowdown: &EngineSlowdown) -> magnoliawinch_peer::EngineSlowdown {
    magnoliawinch_peer::EngineSlowdown {
        engine: slowdown.engine.to_string(),
        percent: slowdown.percent,
        age_ms: slowdown.age.0 as u32,
    }
}

pub(super) fn slowdown_from_proto(message: &magnoliawinch_peer::EngineSlowdown) -> EngineSlowdown {
    EngineSlowdown {
        engine: UpstreamName::new(&message.engine),
        percent: message.percent,
        age: Millis(u64::from(message.age_ms)),
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

/// What daemons tell each other about requests under which upstreams end.
#[derive(Debug, Default)]
pub(super) struct QuarantineUpdate {
    pub(super) facts: Vec<Fact>,
    pub(super) parts: Vec<PartNews>,
}

impl QuarantineUpdate {
    pub(super) fn is_empty(&self) -> bool {
        self.facts.is_empty() && self.parts.is_empty()
    }

    pub(super) fn to_proto(&self, now: Time) -> QuarantineNews {
        let mut news = QuarantineNews::default();
        for fact in &self.facts {
            match fact {
                Fact::Crashed(crash, at) => news.crashes.push(magnoliawinch_peer::Crash {
                    fingerprint: crash.fingerprint.0,
                    upstream: crash.upstream.to_string(),
                    born: crash.born,
                    age_ms: age_ms(now, *at),
                }),
                Fact::Completed(fingerprint, at) => news
                    .completed
                    .push(CompletedRun { fingerprint: fingerprint.0, age_ms: age_ms(now, *at) }),
            }
        }
        for part_news in &self.parts {
            match part_news {
                PartNews::Ended(end) => news.ends.push(end_to_proto(now, end)),
                PartNews::Survived(part, begun_at) => news
                    .survived
                    .push(SurvivedPart { part: part.0, age_ms: age_ms(now, *begun_at) }),
            }
        }
        news
    }

    pub(super) fn from_proto(now: Time, news: &QuarantineNews) -> Self {
        let at = |age_ms: u32| now - Millis(u64::from(age_ms));
        let crashes = news.crashes.iter().map(|crash| {
            let upstream = UpstreamName::new(&crash.upstream);
            let fingerprint = Fingerprint(crash.fingerprint);
            Fact::Crashed(Crash { fingerprint, upstream, born: crash.born }, at(crash.age_ms))
        });
        let completed = news.completed.iter();
        let completed =
            completed.map(|run| Fact::Completed(Fingerprint(run.fingerprint), at(run.age_ms)));
        let ended = news.ends.iter().map(|end| PartNews::Ended(end_from_proto(now, end)));
        let survived = news.survived.iter();
        let survived =
            survived.map(|known| PartNews::Survived(PartId(known.part), at(known.age_ms)));
        Self { facts: crashes.chain(completed).collect(), parts: ended.chain(survived).collect() }
    }
}

fn end_to_proto(now: Time, end: &EngineEnd) -> magnoliawinch_peer::EngineEnd {
    let suspects = end.suspects.iter().map(|suspect| magnoliawinch_peer::SuspectRun {
        parts: suspect.parts.iter().map(|part| part.0).collect(),
        has_begun: suspect.has_begun,
    });
    magnoliawinch_peer::EngineEnd {
        upstream: end.upstream.to_string(),
        born: end.born,
        age_ms: age_ms(now, end.at),
        suspects: suspects.collect(),
    }
}

fn end_from_proto(now: Time, end: &magnoliawinch_peer::EngineEnd) -> EngineEnd {
    let suspects = end.suspects.iter().map(|suspect| Suspect {
        parts: suspect.parts.iter().take(MAX_PARTS).copied().map(PartId).collect(),
        has_begun: suspect.has_begun,
    });
    EngineEnd {
        upstream: UpstreamName::new(&end.upstream),
        born: end.born,
        at: now - Millis(u64::from(end.age_ms)),
        suspects: suspects.collect(),
    }
}
