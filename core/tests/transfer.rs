//! Transfers of configurations in chunks, over sources that fail, are busy or send wrong bytes.

use magnoliawinch::dissemination::{
    BodyId, CHUNK_BYTES, CHUNK_TIMEOUT, ChunkRequest, ChunkResult, MAX_SERVED, Transfer,
    TransferSlots,
};
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_schedules::{check, check_detects};
use quickcheck::{Arbitrary, Gen};
use std::collections::HashMap;
use std::net::SocketAddr;

const START: Time = Time(10_000);

/// Three whole chunks and a small one.
const LENGTH: usize = 3 * CHUNK_BYTES + 700;

fn source(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 80).into()
}

fn body(version: u64) -> Vec<u8> {
    (0..LENGTH).map(|n| (n as u64 * 31 + version) as u8).collect()
}

/// What happens to the transfer.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Time passes, in milliseconds.
    Pass(u64),
    /// The operator writes a version; the sources have it.
    NewVersion,
    Announce {
        source: u8,
        is_followed: bool,
    },
    Deliver,
    Corrupt,
    Busy(u64),
    Unknown,
    Fail,
    /// The result is lost on the way.
    Lose,
    /// A version arrives from the store.
    Read,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = u64::arbitrary(g);
        match u8::arbitrary(g) % 24 {
            0..=3 => Self::Pass(number % 700),
            4 | 5 => Self::NewVersion,
            6..=9 => Self::Announce { source: (number % 6) as u8, is_followed: bool::arbitrary(g) },
            10..=16 => Self::Deliver,
            17 => Self::Corrupt,
            18 => Self::Busy(number % 3_000),
            19 => Self::Unknown,
            20 | 21 => Self::Fail,
            22 => Self::Lose,
            _ => Self::Read,
        }
    }
}

/// Fault that the checks must detect, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Correct,
    /// A failure starts the body again, as polls that carried it did.
    RestartsAfterFailure,
}

struct World {
    variant: Variant,
    now: Time,
    transfer: Transfer,
    newest: u64,
    in_force: u64,
    pending: Option<ChunkRequest>,
    requested_at: Time,
    /// Bytes received and bytes that failures allow to receive again, by version.
    bytes: HashMap<u64, (usize, usize)>,
}

impl World {
    fn new(variant: Variant) -> Self {
        Self {
            variant,
            now: START,
            transfer: Transfer::new(),
            newest: 1,
            in_force: 0,
            pending: None,
            requested_at: START,
            bytes: HashMap::new(),
        }
    }

    fn announce(&mut self, number: u8, is_followed: bool) {
        let id = BodyId::new(self.newest, &body(self.newest));
        self.transfer.announce(self.now, id, source(number), is_followed);
    }

    fn result(&mut self, step: Step) -> Result<(), String> {
        let Some(req) = self.pending.take() else {
            return Ok(());
        };
        let bytes = body(req.id.version);
        let end = (req.offset + CHUNK_BYTES).min(LENGTH);
        let mut chunk = bytes[req.offset..end].to_vec();
        let (received, repeats) = self.bytes.entry(req.id.version).or_default();
        let result = match step {
            Step::Corrupt => {
                chunk[0] ^= 1;
                *repeats += LENGTH;
                ChunkResult::Data(&chunk)
            }
            Step::Deliver => ChunkResult::Data(&chunk),
            Step::Busy(ms) => ChunkResult::Busy(Millis(ms)),
            Step::Unknown => ChunkResult::Unknown,
            _ => {
                // The chunk may have been on its way.
                *received += chunk.len();
                *repeats += CHUNK_BYTES;
                ChunkResult::Failed
            }
        };
        if let ChunkResult::Data(data) = result {
            *received += data.len();
        }
        let (received, allowed) = (*received, LENGTH + *repeats);
        if received > allowed {
            return Err(format!("{received} bytes of one version, {allowed} are allowed"));
        }
        let is_failure = result == ChunkResult::Failed;
        if let Some((id, whole)) = self.transfer.record(self.now, &req, result) {
            if whole != body(id.version) {
                return Err(format!("version {} is wrong", id.version));
            }
            if id.version <= self.in_force {
                return Err(format!("version {} after {}", id.version, self.in_force));
            }
            self.in_force = id.version;
            self.transfer.set_in_force(id.version);
        }
        if is_failure && self.variant == Variant::RestartsAfterFailure {
            self.transfer = Transfer::new();
            self.transfer.set_in_force(self.in_force);
            self.announce(0, true);
        }
        Ok(())
    }

