//! Property tests over generated schedules of events and faults, with a fixed seed.
//!
//! `MAGNOLIAWINCH_SEED` sets another seed and `MAGNOLIAWINCH_CASES` the number of schedules.

use quickcheck::{Arbitrary, Gen};
use std::env;
use std::fmt::Debug;

/// Seed if `MAGNOLIAWINCH_SEED` is not set.
const DEFAULT_SEED: u64 = 20_261_203;

/// Number of schedules per property if `MAGNOLIAWINCH_CASES` is not set.
const DEFAULT_CASES: u64 = 2_000;

/// Number of schedules within which an injected fault has to be detected.
const MAX_CASES_TO_DETECT: u64 = 100_000;

/// Maximum length of a schedule, in steps.
const MAX_SCHEDULE_STEPS: usize = 60;

/// Maximum number of smaller schedules tried after a failure.
const MAX_SHRINK_TRIES: usize = 4_000;

fn env_number(name: &str, default: u64) -> u64 {
    match env::var(name) {
        Ok(text) => text.parse().unwrap_or_else(|_| panic!("{name}=\"{text}\" is not a number")),
        Err(_) => default,
    }
}

/// Returns the seed of this run.
pub fn seed() -> u64 {
    env_number("MAGNOLIAWINCH_SEED", DEFAULT_SEED)
}

fn cases() -> u64 {
    env_number("MAGNOLIAWINCH_CASES", DEFAULT_CASES)
}

fn generate_schedule<S: Arbitrary>(seed: u64, case: u64) -> Vec<S> {
    let seed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(case);
    Vec::arbitrary(&mut Gen::from_size_and_seed(MAX_SCHEDULE_STEPS, seed))
}

fn first_failure<S: Arbitrary>(
    seed: u64,
    cases: u64,
    run: &impl Fn(&[S]) -> Result<(), String>,
) -> Option<(u64, Vec<S>, String)> {
    (0..cases).find_map(|case| {
        let steps = generate_schedule(seed, case);
        run(&steps).err().map(|error| (case, steps, error))
    })
}

fn shrink<S: Arbitrary>(
    steps: Vec<S>,
    error: String,
    run: &impl Fn(&[S]) -> Result<(), String>,
) -> (Vec<S>, String) {
    let (mut steps, mut error) = (steps, error);
    let mut tries = 0;
    'shrink: loop {
        for candidate in steps.shrink() {
            tries += 1;
            if tries > MAX_SHRINK_TRIES {
                return (steps, error);
            }
            if let Err(e) = run(&candidate) {
                (steps, error) = (candidate, e);
                continue 'shrink;
            }
        }
        return (steps, error);
    }
}

/// Checks that `run` succeeds for every schedule; otherwise panics with the seed, the case and a
/// minimised schedule.
pub fn check<S: Arbitrary + Debug>(run: impl Fn(&[S]) -> Result<(), String>) {
    let seed = seed();
    if let Some((case, steps, error)) = first_failure(seed, cases(), &run) {
        let (steps, error) = shrink(steps, error, &run);
        panic!("seed {seed}, case {case}: {error}\nschedule: {steps:#?}");
    }
}

/// Checks that `run` fails for some schedule, as it must for code with an injected fault.
pub fn check_detects<S: Arbitrary>(run: impl Fn(&[S]) -> Result<(), String>) {
    let seed = seed();
    let detected = first_failure(seed, MAX_CASES_TO_DETECT, &run).is_some();
    assert!(detected, "seed {seed}: no schedule detects the injected fault");
}
