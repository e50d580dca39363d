//! Generates open-loop load.

use super::{CommandError, block_on, read_key};
use crate::options::{Baseline, LoadOptions};
use crate::output::{print_json, print_rows};
use magnoliawinch_fakes::engine::ModelParameters;
use magnoliawinch_testbed::deployment::{ORGANISATIONS, bearer_key};
use magnoliawinch_testbed::load::{self, LoadFigures, Target};
use magnoliawinch_testbed::{Testbed, TestbedOptions};
use serde::Serialize;
use std::process::ExitCode;
use std::time::Duration;

/// Memory of the embedded engine.
const MEMORY_TOKENS: u64 = 10_000_000;

/// Maximum concurrent generations of the embedded engine.
const MAX_RUNNING: usize = 4_096;

/// The figures of the load through daemons and, as a baseline, directly to the engine.
#[derive(Debug, Serialize)]
struct Comparison {
    daemons: LoadFigures,
    direct: Option<LoadFigures>,
}

/// Sends the load to the given daemons or, without any, to an embedded daemon and engine.
pub(crate) fn run(options: &LoadOptions) -> Result<ExitCode, CommandError> {
    let load = load::LoadOptions {
        rate: options.rate,
        duration: Duration::from_secs(options.seconds),
        length: options.length,
        seed: options.seed,
    };
    let comparison = match options.host.is_empty() {
        true => block_on(run_embedded(options, &load))??,
        false => {
            let target = Target::Daemons {
                hosts: options.host.clone(),
                key: read_key(options.key_file.as_deref())?,
                service: options.service.clone(),
                kind: options.kind.clone(),
            };
            Comparison { daemons: block_on(load::run(&load, &target))?, direct: None }
        }
    };
    match options.json {
        true => print_json(&comparison),
        false => print(&comparison),
    }
    Ok(ExitCode::SUCCESS)
}

async fn run_embedded(
    options: &LoadOptions,
    load: &load::LoadOptions,
) -> Result<Comparison, CommandError> {
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
    let testbed = Testbed::start(TestbedOptions {
        daemons: 1,
        engines: 1,
        plain_upstreams: 1,
        model,
        traffic_threads: 2,
        ..TestbedOptions::default()
    })
    .await?;
    let target = Target::Daemons {
        hosts: testbed.caller_addresses(),
        key: bearer_key(ORGANISATIONS[0]),
        service: options.service.clone(),
        kind: options.kind.clone(),
    };
    let daemons = load::run(load, &target).await;
    let direct = match options.baseline {
        Some(Baseline::Direct) => {
            Some(load::run(load, &Target::Engine(testbed.engines[0].address())).await)
        }
        None => None,
    };
    Ok(Comparison { daemons, direct })
}

fn print(comparison: &Comparison) {
    println!("through daemons");
    print_figures(&comparison.daemons);
    if let Some(direct) = &comparison.direct {
        println!("\ndirectly to the engine");
        print_figures(direct);
    }
}

fn print_figures(figures: &LoadFigures) {
    let ms = |value: f64| format!("{value:.2} ms");
    print_rows(&[
        ("started", figures.started.to_string()),
        ("whole", figures.whole.to_string()),
        ("failed", figures.failed.to_string()),
        ("tokens per second", format!("{:.0}", figures.tokens_per_second)),
        ("time to first token p50", ms(figures.first_token_ms_p50)),
        ("time to first token p95", ms(figures.first_token_ms_p95)),
        ("time to first token p99", ms(figures.first_token_ms_p99)),
        ("time between tokens p50", ms(figures.inter_token_ms_p50)),
        ("time between tokens p95", ms(figures.inter_token_ms_p95)),
        ("time between tokens p99", ms(figures.inter_token_ms_p99)),
    ]);
}
