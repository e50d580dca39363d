//! The cost of one decision, by pool size and by answers in progress.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use magnoliawinch::admission::{Admission, Bounds, GrantId, Request};
use magnoliawinch::estimate::Estimator;
use magnoliawinch::names::{
    FailureDomain, HostName, KindName, OrganisationName, ServiceName, UpstreamName,
};
use magnoliawinch::routing::{Router, Wish, pool};
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
    for place in 0..upstreams {
        let _ = write!(
            text,
            "[upstream e-{place}]\naddress = 127.0.0.1:9000\nfailure_domain = d-{}\n\
             memory_tokens = 60000\n",
            place % 15
        );
    }
    ServiceSpec::parse(&text).expect("the file is valid")
}

fn request(id: u64, estimator: &mut Estimator) -> Request {
    let (service, kind) = (ServiceName::new("s"), KindName::new("k"));
    let organisation = OrganisationName::from(format!("o-{}", id % 7));
    Request {
        id: GrantId(id),
        holder: HostName::new("entry"),
        curve: estimator.curve(&service, &kind, &organisation),
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
        let near = FailureDomain::new("d-1");
        let mut router = Router::new();
        for name in &pool {
            router.note_load(Time(1_000), name, Millis(20), 0.5);
        }
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        group.bench_function(BenchmarkId::from_parameter(upstreams), |b| {
            b.iter(|| {
                let wish = Wish { prefix: 7, prefix_tokens: 256, near: &near, avoid: None };
                let usable = |_: &UpstreamName| true;
                black_box(router.candidates(Time(2_000), &service, &pool, usable, wish, &mut rng))
            });
        });
    }
    group.finish();
}

fn admission(c: &mut Criterion) {
    let mut group = c.benchmark_group("admit beside answers in progress");
    for running in [0_u64, 16, 64, 256] {
        let mut estimator = Estimator::new();
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
                let wish = request(1_000_000, &mut estimator);
                let decision = admission.request(Time(2_000), wish);
                admission.release(GrantId(1_000_000), 0);
                black_box(decision)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, routing, admission);
criterion_main!(benches);
