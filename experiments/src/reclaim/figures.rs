//! Figures of one policy.

use serde::{Deserialize, Serialize};

/// How long generations whose engine went away ended.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Survival {
    /// Generations whose engine went away under them.
    pub hit: u64,
    /// Those that ended whole and on time.
    pub on_time: u64,
    /// Those that ended whole.
    pub whole: u64,
}

impl Survival {
    fn add(&mut self, other: &Self) {
        self.hit += other.hit;
        self.on_time += other.on_time;
        self.whole += other.whole;
    }

    /// The part that ended whole and on time.
    pub fn part_on_time(&self) -> f64 {
        self.on_time as f64 / self.hit.max(1) as f64
    }
}

/// What one policy did, summed over days.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Figures {
    /// Worth of all requests.
    pub owed: f64,
    /// Worth of what was served.
    pub earned: f64,
    /// Long requests.
    pub long: u64,
    /// Long requests that ended whole, but late or with a pause too long.
    pub long_late: u64,
    /// Long requests that were refused.
    pub long_refused: u64,
    /// Long requests that broke off.
    pub long_lost: u64,
    /// Generations under which a reclaimed engine went away, or was left in time.
    pub reclaimed: Survival,
    /// The same with engines that crashed.
    pub crashed: Survival,
    /// Preemptions.
    pub preemptions: u64,
    /// Pauses at callers over moves, in milliseconds.
    pub pauses_ms: Vec<u32>,
}

impl Figures {
    /// Adds the figures of another day.
    pub fn add(&mut self, other: &Self) {
        self.owed += other.owed;
        self.earned += other.earned;
        self.long += other.long;
        self.long_late += other.long_late;
        self.long_refused += other.long_refused;
        self.long_lost += other.long_lost;
        self.reclaimed.add(&other.reclaimed);
        self.crashed.add(&other.crashed);
        self.preemptions += other.preemptions;
        self.pauses_ms.extend(&other.pauses_ms);
    }

    /// The part of the worth that was earned.
    pub fn part_earned(&self) -> f64 {
        self.earned / self.owed.max(1.0)
    }

    /// The pause that a part `p` of the moves stays below, in milliseconds; zero without moves.
    pub fn pause_ms(&self, p: f64) -> u32 {
        let mut pauses = self.pauses_ms.clone();
        pauses.sort_unstable();
        let place = (p * pauses.len().saturating_sub(1) as f64) as usize;
        pauses.get(place).copied().unwrap_or_default()
    }
}
