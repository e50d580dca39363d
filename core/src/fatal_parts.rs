//! Finds the parts of prompts on which engines end.
//!
//! When an engine ends, each daemon reports the parts of those of its runs whose answers had just
//! begun there. A part that was among them at several ends is refused, unless a run with it has
//! outlived its start since: a part that ends every engine has no such run. Parts that always come
//! together with another one are told apart by what survives; until then only the last of them in
//! the prompt, the most specific one, is refused.
//!
//! Engines that end in the same moment, as in the loss of a rack, count as one end.

use crate::names::{RunId, UpstreamName};
use crate::prompt_parts::{PartId, PromptParts};
use crate::rendezvous;
use crate::run_starts::SuspectRun;
use crate::time::{Millis, Time};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Ends closer to each other count as one: survivors of the first are known before the second.
const MIN_SPACING: Millis = Millis(1_000);

/// Inaccuracy of times that other daemons tell: their messages take a while.
const TIME_SLACK: Millis = Millis(100);

/// Weight of an end for the parts of a run whose answer had just begun.
const BEGUN_WEIGHT: u32 = 2;

/// Weight for a run of whose answer nothing had arrived; it may not have begun.
const NOT_BEGUN_WEIGHT: u32 = 1;

/// Weight from which a part is refused.
const MIN_BLAME: u32 = 2 * BEGUN_WEIGHT;

/// Time after the last end for which a part is refused before one request is tried, by the weight
/// above `MIN_BLAME`, in ends.
const REFUSAL_DURATIONS: [Millis; 3] = [Millis(10_000), Millis(60_000), Millis(600_000)];

/// Time for which an end counts.
const RETENTION: Millis = Millis(1_200_000);

/// Ends that are kept; further ones replace the oldest.
const MAX_ENDS: usize = 64;

/// Parts of all runs kept for an end, those with a begun answer first.
const MAX_SUSPECT_PARTS: usize = 128;

/// How long news is passed on after it was learned: some intervals of probes. News about refused
/// parts is passed on for as long as these are refused.
const PASSED_ON_FOR: Millis = Millis(3_000);

/// Parts in one message.
const MAX_NEWS_PARTS: usize = 256;

/// Parts of which a daemon remembers when a run with them last outlived its start.
const MAX_SURVIVALS: usize = 4_096;

/// Time in which one host may try a request with a refused part; then it is another one's turn.
const TRIAL_TURN: Millis = Millis(5_000);

/// A run that may be the cause of an end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Parts of its prompt.
    pub parts: PromptParts,
    /// Whether its answer had begun.
    pub has_begun: bool,
}

impl From<&SuspectRun> for Suspect {
    fn from(run: &SuspectRun) -> Self {
        Self { parts: run.parts.clone(), has_begun: run.begun_at.is_some() }
    }
}

/// The end of an engine, with the runs of one or several daemons that may be its cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineEnd {
    /// The engine.
    pub upstream: UpstreamName,
    /// When that incarnation started, in milliseconds since 1970 by its own clock.
    pub born: u64,
    /// When it ended.
    pub at: Time,
    /// Runs that may be the cause.
    pub suspects: Vec<Suspect>,
}

/// What daemons tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartNews {
    /// An engine ended.
    Ended(EngineEnd),
    /// A run with the part whose answer began at this time has outlived its start.
    Survived(PartId, Time),
}

/// A part that is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Blame {
    /// The part.
    pub part: PartId,
    /// Ends that count.
    pub ends: usize,
    /// Until when all requests with it are refused; from then on, one is tried at a time.
    pub until: Time,
}

#[derive(Clone, Debug)]
struct KnownEnd {
    end: EngineEnd,
    learned_at: Time,
}

impl KnownEnd {
    fn weight(&self, part: PartId) -> u32 {
        let with_part = self.end.suspects.iter().filter(|suspect| suspect.parts.contains(&part));
        let weight = |begun| if begun { BEGUN_WEIGHT } else { NOT_BEGUN_WEIGHT };
        with_part.map(|suspect| weight(suspect.has_begun)).max().unwrap_or(0)
    }

    /// Whether a suspect has `first` before `later` in its prompt.
    fn has_in_order(&self, first: PartId, later: PartId) -> bool {
        self.end.suspects.iter().any(|suspect| {
            let position = |part| suspect.parts.iter().position(|known| *known == part);
            position(first).zip(position(later)).is_some_and(|(first, later)| first < later)
        })
    }
}

/// What counts against one part.
#[derive(Clone, Debug, Default)]
struct Case {
    weight: u32,
    /// Indices of the ends that count.
    ends: BTreeSet<usize>,
    last_at: Time,
    /// When the last moment that counts once began, and what it counts.
    moment: Option<(Time, u32)>,
}

