//! Cases of the second review: small deployments with stand-ins, and what their clients and servers see.
//!
//! `harness-2 SCENARIO RECORD`; `TROUBLE=0` leaves the disruption out. Exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod engines;
mod http;
mod plain;
mod scenarios;
mod site;
mod store;

use site::Record;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(scenario), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: harness-2 SCENARIO RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let path = PathBuf::from(path);
    let outcome = Record::create(&path).and_then(|record| {
        let record = Arc::new(record);
        let found = scenarios::run(&scenario, has_trouble, Arc::clone(&record))?;
        for line in &found {
            record.note(&format!("BROKEN {line}"));
            println!("{line}");
        }
        Ok(found.is_empty())
    });
    match outcome {
        Ok(true) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}
