//! What responses prove, by status, statement and kind of request.

use magnoliawinch::response::ResponseClass;
use magnoliawinch::route_table::Delivery;
use std::fmt::Write;

/// Guards against forwarding a status that promises that a request has not run without the upstream's
/// statement, against taking a status alone for that statement, and against forwarding one that is none.
#[test]
fn only_a_statement_proves_that_a_request_has_not_run() {
    let mut table = String::new();
    let statuses = [
        0, 100, 101, 199, 200, 204, 304, 400, 404, 408, 421, 429, 499, 500, 502, 503, 504, 600, 999,
    ];
    let stated = [0, 421, 503].map(|status| (status, true));
    for (status, states_not_run) in statuses.map(|status| (status, false)).into_iter().chain(stated)
    {
        let class = ResponseClass::new(status, states_not_run);
        let forwarded = [Delivery::Idempotent, Delivery::AtMostOnce, Delivery::Stream]
            .into_iter()
            .filter(|delivery| class.may_be_forwarded(*delivery))
            .map(|delivery| delivery.to_string());
        let forwarded: Vec<_> = forwarded.collect();
        let (name, statement) = (<&str>::from(class), if states_not_run { " stated" } else { "" });
        writeln!(
            table,
            "{status}{statement}: {name}, {}, failure {}, forwarded to [{}]",
            class.verdict(),
            class.is_failure(),
            forwarded.join(" ")
        )
        .unwrap();
    }
    insta::assert_snapshot!(table);
}