impl Case {
    /// Adds an end that is not earlier than those before.
    fn add(&mut self, index: usize, at: Time, weight: u32) {
        self.ends.insert(index);
        self.last_at = at;
        match &mut self.moment {
            Some((began_at, counted)) if at.since(*began_at) < MIN_SPACING => {
                self.weight += weight.saturating_sub(*counted);
                *counted = weight.max(*counted);
            }
            moment => {
                self.weight += weight;
                *moment = Some((at, weight));
            }
        }
    }
}

/// Known ends of engines, and which parts have outlived them.
#[derive(Clone, Debug, Default)]
pub struct FatalParts {
    ends: Vec<KnownEnd>,
    /// Until when ends do not count for a part of suspects, as a run with it has outlived its start, and
    /// when that was learned.
    survived: HashMap<PartId, (Time, Time)>,
}

impl FatalParts {
    /// Creates a record without ends.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether no end is known.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Whether a part is one of a suspect.
    pub fn is_suspect(&self, part: PartId) -> bool {
        self.ends.iter().any(|known| known.weight(part) > 0)
    }

    /// Records an end, or further suspects of one; returns whether that is news.
    pub fn record_end(&mut self, now: Time, end: &EngineEnd) -> bool {
        if end.suspects.is_empty() || now.since(end.at) >= RETENTION {
            return false;
        }
        let is_same =
            |known: &KnownEnd| known.end.upstream == end.upstream && known.end.born == end.born;
        let index = self.ends.iter().position(is_same).unwrap_or_else(|| {
            self.make_room();
            let end = EngineEnd { suspects: Vec::new(), ..end.clone() };
            self.ends.push(KnownEnd { end, learned_at: now });
            self.ends.len() - 1
        });
        let known = &mut self.ends[index];
        known.end.at = known.end.at.min(end.at);
        let before = known.end.suspects.clone();
        let further = end.suspects.iter().filter(|suspect| !before.contains(suspect));
        known.end.suspects.extend(further.cloned());
        // In one order, so that all daemons keep the same ones.
        known
            .end
            .suspects
            .sort_by(|a, b| b.has_begun.cmp(&a.has_begun).then_with(|| a.parts.cmp(&b.parts)));
        known.end.suspects.dedup();
        let mut parts = 0;
        known.end.suspects.retain(|suspect| {
            parts += suspect.parts.len();
            parts <= MAX_SUSPECT_PARTS
        });
        let is_news = known.end.suspects != before;
        if is_news {
            known.learned_at = now;
        }
        is_news
    }

    fn make_room(&mut self) {
        if self.ends.len() < MAX_ENDS {
            return;
        }
        let oldest = (0..self.ends.len()).min_by_key(|index| self.ends[*index].end.at);
        if let Some(index) = oldest {
            self.ends.remove(index);
        }
    }

    /// Records that a run with the part whose answer began at `begun_at` has outlived its start;
    /// returns whether that clears the part of an end.
    pub fn record_survival(&mut self, now: Time, part: PartId, begun_at: Time) -> bool {
        let cleared_until = self.cleared_until(part);
        let begun_at = begun_at - TIME_SLACK;
        let is_cleared = |known: &KnownEnd| {
            known.weight(part) > 0 && known.end.at > cleared_until && known.end.at <= begun_at
        };
        let is_news = self.ends.iter().any(is_cleared);
        if is_news {
            self.survived.insert(part, (begun_at, now));
        }
        is_news
    }

    fn cleared_until(&self, part: PartId) -> Time {
        self.survived.get(&part).map_or(Time(0), |(until, _)| *until)
    }

    /// What counts against each part of a suspect.
    fn cases(&self, now: Time) -> BTreeMap<PartId, Case> {
        let mut order: Vec<_> = (0..self.ends.len()).collect();
        order.sort_by_key(|index| self.ends[*index].end.at);
        let mut cases: BTreeMap<PartId, Case> = BTreeMap::new();
        for index in order {
            let end = &self.ends[index].end;
            if now.since(end.at) >= RETENTION {
                continue;
            }
            let mut weights: BTreeMap<PartId, u32> = BTreeMap::new();
            for suspect in &end.suspects {
                let weight = if suspect.has_begun { BEGUN_WEIGHT } else { NOT_BEGUN_WEIGHT };
                for part in suspect.parts.iter() {
                    let known = weights.entry(*part).or_default();
                    *known = weight.max(*known);
                }
            }
            for (part, weight) in weights {
                if end.at > self.cleared_until(part) {
                    cases.entry(part).or_default().add(index, end.at, weight);
                }
            }
        }
        cases
    }

    /// The parts that are refused.
    pub fn blamed(&self, now: Time) -> Vec<Blame> {
        let mut cases = self.cases(now);
        cases.retain(|_, case| case.weight >= MIN_BLAME);
        let is_explained = |part: PartId, case: &Case| {
            cases.iter().any(|(other, theirs)| {
                let comes_before = |end: &usize| self.ends[*end].has_in_order(part, *other);
                let comes_after = |end: &usize| self.ends[*end].has_in_order(*other, part);
                *other != part
                    && case.ends.is_subset(&theirs.ends)
                    && case.ends.iter().all(comes_before)
                    && (*other > part || !case.ends.iter().all(comes_after))
            })
        };
        let blamed = cases.iter().filter(|(part, case)| !is_explained(**part, case));
        let blamed = blamed.map(|(part, case)| {
            let further = ((case.weight - MIN_BLAME) / BEGUN_WEIGHT) as usize;
            let duration = REFUSAL_DURATIONS[further.min(REFUSAL_DURATIONS.len() - 1)];
            Blame { part: *part, ends: case.ends.len(), until: case.last_at + duration }
        });
        blamed.collect()
    }

