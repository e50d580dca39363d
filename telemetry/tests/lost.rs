//! Tests of the causes of lost and late requests found in logs.

use magnoliawinch_telemetry::lost::{LogLine, losses};

const LOG: &str = r#"
not a log line
1.5 edge-1 {"timestamp":"t1","level":"INFO","message":"refused","kvs":{"request":"a","refusal":"overloaded","retry_after_ms":250}}
{"timestamp":"t2","message":"answered","kvs":{"request":"b","status":200}}
{"timestamp":"t3","message":"answered","kvs":{"request":"c","status":500}}
{"timestamp":"t4","message":"stream ended","kvs":{"request":"d","outcome":"engine_lost","objective_ms":1800}}
{"timestamp":"t5","message":"stream ended","kvs":{"request":"e","outcome":"complete","objective_ms":1800,"first_ms":2500,"placed_ms":2000}}
{"timestamp":"t6","message":"stream ended","kvs":{"request":"f","outcome":"complete","objective_ms":1800,"first_ms":2500,"placed_ms":20}}
{"timestamp":"t7","message":"stream ended","kvs":{"request":"g","outcome":"complete","objective_ms":1800,"first_ms":500,"longest_pause_ms":300,"max_pause_ms":180,"moves":1}}
{"timestamp":"t8","message":"stream ended","kvs":{"request":"h","outcome":"complete","objective_ms":1800,"first_ms":500,"longest_pause_ms":60,"max_pause_ms":180}}
"#;

#[test]
fn each_lost_or_late_request_has_its_cause() {
    let lines: Vec<_> = LOG.lines().filter_map(LogLine::parse).collect();
    assert_eq!(lines.len(), 8);
    insta::assert_debug_snapshot!(losses(&lines));
}
