//! Tests one request of each kind end to end: a streamed generation, one delivered whole, and an
//! order that is sent twice.

use magnoliawinch_testbed::deployment::{
    GENERATION_SERVICE, ORDER_KIND, ORGANISATIONS, PLAIN_SERVICE, STREAM_KIND, WHOLE_KIND,
    bearer_key,
};
use magnoliawinch_testbed::test_caller::{Outcome, TestCaller};
use magnoliawinch_testbed::{Testbed, TestbedOptions};

#[tokio::test]
async fn generations_complete_and_a_repeated_order_runs_once() {
    let testbed = Testbed::start(TestbedOptions::default()).await.expect("the testbed starts");
    let mut caller = TestCaller::new(&bearer_key(ORGANISATIONS[0]), &testbed.caller_addresses(), 0);

    let (outcome, _) = caller.generate(GENERATION_SERVICE, STREAM_KIND, "the wing drags", 40).await;
    assert_eq!(outcome, Outcome::Complete);
    let (outcome, _) =
        caller.generate_whole(GENERATION_SERVICE, WHOLE_KIND, "a brush seal", 12).await;
    assert_eq!(outcome, Outcome::Complete);

    let first = caller.call(PLAIN_SERVICE, ORDER_KIND, Some("order-1"), "bearing").await;
    let first = first.expect("the order is placed");
    let again = caller.call(PLAIN_SERVICE, ORDER_KIND, Some("order-1"), "bearing").await;
    assert_eq!(again.expect("the response is repeated"), first);
    assert_eq!(testbed.run_counts.of("order-1"), 1);
}
