//! An accepted configuration is in force everywhere and never reverts.

use magnoliawinch::catalogue::{Catalogue, Change, Folded, Offset, Record, State};
use magnoliawinch::ini::Keys;
use magnoliawinch::names::ServiceName;
use magnoliawinch::service_file::ServiceSpec;
use magnoliawinch_schedules::{check, check_caught};
use quickcheck::{Arbitrary, Gen};
use std::collections::{BTreeMap, HashMap};

const READERS: usize = 3;
const SERVICES: usize = 2;
const PART_BYTES: usize = 400;

/// One step of a schedule.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An operator publishes what it makes of a reader's state.
    Publish { reader: usize, service: usize, valid: bool },
    /// The last append is repeated, as after a lost answer.
    Repeat,
    /// A reader reads some records.
    Read { reader: usize, count: usize },
    /// A reader starts anew.
    Restart { reader: usize },
    /// A reader takes the state of another.
    Adopt { reader: usize, from: usize },
    /// A reader writes a checkpoint, perhaps only a part of it.
    Checkpoint { reader: usize, parts: usize },
    /// The log drops its oldest records.
    Retain { count: usize },
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
            10 => Self::Adopt { reader, from: usize::arbitrary(g) % READERS },
            11 | 12 => Self::Checkpoint { reader, parts: usize::arbitrary(g) % 12 },
            _ => Self::Retain { count: usize::arbitrary(g) % 8 },
        }
    }
}

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Right,
    /// A reader takes any state that a peer has.
    AdoptsOlder,
    /// A reader that missed records goes on as if it had not.
    IgnoresGaps,
}

fn section(pairs: &[(&str, &str)]) -> Keys {
    pairs.iter().map(|(key, value)| ((*key).to_owned(), (*value).to_owned())).collect()
}

/// A whole service file whose queue length tells one revision from another.
fn sections(service: &str, mark: u64, valid: bool) -> BTreeMap<String, Keys> {
    let digest = "0".repeat(64);
    let queue = if valid { mark.to_string() } else { "many".to_owned() };
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
    /// All records ever; those before `first` are gone from the log.
    log: Vec<String>,
    first: usize,
    readers: Vec<Catalogue>,
    /// The reference: a fold that misses nothing.
    reference: Catalogue,
    /// The state after each offset, by the reference.
    states: Vec<State>,
    nonce: u64,
    /// The highest revision that each reader showed for each service since it started.
    shown: HashMap<(usize, ServiceName), Offset>,
}

impl World {
    fn new(variant: Variant) -> Self {
        let mut reference = Catalogue::new();
        reference.starts_at(Offset(1));
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
        self.reference.fold(offset, data).expect("the reference misses nothing");
        for entry in self.reference.state().expect("the reference is whole").services.values() {
            let whole = ServiceSpec::from_document(&entry.document).ok();
            assert_eq!(entry.spec.as_deref(), whole.as_ref(), "taken over parts are the same");
        }
        self.states.push(self.reference.state().expect("the reference is whole").clone());
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
                self.shown.retain(|(place, _), _| *place != reader);
            }
            Step::Adopt { reader, from } => self.adopt(reader, from),
            Step::Checkpoint { reader, parts } => self.checkpoint(reader, parts),
            Step::Retain { count } => {
                // Retention never takes records that no complete checkpoint covers for long; here
                // it may, and readers must notice.
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
        // A later change names only the section that differs.
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
            catalogue.starts_at(Offset(self.first as u64 + 1));
        } else if catalogue.next_offset().0 as usize <= self.first {
            let state = catalogue.state().cloned().unwrap_or_default();
            let through = Offset(self.first as u64);
            catalogue.adopt(State { through, ..state });
        }
        for _ in 0..count {
            let offset = catalogue.next_offset();
            let Some(data) = self.log.get(offset.0 as usize - 1) else {
                return;
            };
            catalogue.fold(offset, data).expect("records are read in order");
        }
    }

    fn adopt(&mut self, reader: usize, from: usize) {
        let has_hole = self.readers[from].has_hole();
        let Some(state) = self.readers[from].state().filter(|_| !has_hole).cloned() else {
            return;
        };
        if self.variant == Variant::AdoptsOlder {
            let mut fresh = Catalogue::new();
            fresh.adopt(state);
            self.readers[reader] = fresh;
            return;
        }
        self.readers[reader].adopt(state);
    }

    fn checkpoint(&mut self, reader: usize, parts: usize) {
        self.nonce += 1;
        let records = self.readers[reader].checkpoint(self.nonce, PART_BYTES);
        for record in records.unwrap_or_default().iter().take(parts) {
            self.append(&serde_json::to_string(record).expect("records are JSON"));
        }
    }

    fn check_readers(&mut self) -> Result<(), String> {
        for (place, reader) in self.readers.iter().enumerate() {
            let Some(state) = reader.state() else {
                continue;
            };
            let expected = &self.states[state.through.0 as usize];
            if state.services != expected.services {
                return Err(format!("reader {place} differs at offset {}", state.through.0));
            }
            for (name, entry) in &state.services {
                let shown = self.shown.entry((place, name.clone())).or_insert(Offset(0));
                if entry.revision < *shown {
                    return Err(format!("reader {place} went back to {:?}", entry.revision));
                }
                *shown = entry.revision;
            }
            let lost = self
                .shown
                .iter()
                .any(|((reader, name), _)| *reader == place && !state.services.contains_key(name));
            if lost {
                return Err(format!("reader {place} lost a service"));
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
fn readers_agree_and_never_go_back() {
    check(|steps: &[Step]| run(Variant::Right, steps));
}

#[test]
fn a_reader_that_adopts_an_older_state_is_caught() {
    check_caught(|steps: &[Step]| run(Variant::AdoptsOlder, steps));
}

#[test]
fn a_reader_that_ignores_gaps_is_caught() {
    check_caught(|steps: &[Step]| run(Variant::IgnoresGaps, steps));
}

#[test]
fn a_reader_without_the_first_records_is_restored_by_a_checkpoint() {
    let mut world = World::new(Variant::Right);
    world.read(0, 1);
    for _ in 0..5 {
        world.publish(0, 0, true);
        world.read(0, 1);
        world.publish(0, 1, true);
        world.read(0, 1);
    }
    let before = world.log.len();
    // Half a checkpoint, then a whole one, then everything before is gone.
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
fn racing_operators_have_one_winner_and_the_other_is_told() {
    let mut catalogue = Catalogue::new();
    catalogue.starts_at(Offset(1));
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
    let folded: Vec<_> = [(1, change(7)), (2, change(8)), (3, change(7))]
        .into_iter()
        .map(|(offset, data)| match catalogue.fold(Offset(offset), &data) {
            Ok(Folded::Refused { refusal, .. }) => format!("refused: {refusal}"),
            other => format!("{other:?}"),
        })
        .collect();
    insta::assert_debug_snapshot!(folded);
}
