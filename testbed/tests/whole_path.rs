//! The whole path over loopback: addresses, a streamed generation, a whole one, and an order.

use magnoliawinch_testbed::deployment::{
    CLASSIFICATION, GUIDANCE, ORDER, ORGANISATIONS, PARTS, WALKTHROUGH, key_of,
};
use magnoliawinch_testbed::user::{Ending, User};
use magnoliawinch_testbed::{Bed, BedOptions};

#[tokio::test]
async fn a_caller_streams_a_generation_and_places_an_order() {
    let bed = Bed::start(BedOptions::default()).await.expect("the testbed starts");
    let mut user = User::new(&key_of(ORGANISATIONS[0]), &bed.caller_addresses(), 0);

    let (ending, _) = user.generate(GUIDANCE, WALKTHROUGH, "the wing drags", 40).await;
    assert_eq!(ending, Ending::Whole);
    let (ending, _) = user.generate_whole(GUIDANCE, CLASSIFICATION, "a brush seal", 12).await;
    assert_eq!(ending, Ending::Whole);

    let first = user.call(PARTS, ORDER, Some("order-1"), "bearing").await;
    let first = first.expect("the order is placed");
    let again = user.call(PARTS, ORDER, Some("order-1"), "bearing").await;
    assert_eq!(again.expect("the answer is repeated"), first);
    assert_eq!(bed.counts.of("order-1"), 1);
}
