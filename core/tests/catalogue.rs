//! Catalogues that read the same log agree at every offset and never go back to an older revision,
//! through restarts, repeated appends, lost records and partial checkpoints.

use magnoliawinch::catalogue::{ApplyOutcome, Catalogue, Change, Offset, Record, State};
use magnoliawinch::ini::Keys;
use magnoliawinch::names::ServiceName;
use magnoliawinch::service_file::ServiceSpec;
use magnoliawinch_schedules::{check, check_detects};
use quickcheck::{Arbitrary, Gen};
use std::collections::{BTreeMap, HashMap};

const READERS: usize = 3;
const SERVICES: usize = 2;
const PART_BYTES: usize = 400;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// An operator publishes a change based on a reader's state.
    Publish { reader: usize, service: usize, valid: bool },
    /// The last append is repeated, as after a lost reply.
    Repeat,
    /// A reader reads up to `count` records.
    Read { reader: usize, count: usize },
    /// A reader restarts without state.
    Restart { reader: usize },
    /// A reader takes over another's state.
    CopyState { reader: usize, from: usize },
    /// A reader appends the first `parts` parts of a checkpoint.
    Checkpoint { reader: usize, parts: usize },
    /// The log deletes its `count` oldest records.
    DeleteOldest { count: usize },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let reader = usize::arbitrary(g) % READERS;
        match u8::arbitrary(g) % 14 {
            0..=3 => Self::Publish {
                reader,
                service: usize::arbitrary(g) % SERVICES,
                valid: !u8::arbitrary(g).is_multiple_of(5),
            },
            4 => Self::Repeat,
            5..=8 => Self::Read { reader, count: usize::arbitrary(g) % 6 + 1 },
            9 => Self::Restart { reader },
            10 => Self::CopyState { reader, from: usize::arbitrary(g) % READERS },
            11 | 12 => Self::Checkpoint { reader, parts: usize::arbitrary(g) % 12 },
            _ => Self::DeleteOldest { count: usize::arbitrary(g) % 8 },
        }
    }
}

/// Fault that the check must detect, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Correct,
    /// A reader takes over even an older peer's state.
    AcceptsOlderState,
    /// A reader continues after missing records as if it had read them.
    IgnoresGaps,
}

fn section(pairs: &[(&str, &str)]) -> Keys {
    pairs.iter().map(|(key, value)| ((*key).to_owned(), (*value).to_owned())).collect()
}

/// A complete service file; the queue length differs per revision.
fn sections(service: &str, queue_length: u64, valid: bool) -> BTreeMap<String, Keys> {
    let digest = "0".repeat(64);
    let queue = if valid { queue_length.to_string() } else { "many".to_owned() };
    [
        ("service", section(&[("name", service), ("type", "plain")])),
        ("limits", section(&[("queue_length", &queue)])),
        ("kind order", section(&[("idempotent", "false")])),
        ("organisation a", section(&[("key_sha256", &digest)])),
        ("upstream u", section(&[("address", "127.0.0.1:9"), ("failure_domain", "z")])),
    ]
    .into_iter()
    .map(|(name, keys)| (name.to_owned(), keys))
    .collect()
}

struct World {
    variant: Variant,
    /// All records ever appended; the log has dropped the first `first`.
    log: Vec<String>,
    first: usize,
    readers: Vec<Catalogue>,
    /// A catalogue that reads every record.
    reference: Catalogue,
    /// The reference state after each offset.
    states: Vec<State>,
    nonce: u64,
    /// Last revision seen at each reader for each service since its restart.
    shown: HashMap<(usize, ServiceName), Offset>,
}

impl World {
    fn new(variant: Variant) -> Self {
        let mut reference = Catalogue::new();
        reference.set_log_start(Offset(1));
        Self {
            variant,
            log: Vec::new(),
            first: 0,
            readers: vec![Catalogue::new(); READERS],
            reference,
            states: vec![State::default()],
            nonce: 0,
            shown: HashMap::new(),
        }
    }

