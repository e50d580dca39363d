//! Engines end with the wanted model, ordered by one holder of the lease at a time.

use magnoliawinch::catalogue::Offset;
use magnoliawinch::placement::Order;
use magnoliawinch_testbed::deployment::guidance_file;
use magnoliawinch_testbed::{Bed, BedOptions};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const MODEL: &str = "\n[model doors]\nversion = v2\nweight_bytes = 1000\n";

async fn wait_for_version(bed: &Bed, version: &str, limit: Duration) {
    let until = Instant::now() + limit;
    while bed.engines.iter().any(|engine| engine.model().version != version) {
        let models: Vec<_> = bed.engines.iter().map(|engine| engine.model()).collect();
        assert!(Instant::now() < until, "not every engine has {version}: {models:?}");
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn every_engine_loads_the_wanted_version_and_late_orders_do_no_harm() {
    let options = BedOptions::default();
    let mut bed = Bed::start_platform(options.clone()).await.expect("the stand-ins start");
    // One engine does not check fencing numbers.
    bed.engines[2].set_checks_fencing(false);
    let addresses: Vec<_> = bed.engines.iter().map(|engine| engine.address()).collect();
    let file = guidance_file(&addresses, &options) + MODEL;
    bed.append_service(
        &file.replacen("memory_tokens", "checks_fencing = true\nmemory_tokens", 2),
        1,
    );
    for place in 0..3 {
        bed.start_daemon(place).await.expect("the daemon starts");
    }
    bed.wait_ready(Duration::from_secs(20)).await.expect("all are ready");
    wait_for_version(&bed, "v2", Duration::from_secs(40)).await;
    let loads: Vec<_> = bed.engines.iter().map(|engine| engine.loads_started()).collect();
    assert_eq!(loads, [1, 1, 1], "each engine loaded once");

    // An old holder was paused for long and sends what it had in hand.
    let old = Order { fencing: Offset(0), model: "doors".to_owned(), version: "v1".to_owned() };
    let taken: Vec<_> = bed.engines.iter().map(|engine| engine.accept_order(&old)).collect();
    assert_eq!(taken, [false, false, true], "engines that check refuse it");
    sleep(Duration::from_millis(700)).await;
    wait_for_version(&bed, "v2", Duration::from_secs(40)).await;
}
