//! Each token reaches the caller once, in order, from one generation, whatever the links do.

use magnoliawinch::delivery::{Delivery, EngineEvent, Step as Checked, StreamError};
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_schedules::{check, check_caught};
use quickcheck::{Arbitrary, Gen};

const SILENCE: Millis = Millis(1_000);
const LENGTH: u64 = 12;

/// What a link does with the next event of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Deliver,
    Repeat,
    Lose,
    Cross,
    Stall,
    Reconnect,
    EndEarly,
    Heartbeat,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let steps = [
            Self::Deliver,
            Self::Deliver,
            Self::Deliver,
            Self::Deliver,
            Self::Repeat,
            Self::Lose,
            Self::Cross,
            Self::Stall,
            Self::Reconnect,
            Self::EndEarly,
            Self::Heartbeat,
        ];
        *g.choose(&steps).expect("there are steps")
    }
}

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Right,
    /// Hands on whatever arrives.
    Unchecked,
    /// Resumes with the first token.
    ResumesAtZero,
}

fn token(generation: &str, index: u64) -> EngineEvent {
    let text = format!("{generation}.{index}");
    EngineEvent::Token { generation: generation.to_owned(), index, text }
}

fn end(tokens: u64) -> EngineEvent {
    EngineEvent::End { generation: "own".to_owned(), tokens }
}

struct World {
    variant: Variant,
    now: Time,
    delivery: Delivery,
    /// The index that the link sends next.
    cursor: u64,
    received: Vec<String>,
    over: bool,
}

impl World {
    fn new(variant: Variant) -> Self {
        let now = Time(0);
        let delivery = Delivery::new("own", 0, now, SILENCE);
        Self { variant, now, delivery, cursor: 0, received: Vec::new(), over: false }
    }

    fn resume(&mut self) {
        self.cursor = match self.variant {
            Variant::ResumesAtZero => 0,
            _ => self.delivery.next_index(),
        };
        if self.variant == Variant::ResumesAtZero {
            self.delivery = Delivery::new("own", 0, self.now, SILENCE);
        }
        self.delivery.reconnected(self.now);
    }

    fn arrive(&mut self, event: EngineEvent) {
        if let (Variant::Unchecked, EngineEvent::Token { text, .. }) = (self.variant, &event) {
            self.received.push(text.clone());
            return;
        }
        match self.delivery.event(self.now, event) {
            Ok(Checked::Release { text, .. }) => self.received.push(text),
            Ok(Checked::Pass) => {}
            Ok(Checked::Complete) => self.over = true,
            Err(e) if e.may_resume() => self.resume(),
            Err(_) => self.over = true,
        }
    }

    fn step(&mut self, step: Step) {
        if self.over {
            return;
        }
        self.now = self.now + Millis(10);
        match step {
            Step::Deliver if self.cursor >= LENGTH => self.arrive(end(LENGTH)),
            Step::Deliver => {
                self.arrive(token("own", self.cursor));
                self.cursor = (self.cursor + 1).min(LENGTH);
            }
            Step::Repeat => self.arrive(token("own", self.cursor.saturating_sub(1))),
            Step::Lose => self.cursor = (self.cursor + 1).min(LENGTH),
            Step::Cross => self.arrive(token("other", self.cursor)),
            Step::Stall => {
                self.now = self.now + SILENCE;
                if self.delivery.tick(self.now).is_err() {
                    self.resume();
                }
            }
            Step::Reconnect => self.resume(),
            Step::EndEarly if self.cursor < self.delivery.next_index() => {}
            Step::EndEarly => self.arrive(end(self.cursor.max(self.delivery.next_index() + 1))),
            Step::Heartbeat => self.arrive(EngineEvent::Heartbeat),
        }
    }
}

fn run(variant: Variant, steps: &[Step]) -> Result<(), String> {
    let mut world = World::new(variant);
    steps.iter().for_each(|step| world.step(*step));
    let expected: Vec<_> =
        (0..world.received.len() as u64).map(|index| format!("own.{index}")).collect();
    if world.received != expected {
        return Err(format!("the caller received {:?}", world.received));
    }
    if world.delivery.is_complete() && world.received.len() as u64 != LENGTH {
        return Err(format!("complete after {} of {LENGTH} tokens", world.received.len()));
    }
    Ok(())
}

#[test]
fn tokens_arrive_once_and_in_order() {
    check(|steps: &[Step]| run(Variant::Right, steps));
}

#[test]
fn an_unchecked_stream_is_caught() {
    check_caught(|steps: &[Step]| run(Variant::Unchecked, steps));
}

#[test]
fn a_resume_from_the_start_is_caught() {
    check_caught(|steps: &[Step]| run(Variant::ResumesAtZero, steps));
}

#[test]
fn each_fault_has_its_error() {
    let fresh = || Delivery::new("own", 3, Time(0), SILENCE);
    let errors: Vec<StreamError> = [
        fresh().event(Time(1), token("other", 3)).expect_err("crossed"),
        fresh().event(Time(1), token("own", 5)).expect_err("gap"),
        fresh().event(Time(1), end(9)).expect_err("end after a gap"),
        fresh().event(Time(1), end(2)).expect_err("end before the tokens"),
        fresh().tick(Time(1_000)).expect_err("silence"),
    ]
    .into();
    let lines: Vec<_> =
        errors.iter().map(|e| format!("{e} (may resume: {})", e.may_resume())).collect();
    insta::assert_debug_snapshot!(lines);
}
