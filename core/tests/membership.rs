//! Views of the members, and the owners derived from them, converge after joins, crashes, pauses
//! and network partitions.

use magnoliawinch::capacity::Capacity;
use magnoliawinch::membership::{Member, MemberState, Membership};
use magnoliawinch::names::{FailureDomain, HostName, UpstreamName};
use magnoliawinch::ownership::Owners;
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_schedules::{check, check_detects};
use quickcheck::{Arbitrary, Gen};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::net::{Ipv4Addr, SocketAddr};

const HOSTS: usize = 6;
const ROUND: Millis = Millis(1_000);

/// Length of a slot in which one daemon reads the platform's list for all.
const LIST_SLOT: Millis = Millis(5_000);

/// Rounds after the last change within which views must converge.
const CONVERGE_ROUNDS: usize = 60;

/// Event at the start of a round.
#[derive(Clone, Copy, Debug)]
enum Step {
    Quiet,
    Crash(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Leave(usize),
    /// The network is partitioned between the hosts below this number and the others.
    Partition(usize),
    Heal,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let host = usize::arbitrary(g) % HOSTS;
        match u8::arbitrary(g) % 16 {
            0 => Self::Crash(host),
            1 | 2 => Self::Restart(host),
            3 => Self::Pause(host),
            4 => Self::Resume(host),
            5 => Self::Leave(host),
            6 => Self::Partition(host),
            7 => Self::Heal,
            _ => Self::Quiet,
        }
    }
}

/// Fault that the checks must detect, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Correct,
    OmitsChanges,
    /// A daemon does not refute a report that it failed.
    NeverRefutes,
}

fn member(host: usize, incarnation: u64) -> Member {
    let address = |port| SocketAddr::from((Ipv4Addr::new(127, 0, 1, host as u8 + 1), port));
    Member {
        host: HostName::from(format!("entry-{host}")),
        incarnation,
        failure_domain: FailureDomain::from(format!("domain-{}", host % 3)),
        peer_address: address(1),
        caller_address: address(2),
        capacity: Capacity::default(),
        state: MemberState::Alive,
    }
}

struct Node {
    view: Membership,
    up: bool,
    paused: bool,
    leaving: bool,
}

struct World {
    variant: Variant,
    now: Time,
    nodes: Vec<Node>,
    rng: ChaCha8Rng,
    partition: Option<usize>,
    incarnation: u64,
}

impl World {
    fn new(variant: Variant) -> Self {
        let node = |host| Node {
            view: Membership::new(member(host, 1)),
            up: true,
            paused: false,
            leaving: false,
        };
        let mut world = Self {
            variant,
            now: Time(1_000),
            nodes: (0..HOSTS).map(node).collect(),
            rng: ChaCha8Rng::seed_from_u64(1),
            partition: None,
            incarnation: 1,
        };
        (0..HOSTS).for_each(|host| world.probe_listed(host));
        world
    }

    /// Lets a daemon read the platform's list, which names every host, and probe the hosts that it
    /// does not know.
    fn probe_listed(&mut self, host: usize) {
        for other in 0..HOSTS {
            let is_known = self.nodes[host].view.knows(&format!("entry-{other}"));
            if !is_known {
                self.probe(host, other);
            }
        }
    }

    /// A daemon reads the list while it knows no other running daemon, and in its slots.
    fn reads_list(&self, host: usize) -> bool {
        let view = &self.nodes[host].view;
        let slot = self.now.0 / LIST_SLOT.0;
        let is_new_slot = self.now.0 % LIST_SLOT.0 < ROUND.0;
        let owners = Owners::new(view);
        let owner = owners.of_list(slot).map(|member| &member.host);
        view.alive().count() < 2 || (is_new_slot && owner == Some(&view.own().host))
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        let same_side = self.partition.is_none_or(|partition| (a < partition) == (b < partition));
        let runs = |host: usize| self.nodes[host].up && !self.nodes[host].paused;
        same_side && runs(a) && runs(b)
    }

    fn changes(&mut self, host: usize) -> Vec<Member> {
        match self.variant {
            Variant::OmitsChanges => Vec::new(),
            _ => self.nodes[host].view.changes(),
        }
    }

