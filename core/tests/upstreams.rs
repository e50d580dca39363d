//! Outdated reports do not bring a leaving upstream back; only a new incarnation does.

use magnoliawinch::names::UpstreamName;
use magnoliawinch::time::Time;
use magnoliawinch::upstreams::{HostNotice, LeavingNotice, UpstreamHealth};
use magnoliawinch_schedules::{check, check_detects};
use quickcheck::{Arbitrary, Gen};
use std::net::{IpAddr, Ipv4Addr};

const IP: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 2, 1));

/// Reports and notices arrive in any order and may be outdated.
#[derive(Clone, Copy, Debug)]
enum Step {
    Report { incarnation: u64, draining: bool },
    Notice { incarnation: u64 },
    Refusal,
    Listed { incarnation: u64, leaving: bool },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let incarnation = u64::arbitrary(g) % 3 + 1;
        match u8::arbitrary(g) % 6 {
            0..=2 => Self::Report { incarnation, draining: bool::arbitrary(g) },
            3 => Self::Notice { incarnation },
            4 => Self::Refusal,
            _ => Self::Listed { incarnation, leaving: bool::arbitrary(g) },
        }
    }
}

/// Fault that the checks must detect, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Correct,
    /// Even an outdated report without draining brings a leaving upstream back.
    TrustsLastReport,
}

fn run(variant: Variant, steps: &[Step]) -> Result<(), String> {
    let name = UpstreamName::new("engine-1");
    let mut upstreams = UpstreamHealth::new();
    let mut newest = 0;
    let mut leaving_incarnations = [false; 4];
    let (mut listed_newest, mut listed_leaving) = (0, false);
    for step in steps {
        match *step {
            Step::Report { incarnation, draining } => {
                if variant == Variant::TrustsLastReport && incarnation <= newest && !draining {
                    upstreams = UpstreamHealth::new();
                }
                upstreams.record_report(&name, incarnation, draining);
                if draining || incarnation > newest {
                    leaving_incarnations[incarnation as usize] |= draining;
                }
                newest = newest.max(incarnation);
            }
            Step::Notice { incarnation } => {
                upstreams.mark_leaving(&LeavingNotice { upstream: name.clone(), incarnation });
                leaving_incarnations[incarnation as usize] = true;
                newest = newest.max(incarnation);
            }
            Step::Refusal => {
                upstreams.mark_current_incarnation_leaving(&name);
                leaving_incarnations[newest as usize] = true;
            }
            Step::Listed { incarnation, leaving } => {
                upstreams.record_host_notice(HostNotice { ip: IP, incarnation, leaving });
                if incarnation > listed_newest || (incarnation == listed_newest && leaving) {
                    listed_leaving = leaving;
                    listed_newest = incarnation;
                }
            }
        }
        let is_leaving = leaving_incarnations[newest as usize] || listed_leaving;
        let usable = upstreams.is_usable(Time(0), name.as_str(), IP);
        if is_leaving && usable {
            return Err(format!("incarnation {newest} is leaving but usable"));
        }
        if !is_leaving && !usable {
            return Err(format!("incarnation {newest} is not leaving but not usable"));
        }
    }
    Ok(())
}

#[test]
fn leaving_is_sticky_for_each_incarnation() {
    check(|steps: &[Step]| run(Variant::Correct, steps));
}

#[test]
fn an_outdated_report_that_brings_an_upstream_back_is_detected() {
    check_detects(|steps: &[Step]| run(Variant::TrustsLastReport, steps));
}
