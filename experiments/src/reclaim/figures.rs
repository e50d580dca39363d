//! Results of one policy.

use serde::{Deserialize, Serialize};

/// Outcomes of long generations whose engine was lost, or that moved away before its loss.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Survival {
    /// Number of these generations.
    pub hit: u64,
    /// Those that completed before their deadline, with the first event on time and no gap between
    /// events longer than allowed.
    pub on_time: u64,
    /// Those that completed before their deadline.
    pub whole: u64,
}

impl Survival {
    fn add(&mut self, other: &Self) {
        self.hit += other.hit;
        self.on_time += other.on_time;
        self.whole += other.whole;
    }

    /// Fraction of `hit` that completed on time.
    pub fn on_time_fraction(&self) -> f64 {
        self.on_time as f64 / self.hit.max(1) as f64
    }
}

/// Results of one policy, summed over seeds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Figures {
    /// Total value of all requests, if all were served on time.
    pub owed: f64,
    /// Value earned by completed requests.
    pub earned: f64,
    /// Number of long requests.
    pub long: u64,
    /// Long requests that completed before their deadline, but whose first event was late or that
    /// had a longer gap between events than allowed.
    pub long_late: u64,
    /// Long requests refused twice.
    pub long_refused: u64,
    /// Long requests whose run was lost.
    pub long_lost: u64,
    /// Long generations whose engine was reclaimed, including those that moved away in time.
    pub reclaimed: Survival,
    /// Long generations whose engine crashed.
    pub crashed: Survival,
    /// Number of preemptions.
    pub preemptions: u64,
    /// Pauses that callers saw during moves, in milliseconds.
    pub pauses_ms: Vec<u32>,
}

impl Figures {
    /// Adds the figures of another simulation to these.
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

    /// Fraction of the total value that was earned.
    pub fn earned_fraction(&self) -> f64 {
        self.earned / self.owed.max(1.0)
    }

    /// Quantile `p` (0 to 1) of the pauses, in milliseconds; zero without moves.
    pub fn pause_quantile_ms(&self, p: f64) -> u32 {
        let mut pauses = self.pauses_ms.clone();
        pauses.sort_unstable();
        let index = (p * pauses.len().saturating_sub(1) as f64) as usize;
        pauses.get(index).copied().unwrap_or_default()
    }
}