    fn learn(&mut self, host: usize, members: Vec<Member>) {
        for member in members {
            let is_own = member.host == self.nodes[host].view.own().host;
            if is_own && self.variant == Variant::NeverRefutes {
                continue;
            }
            self.nodes[host].view.merge(self.now, member);
        }
    }

    fn probe(&mut self, from: usize, to: usize) {
        if !self.reaches(from, to) {
            return;
        }
        let mut request = self.changes(from);
        request.push(self.nodes[from].view.own().clone());
        let is_new = !self.nodes[to].view.knows(&format!("entry-{from}"));
        let differs = self.nodes[from].view.digest() != self.nodes[to].view.digest();
        self.learn(to, request);
        let mut reply = self.changes(to);
        if is_new && self.variant != Variant::OmitsChanges {
            reply.extend(self.nodes[to].view.snapshot());
        } else if differs && self.variant != Variant::OmitsChanges {
            reply.extend(self.nodes[to].view.gossip_sample(&mut self.rng));
        }
        reply.push(self.nodes[to].view.own().clone());
        self.learn(from, reply);
        self.nodes[from].view.heard_from(self.now, &format!("entry-{to}"));
    }

    fn round(&mut self) {
        self.now = self.now + ROUND;
        for host in 0..HOSTS {
            if !self.nodes[host].up || self.nodes[host].paused {
                continue;
            }
            if self.reads_list(host) {
                self.probe_listed(host);
            }
            let now = self.now;
            let targets = self.nodes[host].view.tick(now, &mut self.rng);
            for target in targets {
                let to = target.host.as_str().trim_start_matches("entry-").parse();
                self.probe(host, to.expect("hosts are numbered"));
            }
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Quiet => {}
            Step::Crash(host) => self.nodes[host].up = false,
            Step::Restart(host) => self.restart(host),
            Step::Pause(host) => self.nodes[host].paused = true,
            Step::Resume(host) => self.nodes[host].paused = false,
            Step::Leave(host) => {
                self.nodes[host].leaving = true;
                self.nodes[host].view.leave();
            }
            Step::Partition(partition) => self.partition = Some(partition),
            Step::Heal => self.partition = None,
        }
        self.round();
    }

    fn restart(&mut self, host: usize) {
        self.incarnation += 1_000;
        let view = Membership::new(member(host, self.incarnation));
        self.nodes[host] = Node { view, up: true, paused: false, leaving: false };
        self.probe_listed(host);
    }

    /// After the last change, the views of all running daemons hold exactly the running members and
    /// agree on owners.
    fn check_converged(&mut self) -> Result<(), String> {
        self.partition = None;
        self.nodes.iter_mut().for_each(|node| node.paused = false);
        (0..CONVERGE_ROUNDS).for_each(|_| self.round());
        let running = |host: &usize| self.nodes[*host].up && !self.nodes[*host].leaving;
        let expected: Vec<_> =
            (0..HOSTS).filter(running).map(|host| format!("entry-{host}")).collect();
        let mut owners = Vec::new();
        for node in self.nodes.iter().filter(|node| node.up) {
            let view: Vec<_> = node.view.alive().map(|m| m.host.to_string()).collect();
            let mut view = view;
            view.sort();
            if view != expected {
                return Err(format!("{} sees {view:?}, not {expected:?}", node.view.own().host));
            }
            let upstream = UpstreamName::new("engine-1");
            let domain = FailureDomain::new("domain-1");
            let all = Owners::new(&node.view);
            owners.push(all.of_upstream(&upstream, &domain).map(|m| m.host.clone()));
        }
        owners.dedup();
        match owners.len() {
            0 | 1 => Ok(()),
            _ => Err(format!("several owners: {owners:?}")),
        }
    }
}

fn run(variant: Variant, steps: &[Step]) -> Result<(), String> {
    let mut world = World::new(variant);
    steps.iter().for_each(|step| world.step(*step));
    world.check_converged()
}

#[test]
fn views_and_owners_converge() {
    check(|steps: &[Step]| run(Variant::Correct, steps));
}

#[test]
fn omitted_changes_are_detected() {
    check_detects(|steps: &[Step]| run(Variant::OmitsChanges, steps));
}

#[test]
fn a_daemon_that_never_refutes_is_detected() {
    check_detects(|steps: &[Step]| run(Variant::NeverRefutes, steps));
}
