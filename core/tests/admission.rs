//! Property tests of admission: bounds hold, no request is lost, organisations are served by share.

use magnoliawinch::admission::{Admission, Bounds, Decision, Event, GrantId, Request};
use magnoliawinch::estimate::{LengthDistribution, LengthEstimator};
use magnoliawinch::names::{HostName, KindName, OrganisationName, ServiceName};
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_schedules::{check, check_detects};
use quickcheck::{Arbitrary, Gen};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const MEMORY_TOKENS: f64 = 2_000.0;
const MAX_RUNNING: usize = 6;
const QUEUE_LENGTH: usize = 5;

fn bounds() -> Bounds {
    Bounds {
        memory_tokens: MEMORY_TOKENS,
        max_running: MAX_RUNNING,
        step_ms: 100.0,
        headroom: 0.0,
        queue_length: QUEUE_LENGTH,
    }
}

fn request(id: u64, organisation: usize, prompt: u32, length: u32, now: Time) -> Request {
    Request {
        id: GrantId(id),
        holder: HostName::new("entry"),
        organisation: OrganisationName::from(format!("organisation-{organisation}")),
        kind: KindName::new("kind"),
        share: 1.0 + organisation as f64,
        priority: 5,
        prompt_tokens: prompt,
        length_distribution: Arc::new(LengthDistribution::exact(length)),
        patience_until: now + Millis(60_000),
        suspect: false,
        no_queue: false,
    }
}

/// One step of a schedule.
#[derive(Clone, Copy, Debug)]
enum Step {
    Request { organisation: usize, prompt: u32, suspect: bool, no_queue: bool },
    Release { pick: usize },
    Withdraw { pick: usize },
    Advance { ms: u64 },
    ExpireHolders,
    Close,
    Open,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = usize::arbitrary(g) % 8;
        match u8::arbitrary(g) % 12 {
            0..=5 => Self::Request {
                organisation: usize::arbitrary(g) % 3,
                prompt: u32::arbitrary(g) % 1_200 + 1,
                suspect: u8::arbitrary(g).is_multiple_of(6),
                no_queue: u8::arbitrary(g).is_multiple_of(4),
            },
            6..=8 => Self::Release { pick },
            9 => Self::Withdraw { pick },
            10 => Self::Advance { ms: u64::from(u16::arbitrary(g)) },
            _ => *g
                .choose(&[Self::ExpireHolders, Self::Close, Self::Open])
                .expect("there are choices"),
        }
    }
}

/// Fault that the checks must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Correct,
    NoMemoryBound,
    /// Grants are not released when their generations end.
    LostReleases,
}

struct World {
    variant: Variant,
    now: Time,
    admission: Admission,
    prompts: BTreeMap<u64, u32>,
    suspects: BTreeSet<u64>,
    queued: BTreeSet<u64>,
    running: BTreeSet<u64>,
    next: u64,
    open: bool,
}

impl World {
    fn new(variant: Variant) -> Self {
        let bounds = match variant {
            Variant::NoMemoryBound => Bounds { memory_tokens: f64::INFINITY, ..bounds() },
            _ => bounds(),
        };
        Self {
            variant,
            now: Time(1_000),
            admission: Admission::new(bounds),
            prompts: BTreeMap::new(),
            suspects: BTreeSet::new(),
            queued: BTreeSet::new(),
            running: BTreeSet::new(),
            next: 0,
            open: true,
        }
    }

