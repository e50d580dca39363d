//! Runs property tests over generated schedules of events and faults, from a fixed seed.
//!
//! `MAGNOLIAWINCH_SEED` picks another seed, `MAGNOLIAWINCH_CASES` the number of schedules.

use quickcheck::{Arbitrary, Gen};
use std::env;
use std::fmt::Debug;

/// The seed unless another is asked for.
const DEFAULT_SEED: u64 = 20_261_203;

/// Schedules of one property unless another number is asked for.
const DEFAULT_CASES: u64 = 2_000;

/// Schedules in which a mechanism broken on purpose has to show.
const MAX_CASES_TO_CATCH: u64 = 100_000;

/// Steps of one schedule at the most.
const SCHEDULE_STEPS: usize = 60;

/// Shorter schedules that are tried after a failure.
const MAX_SHRINKS: usize = 4_000;

fn number(name: &str, default: u64) -> u64 {
    match env::var(name) {
        Ok(text) => text.parse().unwrap_or_else(|_| panic!("{name}=\"{text}\" is no number")),
        Err(_) => default,
    }
}

/// The seed of this run.
pub fn seed() -> u64 {
    number("MAGNOLIAWINCH_SEED", DEFAULT_SEED)
}

fn cases() -> u64 {
    number("MAGNOLIAWINCH_CASES", DEFAULT_CASES)
}

fn schedule<S: Arbitrary>(seed: u64, case: u64) -> Vec<S> {
    let seed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(case);
    Vec::arbitrary(&mut Gen::from_size_and_seed(SCHEDULE_STEPS, seed))
}

fn first_failure<S: Arbitrary>(
    seed: u64,
    cases: u64,
    run: &impl Fn(&[S]) -> Result<(), String>,
) -> Option<(u64, Vec<S>, String)> {
    (0..cases).find_map(|case| {
        let steps = schedule(seed, case);
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
    'smaller: loop {
        for candidate in steps.shrink() {
            tries += 1;
            if tries > MAX_SHRINKS {
                return (steps, error);
            }
            if let Err(e) = run(&candidate) {
                (steps, error) = (candidate, e);
                continue 'smaller;
            }
        }
        return (steps, error);
    }
}

/// Checks that every schedule holds; a failure names the seed and the shrunken schedule.
pub fn check<S: Arbitrary + Debug>(run: impl Fn(&[S]) -> Result<(), String>) {
    let seed = seed();
    if let Some((case, steps, error)) = first_failure(seed, cases(), &run) {
        let (steps, error) = shrink(steps, error, &run);
        panic!("seed {seed}, case {case}: {error}\nschedule: {steps:#?}");
    }
}

/// Checks that some schedule fails, as it must when a mechanism is broken on purpose.
pub fn check_caught<S: Arbitrary>(run: impl Fn(&[S]) -> Result<(), String>) {
    let seed = seed();
    let caught = first_failure(seed, MAX_CASES_TO_CATCH, &run).is_some();
    assert!(caught, "seed {seed}: no schedule shows the broken mechanism");
}
