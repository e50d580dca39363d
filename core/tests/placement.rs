//! At most one daemon sends orders at a time, as far as engines can tell, and engines reach the
//! target version.

use magnoliawinch::catalogue::Offset;
use magnoliawinch::ledger::Claimant;
use magnoliawinch::names::{HostName, UpstreamName};
use magnoliawinch::placement::lease::{LEASE_DURATION, OrderPermit};
use magnoliawinch::placement::{LeaseClient, LeaseRecord, Leases, ModelStatus, Rollout};
use magnoliawinch::service_file::ServiceSpec;
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_schedules::{check, check_detects};
use quickcheck::{Arbitrary, Gen};

const DAEMONS: usize = 3;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A daemon tries to take the lease; its record reaches the log after a delay or is lost.
    Tick {
        daemon: usize,
        delay_ms: u64,
        lost: bool,
    },
    /// A daemon reads the log to its end.
    Read {
        daemon: usize,
    },
    /// A daemon with a permit sends an order, after a pause that it does not notice.
    Order {
        daemon: usize,
        pause_ms: u64,
    },
    Advance {
        ms: u64,
    },
    Release {
        daemon: usize,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let daemon = usize::arbitrary(g) % DAEMONS;
        match u8::arbitrary(g) % 12 {
            0..=2 => Self::Tick {
                daemon,
                delay_ms: u64::from(u16::arbitrary(g) % 3_000),
                lost: u8::arbitrary(g).is_multiple_of(8),
            },
            3..=5 => Self::Read { daemon },
            6..=8 => {
                let pauses = [0, 0, 100, 30_000];
                Self::Order { daemon, pause_ms: *g.choose(&pauses).expect("there are pauses") }
            }
            9 | 10 => {
                let spans = [100, 1_000, 4_000, 9_000, 16_000];
                Self::Advance { ms: *g.choose(&spans).expect("there are spans") }
            }
            _ => Self::Release { daemon },
        }
    }
}

/// Fault that the checks must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Correct,
    /// The engine accepts any fencing number.
    EngineDoesNotCheck,
    /// A holder sends orders until it reads another grant, even after expiry.
    IgnoresExpiry,
}

struct Daemon {
    client: LeaseClient,
    leases: Leases,
    next: usize,
}

struct World {
    variant: Variant,
    now: Time,
    log: Vec<(Time, LeaseRecord)>,
    daemons: Vec<Daemon>,
    /// Highest fencing number seen by the engine.
    engine_fencing: Offset,
    permits: Vec<(Time, Offset)>,
}

fn claimant(daemon: usize) -> Claimant {
    Claimant { host: HostName::from(format!("entry-{daemon}")), incarnation: 1 }
}

impl World {
    fn new(variant: Variant) -> Self {
        let daemon = |index| Daemon {
            client: LeaseClient::new("service", claimant(index)),
            leases: Leases::new(),
            next: 0,
        };
        Self {
            variant,
            now: Time(1_000),
            log: Vec::new(),
            daemons: (0..DAEMONS).map(daemon).collect(),
            engine_fencing: Offset(0),
            permits: Vec::new(),
        }
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Tick { daemon, delay_ms, lost } => {
                if let Some(record) = self.daemons[daemon].client.tick(self.now) {
                    self.now = self.now + Millis(delay_ms);
                    if !lost {
                        self.log.push((self.now, record));
                    }
                }
            }
            Step::Read { daemon } => self.read(daemon),
            Step::Order { daemon, pause_ms } => self.order(daemon, pause_ms)?,
            Step::Advance { ms } => self.now = self.now + Millis(ms),
            Step::Release { daemon } => {
                if let Some(record) = self.daemons[daemon].client.release() {
                    self.log.push((self.now, record));
                }
            }
        }
        Ok(())
    }

    fn read(&mut self, daemon: usize) {
        let state = &mut self.daemons[daemon];
        for (index, (at, record)) in self.log.iter().enumerate().skip(state.next) {
            state.leases.apply(Offset(index as u64 + 1), *at, record);
            state.client.on_record(self.now, record, &state.leases);
            state.next = index + 1;
        }
    }

    fn permit(&self, daemon: usize) -> Option<OrderPermit> {
        let state = &self.daemons[daemon];
        if self.variant == Variant::IgnoresExpiry {
            let lease = state.leases.get("service")?;
            let is_own = lease.holder == claimant(daemon);
            return is_own.then_some(OrderPermit { fencing: lease.fencing, allows_unfenced: true });
        }
        state.client.order_permit(self.now)
    }

    fn order(&mut self, daemon: usize, pause_ms: u64) -> Result<(), String> {
        let Some(permit) = self.permit(daemon) else {
            return Ok(());
        };
        // No two daemons may have a permit at the same time.
        self.permits.push((self.now, permit.fencing));
        for other in 0..DAEMONS {
            let is_second_sender = other != daemon && self.permit(other).is_some();
            if is_second_sender {
                return Err(format!("daemons {daemon} and {other} may both send orders"));
            }
        }
        self.now = self.now + Millis(pause_ms);
        let is_refused =
            self.variant != Variant::EngineDoesNotCheck && permit.fencing < self.engine_fencing;
        if is_refused {
            return Ok(());
        }
        if permit.fencing < self.engine_fencing {
            return Err("the engine accepted an order of a former holder".to_owned());
        }
        self.engine_fencing = permit.fencing;
        Ok(())
    }
}

