//! Tests of reading server-sent events.

use magnoliawinch_http::BodyBudget;
use magnoliawinch_relay::{EventError, EventReader};

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

#[test]
fn complete_events_pass_and_partial_events_are_buffered() {
    let mut events = EventReader::new(&BodyBudget::default());
    assert_eq!(events.push(event(1).as_bytes()).unwrap(), event(1).as_bytes());
    let two = event(2);
    let (start, rest) = two.as_bytes().split_at(9);
    assert!(events.push(start).unwrap().is_empty());
    assert!(events.has_partial_event());
    let both = [rest, event(3).as_bytes()].concat();
    let expected = [event(2), event(3)].concat();
    assert_eq!(events.push(&both).unwrap(), expected.as_bytes());
    assert_eq!((events.last_id(), events.count()), (Some(3), 3));
}

#[test]
fn partial_event_is_replaced_after_the_run_moves() {
    let mut events = EventReader::new(&BodyBudget::default());
    events.push([event(1), "id: 2\nda".to_owned()].concat().as_bytes()).unwrap();
    events.discard_partial_event();
    assert_eq!(events.push(event(2).as_bytes()).unwrap(), event(2).as_bytes());
}

#[test]
fn repeated_events_are_dropped() {
    let mut events = EventReader::new(&BodyBudget::default());
    events.push([event(1), event(2)].concat().as_bytes()).unwrap();
    let again = [event(2), event(3)].concat();
    assert_eq!(events.push(again.as_bytes()).unwrap(), event(3).as_bytes());
}

#[test]
fn gap_is_an_error() {
    let mut events = EventReader::new(&BodyBudget::default());
    events.push(event(1).as_bytes()).unwrap();
    let error = events.push(event(3).as_bytes()).unwrap_err();
    assert_eq!(error.to_string(), "event 3 follows event 1");
}

#[test]
fn crlf_separates_events() {
    let mut events = EventReader::new(&BodyBudget::default());
    let chunk = b"id: 7\r\ndata: x\r\n\r\n";
    assert_eq!(events.push(chunk).unwrap(), &chunk[..]);
    assert_eq!(events.last_id(), Some(7));
}

/// Guards against many streams that each buffer an event without an end.
#[test]
fn partial_events_share_a_budget() {
    let budget = BodyBudget::new(500_000);
    let chunk = vec![b'x'; 200_000];
    let mut readers: Vec<_> = (0..2).map(|_| EventReader::new(&budget)).collect();
    for reader in &mut readers {
        reader.push(&chunk).unwrap();
    }
    let e = EventReader::new(&budget).push(&chunk).unwrap_err();
    assert!(matches!(e, EventError::NoMemory(_)), "{e}");
    // Small events need no share.
    assert_eq!(EventReader::new(&budget).push(b"id: 1\ndata: a\n\n").unwrap().len(), 15);
    drop(readers);
    assert_eq!(budget.used(), 0);
}
