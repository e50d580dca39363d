//! The list of upstreams while the store returns from copies that are some seconds old, under
//! random interleavings of rewinds, lost and late responses, several readers and restarted daemons.

use magnoliawinch::fleet::{
    Change, ChangeLog, EXPIRY_GRACE, Fleet, ListedUpstream, Missed, Origin,
};
use magnoliawinch::names::{FailureDomain, ServiceName, UpstreamName};
use magnoliawinch::store_position::{EraTracker, OutdatedEra, StorePosition};
use magnoliawinch::time::{Millis, Time};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::{BTreeMap, BTreeSet};

const READERS: usize = 3;
const ENGINES: usize = 5;

/// Time until the store removes the entry of an engine that is gone.
const LAPSE: Millis = Millis(3_600);

/// Interval at which an engine that finds its entry missing or different writes it again.
const REWRITE: Millis = Millis(1_200);

#[derive(Clone, Copy, Debug)]
enum Action {
    /// An engine starts, with a new incarnation.
    Start(usize),
    Drain(usize),
    Die(usize),
    /// The store returns from a copy that lacks this many of the last records.
    Rewind(usize),
    Read(usize),
    /// A read whose response is lost.
    LostRead(usize),
    /// A response is held back, to arrive after later ones.
    HoldResponse(usize),
    DeliverHeld(usize),
    /// One daemon passes its list on to another.
    Pass(usize, usize),
    /// A daemon is killed and starts anew.
    Restart(usize),
    Wait(u64),
}

impl Arbitrary for Action {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut pick = |n: usize| usize::arbitrary(g) % n;
        let (engine, reader, other) = (pick(ENGINES), pick(READERS), pick(READERS));
        match pick(16) {
            0 => Self::Start(engine),
            1 => Self::Drain(engine),
            2 => Self::Die(engine),
            3 => Self::Rewind(1 + pick(6)),
            4 => Self::LostRead(reader),
            5 => Self::HoldResponse(reader),
            6 => Self::DeliverHeld(reader),
            7 | 8 => Self::Pass(reader, other),
            9 if pick(3) == 0 => Self::Restart(reader),
            10 | 11 => Self::Wait(100 + pick(900) as u64),
            _ => Self::Read(reader),
        }
    }
}

#[derive(Clone, Debug)]
struct Engine {
    born: u64,
    is_running: bool,
    is_draining: bool,
    stopped_at: Time,
    written_at: Time,
}

fn name(engine: usize) -> UpstreamName {
    UpstreamName::new(&format!("e{engine}"))
}

fn listed(engine: usize, born: u64, leaving: bool) -> ListedUpstream {
    ListedUpstream {
        name: name(engine),
        born,
        service: ServiceName::new("guide"),
        address: ([10, 0, 0, engine as u8], 80).into(),
        failure_domain: FailureDomain::new("a"),
        slots: 4,
        leaving,
    }
}

#[derive(Clone, Debug, Default)]
struct Store {
    era: u64,
    records: Vec<(usize, Option<ListedUpstream>)>,
}

impl Store {
    fn entry(&self, engine: usize) -> Option<&ListedUpstream> {
        let last = self.records.iter().rev().find(|(key, _)| *key == engine);
        last.and_then(|(_, entry)| entry.as_ref())
    }

    fn end(&self) -> StorePosition {
        StorePosition { era: self.era, offset: self.records.len() as u64 }
    }
}

#[derive(Clone, Debug)]
enum Response {
    Whole(Vec<ListedUpstream>),
    Changes(Vec<Change>),
}

#[derive(Clone, Debug, Default)]
struct Reader {
    fleet: Fleet,
    log: ChangeLog,
    eras: EraTracker,
    from: Option<StorePosition>,
    held: Option<(StorePosition, Response)>,
    /// Incarnations that this daemon knows to be draining.
    seen_draining: BTreeSet<(usize, u64)>,
}

