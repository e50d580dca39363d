//! Parts of prompts on which engines end.

use super::Control;
use magnoliawinch::crash_detection::UpstreamProcess;
use magnoliawinch::fatal_parts::{EngineEnd, PartNews, Suspect};
use magnoliawinch::prompt_parts::PartId;
use magnoliawinch::run_starts::SuspectRun;
use magnoliawinch::time::Time;
use std::collections::HashMap;
use std::sync::Arc;

impl Control {
    /// Notes the runs of this daemon that may be the cause of an upstream's end at `at`.
    pub(super) fn note_suspect_runs(&mut self, now: Time, upstream: &UpstreamProcess, at: Time) {
        let UpstreamProcess { name, born, .. } = upstream.clone();
        let end = EngineEnd { upstream: name, born, at, suspects: Vec::new() };
        if let Some(end) = self.with_own_suspects(end) {
            self.learn_part_news(now, [PartNews::Ended(end)], "own");
        }
    }

    /// The same end with the runs of this daemon that may be its cause; `None` if there are none.
    fn with_own_suspects(&self, end: EngineEnd) -> Option<EngineEnd> {
        let runs = self.shared.run_starts().take_suspects(end.at, &end.upstream, end.born);
        for SuspectRun { run, parts, begun_at } in &runs {
            let state = if begun_at.is_some() { "just_begun" } else { "not_begun" };
            self.shared.metrics.count("suspect_run", state);
            log::info!(
                upstream = end.upstream.as_str(),
                born = end.born,
                run = run.as_str(),
                state,
                begun_ms_before = begun_at.map_or(0, |at| end.at.since(at).0),
                parts = parts.iter().map(PartId::to_string).collect::<Vec<_>>().join(",");
                "run may be the cause of its upstream's end"
            );
        }
        let suspects = runs.iter().map(Suspect::from).collect();
        (!runs.is_empty()).then_some(EngineEnd { suspects, ..end })
    }

    /// Notes the runs that have outlived their start.
    pub(super) fn note_survivors(&mut self, now: Time) {
        let survivors = self.shared.run_starts().take_survivors(now);
        self.shared.metrics.add("run_start_survived", "", survivors.len());
        let mut news = Vec::new();
        for survivor in survivors {
            for part in survivor.parts.iter().copied() {
                self.survivals.record(part, survivor.begun_at);
                if !self.fatal_parts.is_empty() && self.fatal_parts.is_suspect(part) {
                    news.push(PartNews::Survived(part, survivor.begun_at));
                }
            }
        }
        if !news.is_empty() {
            self.learn_part_news(now, news, "own");
        }
    }

    /// Adds what is known of parts; puts it in force at once and passes on what is news.
    pub(super) fn learn_part_news(
        &mut self,
        now: Time,
        news: impl IntoIterator<Item = PartNews>,
        source: &'static str,
    ) {
        let mut is_news = false;
        for news in news {
            is_news |= match news {
                PartNews::Survived(part, begun_at) => {
                    self.fatal_parts.record_survival(now, part, begun_at)
                }
                PartNews::Ended(end) => self.learn_engine_end(now, &end),
            };
        }
        if is_news {
            self.shared.metrics.count("part_news", source);
            if self.update_blamed_view(now, source) {
                self.publish_view(now);
            }
            self.tell_news(now);
        }
    }

    fn learn_engine_end(&mut self, now: Time, end: &EngineEnd) -> bool {
        if !self.fatal_parts.record_end(now, end) {
            return false;
        }
        let mut suspects = end.suspects.clone();
        let own = EngineEnd { suspects: Vec::new(), ..end.clone() };
        // Of an end that this daemon has found itself, they are in `end`.
        if let Some(own) = self.with_own_suspects(own) {
            self.fatal_parts.record_end(now, &own);
            suspects.extend(own.suspects);
        }
        for part in suspects.iter().flat_map(|suspect| suspect.parts.iter()) {
            if let Some(begun_at) = self.survivals.last(*part) {
                self.fatal_parts.record_survival(now, *part, begun_at);
            }
        }
        true
    }

    /// Updates the part of the view; returns whether it has changed.
    fn update_blamed_view(&mut self, now: Time, source: &'static str) -> bool {
        let blamed = self.fatal_parts.blamed(now);
        let until: HashMap<_, _> = blamed.iter().map(|blame| (blame.part, blame.until)).collect();
        if until == *self.blamed_view {
            return false;
        }
        for blame in &blamed {
            if self.blamed_view.get(&blame.part) != Some(&blame.until) {
                self.shared.metrics.count("part_refused", source);
                log::warn!(
                    part:% = blame.part,
                    ends = blame.ends,
                    refused_for_ms = blame.until.since(now).0,
                    source;
                    "requests with a part on which engines end are refused"
                );
            }
        }
        for part in self.blamed_view.keys().filter(|part| !until.contains_key(part)) {
            log::info!(part:% = part, source; "requests with a part are no longer refused");
        }
        self.blamed_view = Arc::new(until);
        true
    }

    pub(super) fn tick_fatal_parts(&mut self, now: Time) {
        if self.fatal_parts.tick(now) {
            self.view_is_stale |= self.update_blamed_view(now, "own");
        }
    }
}
