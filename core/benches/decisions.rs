//! Cost of single decisions by number of upstreams, running generations or engines.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use magnoliawinch::admission::{Admission, Bounds, GrantId, Request};
use magnoliawinch::estimate::LengthEstimator;
use magnoliawinch::fleet::ListedUpstream;
use magnoliawinch::names::{
    FailureDomain, HostName, KindName, OrganisationName, RunId, ServiceName, UpstreamName,
};
use magnoliawinch::pool::{PlacementDecision, Pool, Report, RunState};
use magnoliawinch::route_table::EngineConfig;
use magnoliawinch::routing::{Router, RoutingCriteria, pool};
use magnoliawinch::service_file::ServiceSpec;
use magnoliawinch::time::{Millis, Time};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::fmt::Write;
use std::hint::black_box;

fn service(upstreams: usize) -> ServiceSpec {
    let digest = "0".repeat(64);
    let mut text = format!(
        "[service]\nname = s\ntype = generation\n[kind k]\nidempotent = true\n\
         [organisation o]\nkey_sha256 = {digest}\n"
    );
    for number in 0..upstreams {
        let _ = write!(
            text,
            "[upstream e-{number}]\naddress = 127.0.0.1:9000\nfailure_domain = d-{}\n\
             memory_tokens = 60000\n",
            number % 15
        );
    }
    ServiceSpec::parse(&text).expect("the file is valid")
}

fn request(id: u64, estimator: &mut LengthEstimator) -> Request {
    let (service, kind) = (ServiceName::new("s"), KindName::new("k"));
    let organisation = OrganisationName::from(format!("o-{}", id % 7));
    Request {
        id: GrantId(id),
        holder: HostName::new("entry"),
        length_distribution: estimator.distribution(&service, &kind, &organisation),
        organisation,
        kind,
        share: 1.0,
        priority: 5,
        prompt_tokens: 200,
        patience_until: Time(u64::MAX),
        suspect: false,
        no_queue: true,
    }
}

fn routing(c: &mut Criterion) {
    let mut group = c.benchmark_group("rank upstreams");
    for upstreams in [10, 100, 1_000] {
        let service = service(upstreams);
        let pool = pool(&HostName::new("entry"), &service);
        let local_domain = FailureDomain::new("d-1");
        let mut router = Router::new();
        for name in &pool {
            router.note_load(Time(1_000), name, Millis(20), 0.5);
        }
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        group.bench_function(BenchmarkId::from_parameter(upstreams), |b| {
            b.iter(|| {
                let criteria = RoutingCriteria {
                    prefix: 7,
                    prefix_tokens: 256,
                    local_domain: &local_domain,
                    avoid: None,
                };
                let usable = |_: &UpstreamName| true;
                black_box(router.candidates(
                    Time(2_000),
                    &service,
                    &pool,
                    usable,
                    criteria,
                    &mut rng,
                ))
            });
        });
    }
    group.finish();
}

fn admission(c: &mut Criterion) {
    let mut group = c.benchmark_group("admit beside answers in progress");
    for running in [0_u64, 16, 64, 256] {
        let mut estimator = LengthEstimator::new();
        let bounds = Bounds {
            memory_tokens: 1e9,
            max_running: 100_000,
            step_ms: 1e9,
            headroom: 1.5,
            queue_length: 100,
        };
        let mut admission = Admission::new(bounds);
        for id in 0..running {
            admission.request(Time(1_000), request(id, &mut estimator));
        }
        group.bench_function(BenchmarkId::from_parameter(running), |b| {
            b.iter(|| {
                let new_request = request(1_000_000, &mut estimator);
                let decision = admission.request(Time(2_000), new_request);
                admission.release(GrantId(1_000_000), 0);
                black_box(decision)
            });
        });
    }
    group.finish();
}

/// Daemons that hold runs: the hosts of the users' larger site.
const HOLDERS: u64 = 90;

fn overload_request(run: u64) -> magnoliawinch::pool::PlacementRequest {
    magnoliawinch::pool::PlacementRequest {
        run: RunId::from(format!("run-{run}")),
        holder: HostName::from(format!("entry-{}", run % HOLDERS)),
        holder_domain: FailureDomain::from(format!("d-{}", run % 3)),
        kind: KindName::new("k"),
        organisation: OrganisationName::from(format!("o-{}", run % 24)),
        prompt_tokens: 3_000,
        max_tokens: 2_000,
        priority: 1,
        first_event_deadline: Time(1_000_000),
        patience_until: Time(1_000_000),
        avoid: Vec::new(),
        max_pause: None,
        fingerprint: None,
    }
}

/// A full pool with as many queued runs as engines, and the placed runs.
fn overloaded_pool(engines: usize) -> (Pool, Vec<RunState>) {
    let config = EngineConfig {
        slots: 24,
        memory_tokens: 22_000,
        bytes_per_token: 18_432,
        link_bits_per_ms: 2_700_000,
        tokens_per_event: 4,
        can_move: true,
        can_back_up: true,
    };
    let mut pool = Pool::new(ServiceName::new("s"), config);
    let listed: Vec<_> = (0..engines)
        .map(|engine| ListedUpstream {
            name: UpstreamName::from(format!("engine-{engine}")),
            born: 1,
            service: ServiceName::new("s"),
            address: ([10, 0, 0, 1], 80).into(),
            failure_domain: FailureDomain::from(format!("d-{}", engine % 3)),
            slots: 24,
            leaving: false,
        })
        .collect();
    pool.set_engines(listed.iter().map(|listed| (listed, true)));
    let mut runs = Vec::new();
    for run in 0..engines as u64 * 8 {
        let request = overload_request(run);
        if let PlacementDecision::Placed(placement) = pool.place(Time(1_000 + run), request.clone())
        {
            runs.push(RunState {
                run: request.run,
                kind: request.kind,
                organisation: request.organisation,
                engine: placement.engine,
                backup: placement.backup,
                prompt_tokens: request.prompt_tokens,
                written: 0,
                max_tokens: request.max_tokens,
                priority: request.priority,
                moving_to: None,
                is_copied: false,
                refused: Vec::new(),
                max_pause: None,
            });
        }
    }
    (pool, runs)
}

fn pools(c: &mut Criterion) {
    for engines in [44, 128] {
        let (pool, runs) = overloaded_pool(engines);
        let now = Time(1_000 + engines as u64 * 8);
        let mut group = c.benchmark_group(format!("pool of {engines} engines"));
        group.bench_function("report and its answer", |b| {
            let mut pool = pool.clone();
            let holder = HostName::new("entry-1");
            let held: Vec<_> = runs.iter().filter(|run| run.run.as_str().ends_with('1')).collect();
            let held: Vec<_> = held.into_iter().take(3).cloned().collect();
            b.iter(|| {
                pool.report(now, &holder, &Report { runs: &held, ..Report::default() });
                black_box(pool.use_excluding(now, &holder))
            });
        });
        group.bench_function("tick with runs that wait", |b| {
            let mut pool = pool.clone();
            b.iter(|| black_box(pool.tick(now)));
        });
        group.bench_function("question for a place after a report", |b| {
            let mut pool = pool.clone();
            b.iter(|| {
                let holder = HostName::new("entry-0");
                pool.report(now, &holder, &Report { runs: &runs[..1], ..Report::default() });
                black_box(pool.place(now, overload_request(1_000_000)));
                pool.withdraw(&RunId::new("run-1000000"));
            });
        });
        group.finish();
    }
}

criterion_group!(benches, routing, admission, pools);
criterion_main!(benches);