    fn append(&mut self, data: &str) {
        self.log.push(data.to_owned());
        let offset = Offset(self.log.len() as u64);
        self.reference.apply_record(offset, data).expect("the reference reads every record");
        for entry in self.reference.state().expect("the reference is complete").services.values() {
            let parsed = ServiceSpec::from_document(&entry.document).ok();
            assert_eq!(
                entry.spec.as_deref(),
                parsed.as_ref(),
                "reused parts are the same as parsed ones"
            );
        }
        self.states.push(self.reference.state().expect("the reference is complete").clone());
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Publish { reader, service, valid } => self.publish(reader, service, valid),
            Step::Repeat => {
                if let Some(last) = self.log.last().cloned() {
                    self.append(&last);
                }
            }
            Step::Read { reader, count } => self.read(reader, count),
            Step::Restart { reader } => {
                self.readers[reader] = Catalogue::new();
                self.shown.retain(|(index, _), _| *index != reader);
            }
            Step::CopyState { reader, from } => self.copy_state(reader, from),
            Step::Checkpoint { reader, parts } => self.checkpoint(reader, parts),
            Step::DeleteOldest { count } => {
                // In operation, a complete checkpoint soon covers all deleted records. Here records
                // may be deleted without one, and readers must detect the gap.
                self.first = (self.first + count).min(self.log.len());
            }
        }
        self.check_readers()
    }

    fn publish(&mut self, reader: usize, service: usize, valid: bool) {
        let name = ServiceName::from(format!("service-{service}"));
        let state = self.readers[reader].state();
        let base = state
            .and_then(|state| state.services.get(&name))
            .map_or(Offset(0), |entry| entry.revision);
        self.nonce += 1;
        let mut put = sections(name.as_str(), self.nonce, valid);
        // A change to an existing service contains only the changed section.
        put.retain(|section, _| base == Offset(0) || section == "limits");
        let change = Change {
            service: name.clone(),
            base,
            nonce: self.nonce,
            author: format!("operator-{}", self.nonce),
            put,
            remove: Vec::new(),
            withdraw: false,
        };
        let record = Record::Change(change);
        self.append(&serde_json::to_string(&record).expect("records are JSON"));
    }

    fn read(&mut self, reader: usize, count: usize) {
        let catalogue = &mut self.readers[reader];
        if self.variant != Variant::IgnoresGaps {
            catalogue.set_log_start(Offset(self.first as u64 + 1));
        } else if catalogue.next_offset().0 as usize <= self.first {
            let state = catalogue.state().cloned().unwrap_or_default();
            let through = Offset(self.first as u64);
            catalogue.restore(State { through, ..state });
        }
        for _ in 0..count {
            let offset = catalogue.next_offset();
            let Some(data) = self.log.get(offset.0 as usize - 1) else {
                return;
            };
            catalogue.apply_record(offset, data).expect("records are read in order");
        }
    }

    fn copy_state(&mut self, reader: usize, from: usize) {
        let has_gap = self.readers[from].has_gap();
        let Some(state) = self.readers[from].state().filter(|_| !has_gap).cloned() else {
            return;
        };
        if self.variant == Variant::AcceptsOlderState {
            let mut restarted = Catalogue::new();
            restarted.restore(state);
            self.readers[reader] = restarted;
            return;
        }
        self.readers[reader].restore(state);
    }

    fn checkpoint(&mut self, reader: usize, parts: usize) {
        self.nonce += 1;
        let records = self.readers[reader].checkpoint(self.nonce, PART_BYTES);
        for record in records.unwrap_or_default().iter().take(parts) {
            self.append(&serde_json::to_string(record).expect("records are JSON"));
        }
    }

    fn check_readers(&mut self) -> Result<(), String> {
        for (index, reader) in self.readers.iter().enumerate() {
            let Some(state) = reader.state() else {
                continue;
            };
            let expected = &self.states[state.through.0 as usize];
            if state.services != expected.services {
                return Err(format!("reader {index} differs at offset {}", state.through.0));
            }
            for (name, entry) in &state.services {
                let shown = self.shown.entry((index, name.clone())).or_insert(Offset(0));
                if entry.revision < *shown {
                    return Err(format!("reader {index} reverted to {:?}", entry.revision));
                }
                *shown = entry.revision;
            }
            let lost = self
                .shown
                .iter()
                .any(|((reader, name), _)| *reader == index && !state.services.contains_key(name));
            if lost {
                return Err(format!("reader {index} lost a service"));
            }
        }
        Ok(())
    }
}

fn run(variant: Variant, steps: &[Step]) -> Result<(), String> {
    let mut world = World::new(variant);
    steps.iter().try_for_each(|step| world.step(*step))
}

#[test]
fn readers_agree_and_never_revert() {
    check(|steps: &[Step]| run(Variant::Correct, steps));
}

#[test]
fn accepting_an_older_state_is_detected() {
    check_detects(|steps: &[Step]| run(Variant::AcceptsOlderState, steps));
}

#[test]
fn ignoring_gaps_is_detected() {
    check_detects(|steps: &[Step]| run(Variant::IgnoresGaps, steps));
}

#[test]
fn a_reader_without_the_first_records_is_restored_by_a_checkpoint() {
    let mut world = World::new(Variant::Correct);
    world.read(0, 1);
    for _ in 0..5 {
        world.publish(0, 0, true);
        world.read(0, 1);
        world.publish(0, 1, true);
        world.read(0, 1);
    }
    let before = world.log.len();
    // One part of a checkpoint, then a complete one; then the log deletes all earlier records.
    world.checkpoint(0, 1);
    world.read(0, 100);
    world.checkpoint(0, usize::MAX);
    world.publish(0, 0, true);
    world.first = before;
    world.read(1, 100);
    let restored = world.readers[1].state().expect("the checkpoint is complete");
    assert_eq!(restored.services, world.states.last().expect("there are states").services);
    assert_eq!(restored.services.len(), SERVICES);
}

#[test]
fn one_of_two_concurrent_changes_wins_and_the_other_is_refused() {
    let mut catalogue = Catalogue::new();
    catalogue.set_log_start(Offset(1));
    let change = |nonce: u64| {
        let put = sections("service-0", nonce, true);
        let record = Record::Change(Change {
            service: ServiceName::new("service-0"),
            base: Offset(0),
            nonce,
            author: format!("operator-{nonce}"),
            put,
            remove: Vec::new(),
            withdraw: false,
        });
        serde_json::to_string(&record).expect("records are JSON")
    };
    let outcomes: Vec<_> = [(1, change(7)), (2, change(8)), (3, change(7))]
        .into_iter()
        .map(|(offset, data)| match catalogue.apply_record(Offset(offset), &data) {
            Ok(ApplyOutcome::Refused { refusal, .. }) => format!("refused: {refusal}"),
            other => format!("{other:?}"),
        })
        .collect();
    insta::assert_debug_snapshot!(outcomes);
}