    fn apply(&mut self, events: Vec<Event>) -> Result<(), String> {
        for event in events {
            match event {
                Event::Granted(id) => {
                    if !self.queued.remove(&id.0) {
                        return Err(format!("{id:?} was granted but not queued"));
                    }
                    self.running.insert(id.0);
                }
                Event::Refused(id, _) => {
                    if !self.queued.remove(&id.0) {
                        return Err(format!("{id:?} was refused but not queued"));
                    }
                }
            }
        }
        Ok(())
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Request { organisation, prompt, suspect, no_queue } => {
                self.next += 1;
                let id = self.next;
                self.prompts.insert(id, prompt);
                if suspect {
                    self.suspects.insert(id);
                }
                let new_request = request(id, organisation, prompt, 10, self.now);
                let new_request = Request { suspect, no_queue, ..new_request };
                let (decision, events) = self.admission.request(self.now, new_request);
                match decision {
                    Decision::Granted => {
                        self.running.insert(id);
                    }
                    Decision::Queued => {
                        self.queued.insert(id);
                    }
                    Decision::Busy(_) | Decision::Refused(_) => {}
                }
                self.apply(events)?;
            }
            Step::Release { pick } => {
                if let Some(id) = self.running.iter().nth(pick % self.running.len().max(1)) {
                    let id = *id;
                    self.running.remove(&id);
                    if self.variant != Variant::LostReleases {
                        self.admission.release(GrantId(id), 10);
                    }
                }
            }
            Step::Withdraw { pick } => {
                if let Some(id) = self.queued.iter().nth(pick % self.queued.len().max(1)) {
                    let id = *id;
                    self.queued.remove(&id);
                    self.admission.withdraw(GrantId(id));
                }
            }
            Step::Advance { ms } => {
                self.now = self.now + Millis(ms);
                self.admission.heard_from(self.now, &HostName::new("entry"));
            }
            Step::ExpireHolders => {
                self.now = self.now + Millis(40_000);
                self.admission.expire(self.now);
                self.running.clear();
            }
            Step::Close => {
                self.open = false;
                let events = self.admission.close();
                self.apply(events)?;
            }
            Step::Open => {
                self.open = true;
                self.admission.open();
            }
        }
        let events = self.admission.tick(self.now);
        self.apply(events)?;
        self.check()
    }

    fn check(&self) -> Result<(), String> {
        if self.admission.running() != self.running.len() {
            let counted = self.admission.running();
            return Err(format!("{counted} grants counted, {} running", self.running.len()));
        }
        if self.admission.queued() != self.queued.len() {
            return Err("a queued request was lost".to_owned());
        }
        if self.queued.len() > QUEUE_LENGTH || self.running.len() > MAX_RUNNING {
            return Err("the queue or the running requests exceed their bound".to_owned());
        }
        let memory: u32 = self.running.iter().map(|id| self.prompts[id]).sum();
        if self.running.len() > 1 && f64::from(memory) > MEMORY_TOKENS {
            return Err(format!("running prompts use {memory} tokens, more than the memory bound"));
        }
        if self.running.intersection(&self.suspects).count() > 1 {
            return Err("two suspects run at the same time".to_owned());
        }
        if self.open && self.running.is_empty() && !self.queued.is_empty() {
            return Err("requests are queued at an idle upstream".to_owned());
        }
        Ok(())
    }
}

fn run(variant: Variant, steps: &[Step]) -> Result<(), String> {
    let mut world = World::new(variant);
    steps.iter().try_for_each(|step| world.step(*step))
}

#[test]
fn bounds_hold_and_no_request_is_lost() {
    check(|steps: &[Step]| run(Variant::Correct, steps));
}

#[test]
fn a_missing_memory_bound_is_detected() {
    check_detects(|steps: &[Step]| run(Variant::NoMemoryBound, steps));
}

#[test]
fn lost_releases_are_detected() {
    check_detects(|steps: &[Step]| run(Variant::LostReleases, steps));
}

/// Grants, out of 40, to each of two organisations with equal shares and these backlogs.
fn grants_with_backlogs(first_backlog: usize, second_backlog: usize) -> [usize; 2] {
    let mut admission = Admission::new(Bounds { max_running: 1, queue_length: 1_000, ..bounds() });
    let now = Time(1_000);
    let mut organisation_of = BTreeMap::new();
    let mut next = 0;
    let mut submit = |admission: &mut Admission, organisation: usize| {
        next += 1;
        organisation_of.insert(next, organisation);
        let new_request = Request { share: 1.0, ..request(next, organisation, 10, 10, now) };
        let new_request = Request { patience_until: Time(u64::MAX), ..new_request };
        admission.request(now, new_request);
    };
    (0..first_backlog).for_each(|_| submit(&mut admission, 0));
    (0..second_backlog).for_each(|_| submit(&mut admission, 1));
    let mut served = [0, 0];
    let mut running = GrantId(1);
    for _ in 0..40 {
        admission.release(running, 10);
        for event in admission.tick(now) {
            if let Event::Granted(id) = event {
                running = id;
                served[organisation_of[&id.0]] += 1;
            }
        }
    }
    served
}

#[test]
fn a_large_backlog_does_not_starve_a_small_one() {
    let served = grants_with_backlogs(500, 20);
    assert!(served[1] >= 19, "expected equal shares: {served:?}");
}

#[test]
fn quantile_estimates_are_calibrated_and_follow_drift() {
    use rand::{RngExt, SeedableRng};
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(7);
    let (service, kind) = (ServiceName::new("s"), KindName::new("k"));
    let organisation = OrganisationName::new("o");
    let mut estimator = LengthEstimator::new();
    let mut coverage = |scale: f64, generations: usize, estimator: &mut LengthEstimator| {
        let mut below = 0;
        for _ in 0..generations {
            let bound = estimator.distribution(&service, &kind, &organisation).quantile(0.0, 0.9);
            let length = (scale * (1.0 - rng.random::<f64>()).ln().abs()) as u32;
            below += usize::from(f64::from(length) <= bound);
            estimator.learn(&service, &kind, &organisation, length);
        }
        below as f64 / generations as f64
    };
    coverage(100.0, 300, &mut estimator);
    let settled = coverage(100.0, 2_000, &mut estimator);
    assert!((0.85..=0.97).contains(&settled), "coverage of the 90% quantile: {settled}");
    coverage(800.0, 1_500, &mut estimator);
    let drifted = coverage(800.0, 2_000, &mut estimator);
    assert!(
        (0.85..=0.97).contains(&drifted),
        "coverage of the 90% quantile after drift: {drifted}"
    );
}
