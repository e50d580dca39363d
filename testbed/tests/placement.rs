//! Tests that every engine loads the configured model version, on orders of one lease holder at a
//! time.

use magnoliawinch::catalogue::Offset;
use magnoliawinch::placement::Order;
use magnoliawinch_testbed::deployment::generation_service_file;
use magnoliawinch_testbed::{Testbed, TestbedOptions};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const MODEL_SECTION: &str = "\n[model doors]\nversion = v2\nweight_bytes = 1000\n";

async fn wait_for_version(testbed: &Testbed, version: &str, timeout: Duration) {
    let deadline = Instant::now() + timeout;
    while testbed.engines.iter().any(|engine| engine.model_status().version != version) {
        let models: Vec<_> = testbed.engines.iter().map(|engine| engine.model_status()).collect();
        assert!(Instant::now() < deadline, "not every engine has {version}: {models:?}");
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn every_engine_loads_the_wanted_version_despite_stale_orders() {
    let options = TestbedOptions::default();
    let mut testbed = Testbed::start_platform(options.clone()).await.expect("the stand-ins start");
    // One engine does not check fencing numbers; its upstream section omits `checks_fencing`.
    testbed.engines[2].set_checks_fencing(false);
    let addresses: Vec<_> = testbed.engines.iter().map(|engine| engine.address()).collect();
    let file = generation_service_file(&addresses, &options) + MODEL_SECTION;
    testbed.append_service(
        &file.replacen("memory_tokens", "checks_fencing = true\nmemory_tokens", 2),
        1,
    );
    for index in 0..3 {
        testbed.start_daemon(index).await.expect("the daemon starts");
    }
    testbed.wait_ready(Duration::from_secs(20)).await.expect("all are ready");
    wait_for_version(&testbed, "v2", Duration::from_secs(40)).await;
    let loads: Vec<_> = testbed.engines.iter().map(|engine| engine.loads_started()).collect();
    assert_eq!(loads, [1, 1, 1], "each engine loaded once");

    // A former lease holder sends an outdated order after a long pause.
    let stale_order =
        Order { fencing: Offset(0), model: "doors".to_owned(), version: "v1".to_owned() };
    let accepted: Vec<_> =
        testbed.engines.iter().map(|engine| engine.accept_order(&stale_order)).collect();
    assert_eq!(accepted, [false, false, true], "engines that check fencing numbers refuse it");
    sleep(Duration::from_millis(700)).await;
    wait_for_version(&testbed, "v2", Duration::from_secs(40)).await;
}
