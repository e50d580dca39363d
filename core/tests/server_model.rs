//! Choice among servers of a plain service by models of their speed, one test per load or failure.

use magnoliawinch::balance::{Balancer, Candidate, Choice, Load, ModelUse, Outcome};
use magnoliawinch::names::UpstreamName;
use magnoliawinch::retry::{RepeatCause, RepeatUses, SharedRetryBudget, SharedRetryLimits};
use magnoliawinch::server_model::ServerFacts;
use magnoliawinch::time::{Millis, Time};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SLOTS: u32 = 6;

/// Time of a call on a machine that is as fast as usual.
const WORK: Millis = Millis(30);

fn names() -> [UpstreamName; 3] {
    ["s1", "s2", "s3"].map(UpstreamName::new)
}

fn candidate(name: &UpstreamName) -> Candidate<'_> {
    Candidate { name, born: 1, slots: SLOTS, in_same_domain: true, is_unreachable: false }
}

fn load(slowdown_percent: u32) -> Load {
    Load { running: 2, waiting: 0, slots: SLOTS, slowdown_percent: Some(slowdown_percent) }
}

/// A call to `name` that ends at `now` with a response.
fn respond(balancer: &mut Balancer, now: Time, name: &UpstreamName, slowdown_percent: u32) {
    let sent_at = now - Millis(WORK.0 * u64::from(slowdown_percent) / 100);
    balancer.started(sent_at, name);
    balancer.record_load(now, name, load(slowdown_percent));
    balancer.ended(now, name, sent_at, Some(Outcome::Responded));
}

/// A balancer that has had `count` usual responses of each server up to `now`.
fn experienced(now: Time, count: u64) -> Balancer {
    let mut balancer = Balancer::new();
    for n in (0..count).rev() {
        for name in &names() {
            respond(&mut balancer, now - Millis(100 * n), name, 100);
        }
    }
    balancer
}

fn choose(balancer: &mut Balancer, now: Time, may_repeat: bool, rng: &mut ChaCha8Rng) -> usize {
    let names = names();
    let choice = balancer.choose(now, names.iter().map(candidate), may_repeat, rng);
    let chosen = choice.map(|choice| choice.name.clone());
    names.iter().position(|name| Some(name) == chosen.as_ref()).expect("a candidate is chosen")
}

/// How often each server is chosen for calls that are not recorded as started.
fn choices(balancer: &mut Balancer, now: Time, may_repeat: bool) -> [usize; 3] {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut counts = [0; 3];
    (0..300).for_each(|_| counts[choose(balancer, now, may_repeat, &mut rng)] += 1);
    counts
}

/// Whether machine `server` is slow: for 0.6 s at a time, in 15 of 100 of the time.
fn is_slow(server: usize, now: Time) -> bool {
    (now.0 / 600 + 3 * server as u64) % 20 < 3
}

/// Calls of three servers that get slow for 0.6 s at a time, which reach slow ones; `hears` tells
/// whether the host hears at once what others find.
fn calls_to_slow_servers(hears: bool) -> usize {
    let mut balancer = experienced(Time(60_000), 20);
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let names = names();
    let mut slow_calls = 0;
    for n in 0..3_000 {
        let now = Time(60_000 + 400 * n);
        for (server, name) in names.iter().enumerate().filter(|_| hears) {
            let slowdown = if is_slow(server, now - Millis(40)) { 250 } else { 100 };
            let facts = ServerFacts {
                born: 1,
                slowdown: Some((now - Millis(40), slowdown)),
                ..ServerFacts::default()
            };
            balancer.apply_news(now, name, &facts);
        }
        let chosen = choose(&mut balancer, now, false, &mut rng);
        let slowdown = if is_slow(chosen, now) { 250 } else { 100 };
        slow_calls += usize::from(slowdown == 250);
        respond(&mut balancer, now + WORK, &names[chosen], slowdown);
    }
    slow_calls
}