    /// News to pass on: what concerns refused parts, then what was learned lately, newest first.
    pub fn news(&self, now: Time) -> Vec<PartNews> {
        if self.ends.is_empty() {
            return Vec::new();
        }
        let blamed: BTreeSet<_> = self.blamed(now).into_iter().map(|blame| blame.part).collect();
        let is_recent = |learned_at: Time| now.since(learned_at) < PASSED_ON_FOR;
        let concerns_blamed = |known: &KnownEnd| blamed.iter().any(|part| known.weight(*part) > 0);
        let mut ends: Vec<_> = self
            .ends
            .iter()
            .map(|known| (concerns_blamed(known), known))
            .filter(|(is_blamed, known)| *is_blamed || is_recent(known.learned_at))
            .collect();
        ends.sort_by_key(|(is_blamed, known)| {
            (!*is_blamed, now.since(known.learned_at), known.end.upstream.clone())
        });
        let mut survived: Vec<_> = self.survived.iter().collect();
        survived.retain(|(part, (_, learned_at))| blamed.contains(part) || is_recent(*learned_at));
        survived.sort();
        let survived = survived
            .into_iter()
            .map(|(part, (until, _))| PartNews::Survived(*part, *until + TIME_SLACK));
        let ended = ends.into_iter().map(|(_, known)| PartNews::Ended(known.end.clone()));
        let mut room = MAX_NEWS_PARTS;
        let fits = |news: &PartNews| {
            let parts = match news {
                PartNews::Survived(..) => 1,
                PartNews::Ended(end) => end.suspects.iter().map(|s| s.parts.len().max(1)).sum(),
            };
            let fits = parts <= room;
            room = room.saturating_sub(parts);
            fits
        };
        survived.chain(ended).take_while(fits).collect()
    }

    /// Drops what no longer counts; returns whether there was any.
    pub fn tick(&mut self, now: Time) -> bool {
        let before = self.ends.len();
        self.ends.retain(|known| now.since(known.end.at) < RETENTION);
        let has_changed = self.ends.len() < before;
        if has_changed {
            let ends = &self.ends;
            self.survived.retain(|part, _| ends.iter().any(|known| known.weight(*part) > 0));
        }
        has_changed
    }
}

/// When runs of this daemon with each part last outlived their start.
#[derive(Clone, Debug, Default)]
pub struct Survivals {
    last: HashMap<PartId, Time>,
}

impl Survivals {
    /// Creates an empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a run whose answer began at `begun_at`.
    pub fn record(&mut self, part: PartId, begun_at: Time) {
        let known = self.last.entry(part).or_default();
        *known = begun_at.max(*known);
        if self.last.len() > MAX_SURVIVALS {
            let mut times: Vec<_> = self.last.values().copied().collect();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.last.retain(|_, at| *at > median);
        }
    }

    /// When the last of these answers began.
    pub fn last(&self, part: PartId) -> Option<Time> {
        self.last.get(&part).copied()
    }
}

/// Requests with refused parts that this daemon tries, one at a time for each part.
#[derive(Clone, Debug, Default)]
pub struct Trials {
    in_progress: HashMap<PartId, (RunId, Time)>,
}

impl Trials {
    /// Creates a record without trials.
    pub fn new() -> Self {
        Self::default()
    }

    /// How long a request with a part that is refused until `until` has to wait; `None` if it may
    /// run. After that time, each of the `hosts` in turn may try one request, so that a part that is
    /// refused wrongly is found out and one that is not costs few engines.
    pub fn wait<'a>(
        &mut self,
        now: Time,
        part: PartId,
        until: Time,
        run: &RunId,
        own_host: &str,
        hosts: impl IntoIterator<Item = &'a str>,
    ) -> Option<Millis> {
        if now < until {
            return Some(until.since(now));
        }
        let waited = now.since(until).0;
        let turn = waited / TRIAL_TURN.0;
        let next_turn = Millis((turn + 1) * TRIAL_TURN.0 - waited);
        let is_over = |started_at: Time| started_at < until || now.since(started_at) >= TRIAL_TURN;
        self.in_progress.retain(|_, (_, started_at)| !is_over(*started_at));
        if let Some((trial, _)) = self.in_progress.get(&part) {
            return (trial != run).then_some(next_turn);
        }
        if rendezvous::owner(&format!("{part}/{turn}"), hosts) != Some(own_host) {
            return Some(next_turn);
        }
        self.in_progress.insert(part, (run.clone(), now));
        None
    }
}
