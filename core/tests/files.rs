//! Settings and service files: valid ones are read; errors name the line or section, key and value.

use magnoliawinch::service_file::ServiceSpec;
use magnoliawinch::settings::Settings;

const SERVICE: &str = "\
[service]
name = orders
type = plain
[kind order]
idempotent = false
[organisation lobby]
key_sha256 = 0000000000000000000000000000000000000000000000000000000000000000
[upstream orders-1]
address = 127.0.0.1:9000
failure_domain = georgia-a
";

const SETTINGS: &str = "\
[daemon]
host = entry-1
failure_domain = georgia-a
caller_address = 127.0.0.1:7000
peer_address = 127.0.0.1:7001
operator_address = 127.0.0.1:7002
operator_key_sha256 = 00
[platform]
log_address = 127.0.0.1:8000
hosts_address = 127.0.0.1:8001
";

/// Error of the service file with `old` replaced by `new`.
fn service_error(old: &str, new: &str) -> String {
    assert!(SERVICE.contains(old), "\"{old}\" is in the file");
    match ServiceSpec::parse(&SERVICE.replace(old, new)) {
        Ok(_) => format!("{new}: valid"),
        Err(e) => e.to_string(),
    }
}

/// Error of the settings file with `old` replaced by `new`.
fn settings_error(old: &str, new: &str) -> String {
    assert!(SETTINGS.contains(old), "\"{old}\" is in the file");
    match Settings::parse(&SETTINGS.replace(old, new)) {
        Ok(_) => format!("{new}: valid"),
        Err(e) => e.to_string(),
    }
}

#[test]
fn a_service_file_is_read() {
    insta::assert_json_snapshot!(ServiceSpec::parse(SERVICE).expect("the file is valid"));
}

#[test]
fn errors_of_service_files() {
    let errors = [
        service_error("[service]", "[service"),
        service_error("[service]", "name = x\n[service]"),
        service_error("[kind order]", "[kind order]\nidempotent = true"),
        service_error("[kind order]", "[service]"),
        service_error("[kind order]", "[sort order]"),
        service_error("[kind order]", "[kind Bad Name]"),
        service_error("name = orders\n", ""),
        service_error("name = orders", "name = Orders!"),
        service_error("type = plain", "type = other"),
        service_error("type = plain", "type = generation"),
        service_error("idempotent = false", "idempotent = perhaps"),
        service_error("idempotent = false", "idempotent = false\ndeadline_ms = 0"),
        service_error("idempotent = false", "idempotent = false\npriority = 10"),
        service_error("idempotent = false", "idempotent = false\ndelivery = later"),
        service_error("idempotent = false", "idempotent = false\ncolour = red"),
        service_error("key_sha256 = 0000", "key_sha256 = zzzz"),
        service_error("key_sha256 = 0000", "share = 0\nkey_sha256 = 0000"),
        service_error("key_sha256 = 0000", "share = much\nkey_sha256 = 0000"),
        service_error("address = 127.0.0.1:9000", "address = example.org:9000"),
        service_error("failure_domain = georgia-a\n", ""),
        service_error("[upstream orders-1]", "[limits]\nbody_bytes = 0\n[upstream orders-1]"),
        service_error("[upstream orders-1]", "[objective]\nstall = -1\n[upstream orders-1]"),
    ];
    insta::assert_debug_snapshot!(errors);
}

#[test]
fn a_settings_file_is_read() {
    insta::assert_json_snapshot!(Settings::parse(SETTINGS).expect("the file is valid"));
}

#[test]
fn errors_of_settings_files() {
    let errors = [
        settings_error("[daemon]", "[deamon]"),
        settings_error("[platform]", "[platform"),
        settings_error("host = entry-1\n", ""),
        settings_error("host = entry-1", "host = Entry 1"),
        settings_error("caller_address = 127.0.0.1:7000", "caller_address = 127.0.0.1"),
        settings_error("caller_address", "callers_address"),
        settings_error("host = entry-1", "host = entry-1\ntraffic_threads = 0"),
        settings_error("[platform]", "[limits]\nclaim_bound_ms = 1\n[platform]"),
        settings_error("[platform]", "[limits]\nkey_validity = 10\n[platform]"),
    ];
    insta::assert_debug_snapshot!(errors);
}