/// Uneven servers: each is slow for 0.6 s at a time in 15 of 100 of the time, and a host has 2.5
/// calls a second. Alone it learns too late; with what other hosts hear it avoids most slow ones.
#[test]
fn slow_moments_are_avoided_with_the_news_of_other_hosts() {
    let (alone, with_news) = (calls_to_slow_servers(false), calls_to_slow_servers(true));
    assert!(alone > 300, "{alone} of 3000");
    assert!(with_news * 3 < alone, "{with_news} instead of {alone} of 3000");
}

/// All hosts leave two slow servers at once: the third must not get more than it can do.
#[test]
fn calls_that_leave_slow_servers_do_not_overload_the_others() {
    let mut balancer = experienced(Time(10_000), 20);
    let busy = Load { running: 5, ..load(100) };
    for n in 0..60 {
        names().iter().for_each(|name| {
            balancer.record_load(Time(10_000 + n), name, busy);
        });
    }
    assert!(choices(&mut balancer, Time(10_100), false).iter().all(|count| *count > 60));
    for name in &names()[..2] {
        balancer.record_load(Time(10_100), name, Load { running: 5, ..load(250) });
    }
    // Four of six slots are in use at each server.
    let counts = choices(&mut balancer, Time(10_110), false);
    assert!(counts[2] > 120 && counts[2] < 210, "{counts:?}");
}

/// A server accepts calls and never answers. Two calls are outstanding there, none has timed out yet.
#[test]
fn a_server_that_never_answers_is_left_before_calls_time_out() {
    let mut balancer = experienced(Time(10_000), 20);
    let name = &names()[0];
    balancer.started(Time(10_100), name);
    balancer.started(Time(10_120), name);
    assert!(choices(&mut balancer, Time(10_130), false)[0] > 30);
    assert_eq!(choices(&mut balancer, Time(10_500), false)[0], 0);
    assert!(!balancer.note_silence(Time(10_390), name), "it is not silent yet");
    assert!(balancer.note_silence(Time(10_420), name), "others hear of it");

    // Another host hears of it, tries it with calls that may be repeated, and tells when it is back.
    let mut other = experienced(Time(10_000), 20);
    let news: Vec<_> =
        balancer.news(Time(10_430), 16).into_iter().map(|(n, f)| (n.clone(), f)).collect();
    assert!(other.apply_news(Time(10_430), name, &news[0].1));
    assert_eq!(choices(&mut other, Time(11_500), false)[0], 0);
    let trials = choices(&mut other, Time(11_500), true)[0];
    assert!((1..40).contains(&trials), "{trials} of 300");
    respond(&mut other, Time(11_600), name, 100);
    let news: Vec<_> =
        other.news(Time(11_610), 16).into_iter().map(|(n, f)| (n.clone(), f)).collect();
    assert!(balancer.apply_news(Time(11_610), name, &news[0].1));
    assert!(choices(&mut other, Time(11_700), false)[0] > 60);
}

/// One long call looks like a silent server to its host. A host with a response since then refutes it.
#[test]
fn a_report_of_silence_is_refuted_by_a_response_since() {
    let mut balancer = experienced(Time(10_000), 20);
    let silent = ServerFacts { born: 1, silent_since: Some(Time(9_900)), ..ServerFacts::default() };
    let name = &names()[0];
    assert!(balancer.apply_news(Time(10_210), name, &silent), "others hear of the response");
    assert!(choices(&mut balancer, Time(10_210), false)[0] > 60);
    let refutation = balancer.news(Time(10_220), 16)[0].1;
    let mut other = experienced(Time(9_800), 20);
    other.apply_news(Time(10_210), name, &silent);
    assert_eq!(choices(&mut other, Time(10_210), false)[0], 0);
    assert!(other.apply_news(Time(10_230), name, &refutation));
    assert!(choices(&mut other, Time(10_230), false)[0] > 60);
}