impl Reader {
    /// As the store's client does; `with_eras` is false for a reader that ignores them.
    fn observe(
        &mut self,
        end: StorePosition,
        with_eras: bool,
    ) -> Result<StorePosition, OutdatedEra> {
        if !with_eras {
            return Ok(StorePosition { era: 0, ..end });
        }
        self.eras.observe(Some(end.era)).map(|_| end)
    }

    fn apply(&mut self, now: Time, end: StorePosition, response: Response, with_eras: bool) {
        let Ok(end) = self.observe(end, with_eras) else {
            return;
        };
        let put =
            |listed: &ListedUpstream| (listed.name.as_str()[1..].parse().unwrap(), listed.born);
        let seen: Vec<_> = match &response {
            Response::Whole(all) => all.iter().filter(|l| l.leaving).map(put).collect(),
            Response::Changes(changes) => changes
                .iter()
                .filter_map(|change| match change {
                    Change::Put(listed) if listed.leaving => Some(put(listed)),
                    _ => None,
                })
                .collect(),
        };
        if end >= self.fleet.position() {
            self.seen_draining.extend(seen);
        }
        self.update(now, end, &Origin::Store, response);
        self.from = Some(end);
    }

    fn update(&mut self, now: Time, end: StorePosition, origin: &Origin, response: Response) {
        match response {
            Response::Whole(all) => {
                self.log.record_whole(&self.fleet, end, &all);
                self.fleet.replace(now, end, origin, all);
            }
            Response::Changes(changes) => {
                self.log.record_changes(&self.fleet, end, origin, &changes);
                self.fleet.apply(now, end, origin, changes);
            }
        }
    }
}

struct World {
    now: Time,
    with_eras: bool,
    store: Store,
    engines: Vec<Engine>,
    readers: Vec<Reader>,
    births: u64,
}

impl World {
    fn new(with_eras: bool) -> Self {
        let engine = |born| Engine {
            born,
            is_running: true,
            is_draining: false,
            stopped_at: Time(0),
            written_at: Time(0),
        };
        let mut world = Self {
            now: Time(100_000),
            with_eras,
            store: Store { era: 1, records: Vec::new() },
            engines: (0..ENGINES as u64).map(|number| engine(number + 1)).collect(),
            readers: vec![Reader::default(); READERS],
            births: ENGINES as u64,
        };
        world.engines_write();
        (0..READERS).for_each(|reader| world.read(reader));
        world
    }

    /// Engines renew their entries; the store removes those of engines that are gone.
    fn engines_write(&mut self) {
        for (number, engine) in self.engines.iter_mut().enumerate() {
            let entry = self.store.entry(number).cloned();
            let wanted = listed(number, engine.born, engine.is_draining);
            let is_due = self.now.since(engine.written_at) >= REWRITE;
            if engine.is_running && is_due && entry.as_ref() != Some(&wanted) {
                engine.written_at = self.now;
                self.store.records.push((number, Some(wanted)));
            } else if !engine.is_running
                && entry.is_some()
                && self.now.since(engine.stopped_at) >= LAPSE
            {
                self.store.records.push((number, None));
            }
        }
    }

    fn response(&self, reader: usize) -> (StorePosition, Response) {
        let end = self.store.end();
        let from = self.readers[reader].from.filter(|from| {
            let is_known = from.offset <= end.offset;
            is_known && (!self.with_eras || from.era == end.era)
        });
        let response = match from {
            Some(from) => {
                let new = self.store.records[from.offset as usize..].iter();
                Response::Changes(
                    new.map(|(engine, entry)| match entry {
                        Some(listed) => Change::Put(listed.clone()),
                        None => Change::Removed(name(*engine)),
                    })
                    .collect(),
                )
            }
            None => {
                Response::Whole((0..ENGINES).filter_map(|n| self.store.entry(n).cloned()).collect())
            }
        };
        (end, response)
    }