    /// A result that was lost is not waited for any longer; its chunk may have been on its way.
    fn time_out(&mut self) {
        if self.now.since(self.requested_at) <= CHUNK_TIMEOUT {
            return;
        }
        if let Some(req) = self.pending.take() {
            let (received, repeats) = self.bytes.entry(req.id.version).or_default();
            *received += CHUNK_BYTES;
            *repeats += CHUNK_BYTES;
        }
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Pass(ms) => {
                self.now = self.now + Millis(ms);
                self.time_out();
            }
            Step::NewVersion => self.newest += 1,
            Step::Announce { source, is_followed } => self.announce(source, is_followed),
            Step::Read => {
                self.in_force = self.newest;
                self.transfer.set_in_force(self.newest);
            }
            Step::Lose => {
                self.now = self.now + CHUNK_TIMEOUT + Millis(300);
                self.time_out();
            }
            step => self.result(step)?,
        }
        if let Some(req) = self.transfer.next_request(self.now) {
            let is_given_up = |pending: ChunkRequest| {
                pending.id.version <= self.in_force
                    || self.transfer.progress().is_none_or(|(id, _)| id != pending.id)
            };
            if self.pending.is_some_and(|pending| !is_given_up(pending)) {
                return Err("two chunks at the same time".to_owned());
            }
            if req.id.version <= self.in_force {
                return Err(format!("fetches version {} again", req.id.version));
            }
            (self.pending, self.requested_at) = (Some(req), self.now);
        }
        Ok(())
    }

    /// A source stays reachable: the newest version has to arrive.
    fn settle(&mut self) -> Result<(), String> {
        for _ in 0..100 {
            if self.in_force == self.newest {
                return Ok(());
            }
            self.announce(7, true);
            self.step(Step::Pass(100))?;
            let pending = self.pending.map(|req| req.source);
            match pending {
                Some(address) if address == source(7) => self.step(Step::Deliver)?,
                Some(_) => self.step(Step::Fail)?,
                None => {}
            }
        }
        Err(format!("version {} never arrives: {:?}", self.newest, self.transfer.progress()))
    }
}

fn run(variant: Variant, steps: &[Step]) -> Result<(), String> {
    let mut world = World::new(variant);
    for step in steps {
        world.step(*step)?;
    }
    world.settle()
}

#[test]
fn every_body_arrives_once_whatever_happens_to_its_sources() {
    check(|steps: &[Step]| run(Variant::Correct, steps));
}

#[test]
fn the_checks_detect_a_transfer_that_starts_again_after_each_failure() {
    check_detects(|steps: &[Step]| run(Variant::RestartsAfterFailure, steps));
}

/// Guards against a slow link that never gets any version, as each gives way to a newer one.
#[test]
fn a_storm_of_versions_does_not_starve_a_transfer() {
    let mut transfer = Transfer::new();
    let (mut now, mut arrived) = (START, Vec::new());
    for version in 1..=20 {
        // A chunk takes as long as the next version.
        let id = BodyId::new(version, &body(version));
        transfer.announce(now, id, source(1), true);
        let req = transfer.next_request(now).expect("a request is due");
        now = now + Millis(300);
        let bytes = body(req.id.version);
        let end = (req.offset + CHUNK_BYTES).min(LENGTH);
        let data = ChunkResult::Data(&bytes[req.offset..end]);
        if let Some((id, _)) = transfer.record(now, &req, data) {
            transfer.set_in_force(id.version);
            arrived.push(id.version);
        }
    }
    assert_eq!(arrived, [1, 4, 8, 12, 16]);
}

#[test]
fn a_body_of_invalid_length_or_that_was_rejected_is_not_fetched() {
    let mut transfer = Transfer::new();
    let id = BodyId::new(3, &body(3));
    transfer.announce(START, BodyId { length: usize::MAX, ..id }, source(1), true);
    transfer.announce(START, BodyId { length: 0, ..id }, source(1), true);
    assert_eq!(transfer.next_request(START), None);
    transfer.reject(id);
    transfer.announce(START, id, source(1), true);
    assert_eq!(transfer.next_request(START), None);
    assert_eq!(transfer.newest_version(), 3, "polls are not answered at once for its sake");
}

#[test]
fn followers_beyond_the_limit_wait_until_one_is_served() {
    let mut slots = TransferSlots::new();
    for follower in 0..MAX_SERVED as u64 {
        assert_eq!(slots.admit(START, follower, false), Ok(()));
    }
    assert!(slots.admit(START, 99, false).is_err());
    assert_eq!(slots.admit(START, 0, true), Ok(()), "it is served and gets its last chunk");
    assert_eq!(slots.admit(START, 99, false), Ok(()));
    let later = START + Millis(700);
    assert_eq!(slots.admit(later, 100, false), Ok(()), "the others have not asked for long");
    assert_eq!(slots.served(), 1);
}
