//! Rendezvous hashing.

use magnoliawinch::rendezvous::owner;

#[test]
fn removing_a_member_moves_only_its_keys() {
    let members = ["a", "b", "c", "d"];
    let fewer = ["a", "b", "d"];
    let keys: Vec<_> = (0..1000).map(|key| key.to_string()).collect();
    let moved = keys.iter().filter(|key| owner(key, members) != owner(key, fewer));
    let moved_without_cause = moved.filter(|key| owner(key, members) != Some("c")).count();
    assert_eq!(moved_without_cause, 0);
    let lost = keys.iter().filter(|key| owner(key, members) == Some("c")).count();
    assert!((200..300).contains(&lost), "a quarter of the keys was expected, {lost} were lost");
}