    fn read(&mut self, reader: usize) {
        let (end, response) = self.response(reader);
        self.readers[reader].apply(self.now, end, response, self.with_eras);
    }

    fn step(&mut self, action: Action) {
        match action {
            Action::Start(number) => {
                let engine = &mut self.engines[number];
                if !engine.is_running {
                    self.births += 1;
                    *engine = Engine {
                        born: self.births,
                        is_running: true,
                        is_draining: false,
                        written_at: Time(0),
                        ..engine.clone()
                    };
                }
            }
            Action::Drain(number) => {
                let engine = &mut self.engines[number];
                engine.is_draining = engine.is_running;
                engine.written_at = Time(0);
            }
            Action::Die(number) => {
                let engine = &mut self.engines[number];
                if engine.is_running {
                    (engine.is_running, engine.stopped_at) = (false, self.now);
                }
            }
            Action::Rewind(count) => {
                let kept = self.store.records.len().saturating_sub(count);
                self.store.records.truncate(kept);
                self.store.era += 1;
                // Engines that were gone in the copy lapse anew.
                let now = self.now;
                for engine in self.engines.iter_mut().filter(|engine| !engine.is_running) {
                    engine.stopped_at = now;
                }
            }
            Action::Read(reader) => self.read(reader),
            Action::LostRead(reader) => {
                self.response(reader);
            }
            Action::HoldResponse(reader) => {
                let held = self.response(reader);
                self.readers[reader].held = Some(held);
            }
            Action::DeliverHeld(reader) => {
                if let Some((end, response)) = self.readers[reader].held.take() {
                    let from = self.readers[reader].from;
                    self.readers[reader].apply(self.now, end, response, self.with_eras);
                    // The reader went on from what it read since.
                    self.readers[reader].from = from;
                }
            }
            Action::Pass(from, to) => self.pass(from, to),
            Action::Restart(reader) => self.readers[reader] = Reader::default(),
            Action::Wait(ms) => self.now = self.now + Millis(ms),
        }
        self.now = self.now + Millis(20);
        self.engines_write();
        for reader in &mut self.readers {
            reader.fleet.tick(self.now);
        }
    }

    fn pass(&mut self, from: usize, to: usize) {
        if from == to || !self.readers[from].fleet.has_been_read() {
            return;
        }
        let position = self.readers[to].fleet.position();
        let source = &self.readers[from];
        let (end, fleet) = (source.fleet.position(), &source.fleet);
        let expiring = fleet.expiring().map(|(name, at)| (name.clone(), at.since(self.now)));
        let expiring: Vec<_> = expiring.collect();
        let missed = match position {
            StorePosition::START => Missed::Unknown,
            position => source.log.since(position),
        };
        let (expiring, response, gaps) = match missed {
            Missed::Nothing => (Vec::new(), Response::Changes(Vec::new()), Vec::new()),
            Missed::Changes(names, gaps) => {
                let changes = names.into_iter().map(|name| match fleet.get(name) {
                    Some(listed) => Change::Put(listed.clone()),
                    None => Change::Removed(name.clone()),
                });
                (expiring, Response::Changes(changes.collect()), gaps)
            }
            Missed::Unknown => {
                (expiring, Response::Whole(fleet.all().cloned().collect()), Vec::new())
            }
        };
        if end < position {
            return;
        }
        let target = &mut self.readers[to];
        target.update(self.now, end, &Origin::Peer(expiring), response);
        gaps.into_iter().for_each(|gap| target.log.record_gap(gap));
    }

    /// Lets time pass in which all daemons read regularly.
    fn read_for(&mut self, duration: Millis) {
        let until = self.now + duration;
        while self.now < until {
            self.step(Action::Wait(230));
            (0..READERS).for_each(|reader| self.read(reader));
        }
    }

    /// Lets time pass in which `followers` take the list from the first daemon, which alone reads it.
    fn settle_without_reads_of(&mut self, followers: &[usize]) {
        let until = self.now + Millis(15_000);
        while self.now < until {
            self.step(Action::Wait(230));
            self.read(0);
            followers.iter().for_each(|follower| self.pass(0, *follower));
        }
    }