fn run(variant: Variant, steps: &[Step]) -> Result<(), String> {
    let mut world = World::new(variant);
    steps.iter().try_for_each(|step| world.step(*step))
}

#[test]
fn at_most_one_daemon_sends_orders_at_a_time() {
    check(|steps: &[Step]| run(Variant::Correct, steps));
}

#[test]
fn a_late_order_of_a_former_holder_has_an_old_fencing_number() {
    // Two holders in turn; the first pauses between checking its lease and sending its order.
    let mut world = World::new(Variant::EngineDoesNotCheck);
    let take = |world: &mut World, daemon: usize| {
        let tick = Step::Tick { daemon, delay_ms: 0, lost: false };
        world.step(tick).expect("taking a lease breaks no rule");
        world.step(Step::Read { daemon }).expect("reading breaks no rule");
    };
    take(&mut world, 0);
    let old = world.permit(0).expect("the first daemon holds the lease");
    world.now = world.now + LEASE_DURATION + Millis(10);
    take(&mut world, 1);
    world.order(1, 0).expect("the second daemon holds the lease");
    assert!(
        old.fencing < world.engine_fencing,
        "a late order of the first daemon has an old fencing number"
    );
    assert_eq!(world.permit(0), None, "the first daemon knows that its lease has expired");
}

#[test]
fn ignoring_the_expiry_of_a_lease_is_detected() {
    check_detects(|steps: &[Step]| run(Variant::IgnoresExpiry, steps));
}

const SERVICE: &str = "\
[service]
name = guidance
type = generation
[model doors]
version = v2
weight_bytes = 1000
[kind walkthrough]
idempotent = true
[organisation lobby]
key_sha256 = 0000000000000000000000000000000000000000000000000000000000000000
[upstream engine-1]
address = 127.0.0.1:9001
failure_domain = a
memory_tokens = 1000
checks_fencing = true
[upstream engine-2]
address = 127.0.0.1:9002
failure_domain = b
memory_tokens = 1000
checks_fencing = false
[upstream engine-3]
address = 127.0.0.1:9003
failure_domain = c
memory_tokens = 1000
checks_fencing = true
";

fn observed(version: &str, loading: Option<&str>) -> ModelStatus {
    let model = "doors".to_owned();
    ModelStatus { model, version: version.to_owned(), loading: loading.map(str::to_owned) }
}

/// Orders sent in each second if each load takes three seconds.
fn rollout(bytes_per_second: u64, unfenced_after_ms: u64) -> Vec<String> {
    let service = ServiceSpec::parse(SERVICE).expect("the file is valid");
    let mut rollout = Rollout::new(bytes_per_second);
    let mut loaded_at = std::collections::BTreeMap::new();
    let mut lines = Vec::new();
    for second in 0..30 {
        let now = Time(1_000 + second * 1_000);
        for name in service.upstreams.keys() {
            let state = match loaded_at.get(name) {
                Some(at) if now >= *at => observed("v2", None),
                Some(_) => observed("v1", Some("v2")),
                None => observed("v1", None),
            };
            rollout.observe(now, name, state);
        }
        let allows_unfenced = now.0 >= unfenced_after_ms;
        let permit = OrderPermit { fencing: Offset(7), allows_unfenced };
        for (name, order) in rollout.orders(now, permit, &service) {
            lines.push(format!("{second} s: {name} to {} {}", order.model, order.version));
            loaded_at.insert(name, now + Millis(3_000));
        }
    }
    lines
}

#[test]
fn engines_load_one_at_a_time_within_the_store_s_rate() {
    let fast = rollout(1_000_000, 0);
    let slow = rollout(100, 0);
    let late = rollout(1_000_000, 20_000);
    insta::assert_debug_snapshot!((fast, slow, late));
}

#[test]
fn an_engine_reverted_by_a_late_order_is_corrected() {
    let service = ServiceSpec::parse(SERVICE).expect("the file is valid");
    let mut rollout = Rollout::new(1_000_000);
    let permit = OrderPermit { fencing: Offset(7), allows_unfenced: true };
    let name = UpstreamName::new("engine-2");
    rollout.observe(Time(0), &name, observed("v1", None));
    assert_eq!(rollout.orders(Time(0), permit, &service).len(), 1);
    rollout.observe(Time(3_000), &name, observed("v2", None));
    assert!(rollout.orders(Time(3_000), permit, &service).is_empty());
    // A former holder's late order reaches an engine that does not check fencing numbers.
    rollout.observe(Time(8_000), &name, observed("v1", None));
    let again = rollout.orders(Time(8_000), permit, &service);
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].1.version, "v2");
}
