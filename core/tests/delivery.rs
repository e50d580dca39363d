//! Each token reaches the caller exactly once, in order and from one generation, whatever faults
//! the connections have.

use magnoliawinch::delivery::{EngineEvent, StreamAction, StreamError, StreamValidator};
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_schedules::{check, check_detects};
use quickcheck::{Arbitrary, Gen};

const SILENCE: Millis = Millis(1_000);
const LENGTH: u64 = 12;

/// What happens to the engine's next event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Deliver,
    Duplicate,
    Drop,
    WrongGeneration,
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
            Self::Duplicate,
            Self::Drop,
            Self::WrongGeneration,
            Self::Stall,
            Self::Reconnect,
            Self::EndEarly,
            Self::Heartbeat,
        ];
        *g.choose(&steps).expect("steps is not empty")
    }
}

/// Fault that the checks must detect, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Correct,
    /// Delivers every token that arrives.
    SkipsChecks,
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
    validator: StreamValidator,
    /// Index of the engine's next token.
    cursor: u64,
    received: Vec<String>,
    ended: bool,
}

impl World {
    fn new(variant: Variant) -> Self {
        let now = Time(0);
        let validator = StreamValidator::new("own", 0, now, SILENCE);
        Self { variant, now, validator, cursor: 0, received: Vec::new(), ended: false }
    }

    fn resume(&mut self) {
        self.cursor = match self.variant {
            Variant::ResumesAtZero => 0,
            _ => self.validator.next_index(),
        };
        if self.variant == Variant::ResumesAtZero {
            self.validator = StreamValidator::new("own", 0, self.now, SILENCE);
        }
        self.validator.reconnected(self.now);
    }

    fn arrive(&mut self, event: EngineEvent) {
        if let (Variant::SkipsChecks, EngineEvent::Token { text, .. }) = (self.variant, &event) {
            self.received.push(text.clone());
            return;
        }
        match self.validator.on_event(self.now, event) {
            Ok(StreamAction::Deliver { text, .. }) => self.received.push(text),
            Ok(StreamAction::Ignore) => {}
            Ok(StreamAction::Complete) => self.ended = true,
            Err(e) if e.may_resume() => self.resume(),
            Err(_) => self.ended = true,
        }
    }

    fn step(&mut self, step: Step) {
        if self.ended {
            return;
        }
        self.now = self.now + Millis(10);
        match step {
            Step::Deliver if self.cursor >= LENGTH => self.arrive(end(LENGTH)),
            Step::Deliver => {
                self.arrive(token("own", self.cursor));
                self.cursor = (self.cursor + 1).min(LENGTH);
            }
            Step::Duplicate => self.arrive(token("own", self.cursor.saturating_sub(1))),
            Step::Drop => self.cursor = (self.cursor + 1).min(LENGTH),
            Step::WrongGeneration => self.arrive(token("other", self.cursor)),
            Step::Stall => {
                self.now = self.now + SILENCE;
                if self.validator.tick(self.now).is_err() {
                    self.resume();
                }
            }
            Step::Reconnect => self.resume(),
            Step::EndEarly if self.cursor < self.validator.next_index() => {}
            Step::EndEarly => self.arrive(end(self.cursor.max(self.validator.next_index() + 1))),
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
    if world.validator.is_complete() && world.received.len() as u64 != LENGTH {
        return Err(format!("complete after {} of {LENGTH} tokens", world.received.len()));
    }
    Ok(())
}

#[test]
fn tokens_arrive_once_and_in_order() {
    check(|steps: &[Step]| run(Variant::Correct, steps));
}

#[test]
fn an_unchecked_stream_is_detected() {
    check_detects(|steps: &[Step]| run(Variant::SkipsChecks, steps));
}

#[test]
fn a_resume_from_the_start_is_detected() {
    check_detects(|steps: &[Step]| run(Variant::ResumesAtZero, steps));
}

#[test]
fn each_fault_has_its_error() {
    let fresh = || StreamValidator::new("own", 3, Time(0), SILENCE);
    let errors: Vec<StreamError> = [
        fresh().on_event(Time(1), token("other", 3)).expect_err("crossed"),
        fresh().on_event(Time(1), token("own", 5)).expect_err("gap"),
        fresh().on_event(Time(1), end(9)).expect_err("end after a gap"),
        fresh().on_event(Time(1), end(2)).expect_err("end at fewer tokens than received"),
        fresh().tick(Time(1_000)).expect_err("silence"),
    ]
    .into();
    let lines: Vec<_> =
        errors.iter().map(|e| format!("{e} (may resume: {})", e.may_resume())).collect();
    insta::assert_debug_snapshot!(lines);
}