    fn usable(&self, reader: usize) -> BTreeSet<String> {
        let usable = self.readers[reader].fleet.usable("guide");
        usable.map(|listed| listed.name.to_string()).collect()
    }

    /// A draining incarnation that a daemon knows of gets no work from it again.
    fn revived(&self) -> Option<String> {
        let mut revived = self.readers.iter().flat_map(|reader| {
            reader.fleet.usable("guide").filter(|listed| {
                let number = listed.name.as_str()[1..].parse().unwrap();
                reader.seen_draining.contains(&(number, listed.born))
            })
        });
        revived.next().map(|listed| format!("{} is used again", listed.name))
    }

    /// Lets everything settle; then each daemon uses just the engines that run and do not drain.
    fn settled(&mut self) -> Option<String> {
        self.read_for(Millis(15_000));
        let engines = self.engines.iter().enumerate();
        let running = engines.filter(|(_, engine)| engine.is_running && !engine.is_draining);
        let expected: BTreeSet<_> = running.map(|(n, _)| name(n).to_string()).collect();
        let differing = (0..READERS).find(|reader| self.usable(*reader) != expected);
        differing.map(|reader| {
            format!("daemon {reader} uses {:?}, not {expected:?}", self.usable(reader))
        })
    }
}

/// What is violated by a run of `actions`, if anything is.
fn violation(actions: &[Action], with_eras: bool) -> Option<String> {
    let mut world = World::new(with_eras);
    for action in actions {
        world.step(*action);
        if let Some(revived) = world.revived() {
            return Some(revived);
        }
    }
    world.settled()
}

fn random_actions(seed: u64) -> Vec<Action> {
    let mut g = Gen::from_size_and_seed(60, seed);
    (0..80).map(|_| Action::arbitrary(&mut g)).collect()
}

#[test]
fn the_list_survives_rewinds_of_the_store() {
    #[allow(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn holds(actions: Vec<Action>) -> Result<(), String> {
        violation(&actions, true).map_or(Ok(()), Err)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, 1))
        .tests(400)
        .quickcheck(holds as fn(Vec<Action>) -> Result<(), String>);
    for seed in 0..600 {
        assert_eq!(violation(&random_actions(seed), true), None, "seed {seed}");
    }
}

/// Shows that the test above notices a reader whose offsets were given out again.
#[test]
fn without_eras_the_list_goes_wrong() {
    let violations = (0..200).filter(|seed| violation(&random_actions(*seed), false).is_some());
    assert!(violations.count() > 5);
}

/// Pattern: the store is away for a moment and returns from a copy that lacks the newest entries.
#[test]
fn entries_that_the_copy_lacks_stay_in_use_until_they_are_written_again() {
    let mut world = World::new(true);
    world.step(Action::Rewind(3));
    world.read(0);
    assert_eq!(world.usable(0).len(), ENGINES);
    let names: BTreeMap<_, _> = world.readers[0].fleet.expiring().collect();
    assert_eq!(names.len(), 3);
    world.read_for(EXPIRY_GRACE + Millis(500));
    assert_eq!(world.usable(0).len(), ENGINES, "written again in time");
}

/// Guards against a daemon that drops upstreams whose entries were written again (seed 1338): the peer
/// from which it takes its position in the list kept them all the time, and has no change to pass on.
#[test]
fn entries_written_again_arrive_from_a_daemon_that_kept_them() {
    let mut world = World::new(true);
    world.step(Action::Rewind(3));
    world.read(0);
    assert_eq!(world.readers[0].fleet.expiring().count(), 3);
    world.step(Action::Wait(REWRITE.0));
    world.read(1);
    world.pass(1, 0);
    assert_eq!(world.readers[0].fleet.position(), world.store.end());
    world.step(Action::Wait(EXPIRY_GRACE.0));
    assert_eq!(world.usable(0).len(), ENGINES);
}

