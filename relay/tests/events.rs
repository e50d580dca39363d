//! Tests of the events of a stream.

use magnoliawinch_relay::Events;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

#[test]
fn whole_events_pass_and_parts_wait() {
    let mut events = Events::new();
    assert_eq!(events.push(event(1).as_bytes()).unwrap(), event(1).as_bytes());
    let two = event(2);
    let (start, rest) = two.as_bytes().split_at(9);
    assert!(events.push(start).unwrap().is_empty());
    assert!(events.has_part());
    let both = [rest, event(3).as_bytes()].concat();
    let expected = [event(2), event(3)].concat();
    assert_eq!(events.push(&both).unwrap(), expected.as_bytes());
    assert_eq!((events.last(), events.count()), (Some(3), 3));
}

#[test]
fn an_event_cut_in_the_middle_is_taken_from_the_run_that_goes_on() {
    let mut events = Events::new();
    events.push([event(1), "id: 2\nda".to_owned()].concat().as_bytes()).unwrap();
    events.drop_part();
    assert_eq!(events.push(event(2).as_bytes()).unwrap(), event(2).as_bytes());
}

#[test]
fn events_that_came_before_are_dropped() {
    let mut events = Events::new();
    events.push([event(1), event(2)].concat().as_bytes()).unwrap();
    let again = [event(2), event(3)].concat();
    assert_eq!(events.push(again.as_bytes()).unwrap(), event(3).as_bytes());
}

#[test]
fn a_gap_is_an_error() {
    let mut events = Events::new();
    events.push(event(1).as_bytes()).unwrap();
    let error = events.push(event(3).as_bytes()).unwrap_err();
    assert_eq!(error.to_string(), "event 3 follows event 1");
}

#[test]
fn carriage_returns_end_events_too() {
    let mut events = Events::new();
    let piece = b"id: 7\r\ndata: x\r\n\r\n";
    assert_eq!(events.push(piece).unwrap(), &piece[..]);
    assert_eq!(events.last(), Some(7));
}
