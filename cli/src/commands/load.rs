//! Sends open-loop load.

use super::{CommandError, block_on, read_key};
use crate::options::{Baseline, LoadOptions};
use crate::output::{print_json, print_rows};
use magnoliawinch_fakes::engine::ModelParameters;
use magnoliawinch_testbed::deployment::{ORGANISATIONS, bearer_key};
use magnoliawinch_testbed::load::{self, Figures, Target};
use magnoliawinch_testbed::{Testbed, TestbedOptions};
use serde::Serialize;
use std::process::ExitCode;
use std::time::Duration;

/// Memory of the embedded engine, in tokens.
const MEMORY_TOKENS: u64 = 10_000_000;

/// Answers that the embedded engine runs at once.
const MAX_RUNNING: usize = 4_096;

/// What came back, and what the same load did straight at the engine.
#[derive(Debug, Serialize)]
struct Compared {
    daemons: Figures,
    direct: Option<Figures>,
}

/// Sends the load to the daemons that were named, or to a daemon and an engine of its own.
pub(crate) fn run(options: &LoadOptions) -> Result<ExitCode, CommandError> {
    let load = load::LoadOptions {
        rate: options.rate,
        duration: Duration::from_secs(options.seconds),
        length: options.length,
        seed: options.seed,
    };
    let compared = match options.host.is_empty() {
        true => block_on(embedded(options, &load))??,
        false => {
            let target = Target::Daemons {
                hosts: options.host.clone(),
                key: read_key(options.key_file.as_deref())?,
                service: options.service.clone(),
                kind: options.kind.clone(),
            };
            Compared { daemons: block_on(load::run(&load, &target))?, direct: None }
        }
    };
    match options.json {
        true => print_json(&compared),
        false => print(&compared),
    }
    Ok(ExitCode::SUCCESS)
}

async fn embedded(
    options: &LoadOptions,
    load: &load::LoadOptions,
) -> Result<Compared, CommandError> {
    let model = ModelParameters {
        memory_tokens: MEMORY_TOKENS,
        max_running: MAX_RUNNING,
        base_ms: options.step_ms,
        answer_ms: 0.0,
        context_ms: 0.0,
        prefill_ms: 0.0,
        prefill_chunk: u32::MAX,
        slowness: 1.0,
    };
    let bed = Testbed::start(TestbedOptions {
        daemons: 1,
        engines: 1,
        services: 1,
        model,
        traffic_threads: 2,
        ..TestbedOptions::default()
    })
    .await?;
    let target = Target::Daemons {
        hosts: bed.caller_addresses(),
        key: bearer_key(ORGANISATIONS[0]),
        service: options.service.clone(),
        kind: options.kind.clone(),
    };
    let daemons = load::run(load, &target).await;
    let direct = match options.baseline {
        Some(Baseline::Direct) => {
            Some(load::run(load, &Target::Engine(bed.engines[0].address())).await)
        }
        None => None,
    };
    Ok(Compared { daemons, direct })
}

fn print(compared: &Compared) {
    println!("through daemons");
    print_figures(&compared.daemons);
    if let Some(direct) = &compared.direct {
        println!("\nstraight to the engine");
        print_figures(direct);
    }
}

fn print_figures(figures: &Figures) {
    let ms = |value: f64| format!("{value:.2} ms");
    print_rows(&[
        ("started", figures.started.to_string()),
        ("whole", figures.whole.to_string()),
        ("failed", figures.failed.to_string()),
        ("tokens a second", format!("{:.0}", figures.tokens_per_second)),
        ("first token p50", ms(figures.first_token_ms_p50)),
        ("first token p95", ms(figures.first_token_ms_p95)),
        ("first token p99", ms(figures.first_token_ms_p99)),
        ("between tokens p50", ms(figures.inter_token_ms_p50)),
        ("between tokens p95", ms(figures.inter_token_ms_p95)),
        ("between tokens p99", ms(figures.inter_token_ms_p99)),
    ]);
}