/// The same without a rewind: an entry is removed and written again between two reads of the daemon that
/// is asked, or of the one that it follows.
#[test]
fn an_entry_written_again_between_two_reads_arrives() {
    let arrives = |reads_whole_list: bool, source: usize| {
        let mut world = World::new(true);
        world.store.records.push((1, None));
        world.read(0);
        assert_eq!(world.usable(0).len(), ENGINES - 1);
        world.step(Action::Wait(REWRITE.0));
        if reads_whole_list {
            world.readers[1].from = None;
        }
        world.read(1);
        world.pass(1, 2);
        world.pass(source, 0);
        assert_eq!(world.readers[0].fleet.position(), world.store.end());
        world.usable(0).len() == ENGINES
    };
    for (reads_whole_list, source) in [(true, 1), (true, 2), (false, 1), (false, 2)] {
        assert!(arrives(reads_whole_list, source), "{reads_whole_list} {source}");
    }
}

/// Daemons that only hear of each other's changes, and read the whole list now and then.
#[test]
fn daemons_that_take_changes_from_each_other_agree_with_the_store() {
    for seed in 0..600 {
        let mut world = World::new(true);
        for action in random_actions(seed) {
            // A daemon that waited for its turn reads the whole list.
            if let Action::Read(reader) = action {
                world.readers[reader].from = None;
            }
            world.step(action);
        }
        world.settle_without_reads_of(&[1, 2]);
        let usable = [0, 1, 2].map(|reader| world.usable(reader));
        assert!(usable.iter().all(|other| *other == usable[0]), "seed {seed}: {usable:?}");
    }
}

#[test]
fn an_engine_that_left_is_not_brought_back_by_the_copy() {
    let mut world = World::new(true);
    world.step(Action::Die(1));
    world.read_for(Millis(4_000));
    assert_eq!(world.usable(0).len(), ENGINES - 1);
    // The copy still has its entry.
    world.step(Action::Rewind(1));
    world.read(0);
    assert!(world.store.entry(1).is_some());
    assert_eq!(world.usable(0).len(), ENGINES - 1);
    assert_eq!(world.settled(), None);
}

/// An engine whose entry had lapsed runs on, and its renewal is older than the copy: nothing is written
/// again, so it has to become usable by the time alone.
#[test]
fn an_engine_that_the_copy_brings_back_and_that_still_runs_is_used_again() {
    let mut fleet = Fleet::new();
    let at = |era, offset| StorePosition { era, offset };
    fleet.replace(Time(10), at(1, 5), &Origin::Store, vec![listed(0, 1, false)]);
    let lapsed = [Change::Removed(name(0))];
    fleet.apply(Time(200), at(1, 6), &Origin::Store, lapsed);
    fleet.replace(Time(400), at(2, 4), &Origin::Store, vec![listed(0, 1, false)]);
    assert_eq!(fleet.usable("guide").count(), 0);
    fleet.tick(Time(1_000));
    assert!(!fleet.take_restored());
    fleet.tick(Time(6_000));
    assert!(fleet.take_restored() && !fleet.take_restored());
    assert_eq!(fleet.usable("guide").count(), 1);
}

#[test]
fn a_late_response_of_an_older_era_is_dropped() {
    let mut eras = EraTracker::new();
    assert_eq!(eras.observe(Some(4)), Ok(4));
    assert_eq!(eras.observe(None), Ok(4), "a response without an era belongs to the latest");
    assert_eq!(eras.observe(Some(5)), Ok(5));
    assert_eq!(eras.observe(Some(4)), Err(OutdatedEra { era: 4, newest: 5 }));
    let (before, after) =
        (StorePosition { era: 4, offset: 90 }, StorePosition { era: 5, offset: 7 });
    assert!(after > before && after.is_rewound_since(before));
}
