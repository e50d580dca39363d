//! Load: requests with one fatal part among popular and rare parts, beside engines that end for
//! other reasons, alone or many at once. Pattern: the culprit comes once a second, with its caller's other parts,
//! and every engine with 24 slots ends within moments after it has begun to answer it.

use magnoliawinch::fatal_parts::{EngineEnd, FatalParts, Suspect};
use magnoliawinch::names::{RunId, UpstreamName};
use magnoliawinch::prompt_parts::{PartId, PromptParts};
use magnoliawinch::run_starts::RunStarts;
use magnoliawinch::time::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: u64 = 10;
const DURATION: u64 = 60_000;
const RUN_TIME: std::ops::Range<u64> = 60..12_000;
/// Time in which an answer begins.
const PREFILL: u64 = 300;
/// Time in which word reaches all hosts.
const NEWS_DELAY: u64 = 50;
const RESTART: u64 = 3_000;
const FATAL_DELAY: std::ops::Range<u64> = 30..130;

#[derive(Clone, Debug)]
struct Run {
    id: RunId,
    engine: usize,
    begins_at: u64,
    ends_at: u64,
    is_fatal: bool,
    has_begun: bool,
}

#[derive(Debug, Default)]
struct Outcome {
    fatal_ends: usize,
    other_ends: usize,
    sound: usize,
    sound_refused: usize,
    fatal_refused: usize,
}

struct Load {
    engines: usize,
    requests_per_second: f64,
    culprits: usize,
    /// Interval of ends for other reasons, and engines that end at a time.
    other_ends: Option<(u64, usize)>,
}

fn part_ids(ids: &[u64]) -> PromptParts {
    ids.iter().copied().map(PartId).collect()
}

/// A sound prompt: a part of its kind, one of ten organisations, and one of many documents, few of
/// which are popular.
fn sound_parts(rng: &mut ChaCha8Rng) -> PromptParts {
    let skewed = |rng: &mut ChaCha8Rng, count: f64| {
        let x: f64 = rng.random_range(0.0..1.0);
        (x * x * x * count) as u64
    };
    let (kind, organisation) = (rng.random_range(0..2), skewed(rng, 10.0));
    part_ids(&[kind, 100 + organisation, 1_000 + skewed(rng, 300.0)])
}

/// The culprit with the parts that it shares with sound requests.
fn fatal_parts(culprit: usize) -> PromptParts {
    part_ids(&[0, 100 + culprit as u64, 9_000 + culprit as u64])
}

