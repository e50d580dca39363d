//! Tests of parsing a relay daemon's settings.

use magnoliawinch::names::OrganisationName;
use magnoliawinch::shares::Weights;
use magnoliawinch_relay::Settings;

const GOOD: &str = "
[daemon]
host = edge-1
failure_domain = a
caller_address = 10.0.0.1:8740
ready_address = 10.0.0.1:8749
directory_address = 10.0.0.1:8746
peer_address = 10.0.0.1:8748
seeds = 10.0.0.1:8748, 10.0.0.2:8748
[host]
processor_share = 0.25
processor_speed = 1
link_mbps = 1000.0
[platform]
store_address = 10.9.0.1:8742
[bounds]
grace_s = 8
directory_lifetime_s = 5
retry_ratio = 0.2
retry_slack = 58
retry_window_s = 10
memory_mb = 110
";

#[test]
fn good_settings_are_read() {
    insta::assert_debug_snapshot!(Settings::parse(GOOD).unwrap());
}

#[test]
fn organisations_share_engines_if_that_is_set() {
    let sharing = |section: &str| Settings::parse(&format!("{GOOD}{section}")).unwrap().sharing;
    assert_eq!(sharing(""), None);
    assert_eq!(sharing("[sharing]\nby_organisation = false\nweights = a=2\n"), None);
    let weights = [("a", 2.0), ("b", 0.5)];
    let weights = weights.map(|(name, weight)| (OrganisationName::new(name), weight));
    let set = sharing("[sharing]\nby_organisation = true\nweights = a=2, b = 0.5\n");
    assert_eq!(set, Some(Weights::new(weights)));
}

#[test]
fn bad_settings_name_key_and_value() {
    let cases = [
        ("grace_s = 8", "grace_s = soon"),
        ("grace_s = 8", "grace_s = -1"),
        ("link_mbps = 1000.0", "link_mbps = fast"),
        ("processor_share = 0.25\n", ""),
        ("retry_ratio = 0.2", "retry_ratio = 3"),
        ("seeds = 10.0.0.1:8748", "seeds = somewhere"),
        ("host = edge-1", "host = Edge 1"),
        ("caller_address = 10.0.0.1:8740\n", ""),
        ("memory_mb = 110", "memory_mb = 110\nspeed = 3"),
        ("[platform]", "[plattform]"),
        ("memory_mb = 110", "memory_mb = 110\nmax_retry_after_s = -1"),
        ("memory_mb = 110", "memory_mb = 110\nmax_retry_after_s = long"),
        ("memory_mb = 110", "memory_mb = 110\nresponse_buffer_mb = 0"),
        ("memory_mb = 110", "memory_mb = 110\nresponse_buffer_mb = 111"),
        ("memory_mb = 110", "memory_mb = 110\nrequest_buffer_mb = 0"),
        ("memory_mb = 110", "memory_mb = 110\nrequest_buffer_mb = 111"),
        ("memory_mb = 110", "memory_mb = 110\n[scheduling]\nkeep_pauses = perhaps"),
        ("memory_mb = 110", "memory_mb = 110\n[scheduling]\nkeep_pause = true"),
        ("[host]", "server_model = sometimes\n[host]"),
        ("memory_mb = 110", "memory_mb = 110\n[sharing]\nby_organisation = maybe"),
        ("memory_mb = 110", "memory_mb = 110\n[sharing]\nweights = a=2, b"),
        ("memory_mb = 110", "memory_mb = 110\n[sharing]\nweights = a=0"),
        ("memory_mb = 110", "memory_mb = 110\n[sharing]\nweights = a=1, a=2"),
        ("memory_mb = 110", "memory_mb = 110\n[sharing]\nby_kind = true"),
    ];
    let errors: Vec<_> = cases
        .iter()
        .map(|(from, to)| Settings::parse(&GOOD.replace(from, to)).unwrap_err().to_string())
        .collect();
    insta::assert_debug_snapshot!(errors);
}

/// Guards against a feature that is on where the settings do not ask for it.
#[test]
fn scheduling_is_off_by_default() {
    assert!(!Settings::parse(GOOD).unwrap().scheduling.keeps_pauses);
    let text = format!("{GOOD}[scheduling]\nkeep_pauses = true\n");
    assert!(Settings::parse(&text).unwrap().scheduling.keeps_pauses);
}