/// The best server ends with calls outstanding, and is back cold under its name.
#[test]
fn a_server_that_ended_with_calls_outstanding_starts_with_one_call_at_a_time() {
    let mut balancer = experienced(Time(10_000), 20);
    let names = names();
    for name in &names[1..] {
        balancer.record_load(Time(10_005), name, load(250));
    }
    assert!(choices(&mut balancer, Time(10_010), false)[0] > 290, "it is the best one");
    for sent_at in [10_010, 10_020, 10_030] {
        balancer.started(Time(sent_at), &names[0]);
    }
    for sent_at in [10_010, 10_020, 10_030] {
        balancer.ended(Time(10_040), &names[0], Time(sent_at), Some(Outcome::NoResponse));
    }
    assert!(choices(&mut balancer, Time(10_050), false)[0] < 15, "it has ended");

    let back = |name| Candidate { born: 2, ..candidate(name) };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut choose_of_two = |balancer: &mut Balancer| -> usize {
        let pair = || [back(&names[0]), candidate(&names[1])];
        let choices =
            (0..300).filter_map(|_| balancer.choose(Time(11_000), pair(), false, &mut rng));
        choices.filter(|choice| choice.name == &names[0]).count()
    };
    assert!(choose_of_two(&mut balancer) > 60, "its failures are forgotten");
    balancer.started(Time(11_000), &names[0]);
    assert!(choose_of_two(&mut balancer) < 10, "a second call waits for the first response");
}

/// Errors that belong to the request: no server is avoided for what fails at two of them.
#[test]
fn errors_of_a_request_do_not_count_against_servers() {
    let mut balancer = experienced(Time(10_000), 20);
    let names = names();
    for name in names[..2].iter().cycle().take(12) {
        balancer.started(Time(10_000), name);
        balancer.ended(Time(10_030), name, Time(10_000), Some(Outcome::Error));
    }
    assert!(choices(&mut balancer, Time(10_040), false)[0] < 30);
    (0..6).for_each(|_| balancer.failed_at_both(Time(10_040), [&names[0], &names[1]]));
    assert!(choices(&mut balancer, Time(10_040), false)[0] > 60);
}

/// A short retry budget, and a host most of whose errors belong to the request: repeats after no
/// response still find a retry when those after an error do not.
#[test]
fn a_short_budget_goes_to_the_repeats_that_help() {
    let limits = SharedRetryLimits { ratio: 0.2, slack: 0.0, window: Millis(10_000) };
    let mut budget = SharedRetryBudget::new(limits, Time(0));
    let mut uses = RepeatUses::default();
    for _ in 0..100 {
        uses.record(RepeatCause::Error, false);
        uses.record(RepeatCause::NoResponse, true);
    }
    for n in 0..100 {
        budget.record_request(Time(15_000 + n));
    }
    let mut spend = |cause| {
        let reserve = uses.reserve(cause);
        (0..100).filter(|_| budget.try_spend_with_reserve(Time(20_200), 1, reserve)).count()
    };
    // 16 retries are allowed in all, as far as the estimates are certain.
    assert_eq!([spend(RepeatCause::Error), spend(RepeatCause::NoResponse)], [8, 7]);
}

/// A late call is repeated after some deviations beyond the mean; without figures only if asked for.
#[test]
fn models_are_used_where_servers_report_or_a_setting_asks() {
    let names = names();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut late_after = |balancer: &mut Balancer| -> Option<Millis> {
        let choice: Choice<'_> =
            balancer.choose(Time(10_000), names.iter().map(candidate), true, &mut rng)?;
        choice.late_after
    };
    assert_eq!(late_after(&mut Balancer::new()), None);
    assert_eq!(late_after(&mut experienced(Time(10_000), 3).with_model_use(ModelUse::Never)), None);
    assert_eq!(late_after(&mut Balancer::new().with_model_use(ModelUse::Always)), Some(Millis(90)));
    let learned = late_after(&mut experienced(Time(10_000), 40)).expect("servers report");
    assert!(learned < Millis(40), "all calls take {WORK}: {learned}");
}