fn play(load: &Load, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut starts, mut parts) = (RunStarts::new(), FatalParts::new());
    let mut down_until = vec![0; load.engines];
    let mut born = vec![1; load.engines];
    let mut runs: Vec<Run> = Vec::new();
    // Each message arrives after `NEWS_DELAY`.
    let mut ends_on_the_way: Vec<EngineEnd> = Vec::new();
    let mut outcome = Outcome::default();
    let name = |engine: usize| UpstreamName::new(&format!("e{engine}"));
    for now in (0..DURATION).step_by(STEP as usize) {
        let at = Time(now);
        for end in ends_on_the_way.extract_if(.., |end| end.at.0 + NEWS_DELAY <= now) {
            parts.record_end(at, &end);
        }
        for survivor in starts.take_survivors(at) {
            for part in survivor.parts.iter() {
                parts.record_survival(at, *part, survivor.begun_at);
            }
        }
        let blamed: Vec<_> = parts.blamed(at).into_iter().map(|blame| blame.part).collect();
        // New requests.
        let mut new = Vec::new();
        if rng.random_bool(load.requests_per_second * STEP as f64 / 1_000.0) {
            new.push((sound_parts(&mut rng), false));
        }
        for culprit in 0..load.culprits {
            if now >= 5_000 && rng.random_bool(STEP as f64 / 1_000.0) {
                new.push((fatal_parts(culprit), true));
            }
        }
        for (prompt, is_fatal) in new {
            outcome.sound += usize::from(!is_fatal);
            if prompt.iter().any(|part| blamed.contains(part)) {
                outcome.sound_refused += usize::from(!is_fatal);
                outcome.fatal_refused += usize::from(is_fatal);
                continue;
            }
            let up: Vec<_> = (0..load.engines).filter(|e| down_until[*e] <= now).collect();
            let Some(engine) = up.get(rng.random_range(0..up.len().max(1))).copied() else {
                continue;
            };
            let id = RunId::new(&format!("{now}-{is_fatal}-{}", runs.len()));
            starts.sent(&id, &name(engine), born[engine], &prompt);
            let begins_at = now + rng.random_range(PREFILL / 2..PREFILL * 2);
            let lasts = match is_fatal {
                true => rng.random_range(FATAL_DELAY),
                false => rng.random_range(RUN_TIME),
            };
            runs.push(Run {
                id,
                engine,
                begins_at,
                ends_at: begins_at + lasts,
                is_fatal,
                has_begun: false,
            });
        }
        // Progress of runs.
        let mut ending = Vec::new();
        for run in &mut runs {
            if !run.has_begun && now >= run.begins_at {
                run.has_begun = true;
                starts.begun(at, &run.id, &name(run.engine));
            } else if run.has_begun {
                starts.progressed(at, &run.id, &name(run.engine));
            }
            if run.is_fatal && now >= run.ends_at {
                ending.push(run.engine);
            }
        }
        outcome.fatal_ends += ending.len();
        if let Some((interval, count)) = load.other_ends
            && now % interval == interval - STEP
        {
            let first = rng.random_range(0..load.engines);
            let others = (first..first + count).map(|engine| engine % load.engines);
            ending.extend(others.filter(|engine| down_until[*engine] <= now));
            outcome.other_ends += count;
        }
        ending.sort_unstable();
        ending.dedup();
        for engine in ending {
            for run in runs.extract_if(.., |run| run.engine == engine) {
                starts.broke(at, &run.id, &name(engine));
            }
            let suspects = starts.take_suspects(at, &name(engine), born[engine]);
            let suspects = suspects.iter().map(Suspect::from).collect();
            let (upstream, born_at) = (name(engine), born[engine]);
            ends_on_the_way.push(EngineEnd { upstream, born: born_at, at, suspects });
            down_until[engine] = now + RESTART;
            born[engine] += 1;
        }
        for run in runs.extract_if(.., |run| now >= run.ends_at) {
            starts.completed(at, &run.id, &name(run.engine));
        }
    }
    outcome
}

fn play_all(load: &Load) -> Outcome {
    let mut worst = Outcome::default();
    for seed in 0..5 {
        let outcome = play(load, seed);
        worst.fatal_ends = worst.fatal_ends.max(outcome.fatal_ends);
        worst.other_ends += outcome.other_ends;
        worst.sound += outcome.sound;
        worst.sound_refused += outcome.sound_refused;
        worst.fatal_refused += outcome.fatal_refused;
    }
    println!("{} engines: {worst:?}", load.engines);
    worst
}

/// Ends under one part after which few requests with it may reach engines, and how many may.
const MAX_ENDS: usize = 5 + 3;

/// Guards against engines that end on and on under one part, at small and large sizes.
#[test]
fn a_culprit_is_refused_after_a_few_ends() {
    for (engines, requests_per_second) in [(9, 8.0), (48, 66.0), (128, 90.0)] {
        let load = Load { engines, requests_per_second, culprits: 1, other_ends: None };
        let worst = play_all(&load);
        assert!(worst.fatal_ends <= MAX_ENDS, "{worst:?}");
        assert!(worst.fatal_refused > 0);
        assert!(worst.sound_refused * 50 <= worst.sound, "{worst:?}");
    }
}

/// Guards against two culprits at once, which hide each other's pattern.
#[test]
fn two_culprits_at_once_are_both_refused() {
    let load =
        Load { engines: 14, requests_per_second: 12.0, culprits: 2, other_ends: Some((7_000, 1)) };
    let worst = play_all(&load);
    assert!(worst.fatal_ends <= 2 * MAX_ENDS, "{worst:?}");
    assert!(worst.sound_refused * 50 <= worst.sound, "{worst:?}");
}

/// Guards against refusing sound requests when engines end for other reasons, one at a time or a third
/// of them at once.
#[test]
fn without_a_culprit_hardly_anything_is_refused() {
    for (interval, count) in [(1_500, 1), (3_300, 4), (5_000, 16)] {
        let other_ends = Some((interval, count));
        let load = Load { engines: 48, requests_per_second: 66.0, culprits: 0, other_ends };
        let worst = play_all(&load);
        assert!(worst.sound_refused * 200 <= worst.sound, "{worst:?}");
    }
}
