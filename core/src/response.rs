//! What a response of an upstream proves about its request, and whether the caller may get it.
//!
//! Only the upstream's own statement proves that a request has not run. Some statuses promise that to a
//! caller whose request may not run twice, so they do not reach it without that statement.

use crate::route_table::Delivery;
use crate::verdict::Verdict;
use strum::IntoStaticStr;

/// Statuses that promise the caller of a request that is not idempotent that it has not run and never
/// will.
pub const PROMISE_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// What a response says about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ResponseClass {
    /// The upstream served the request.
    Success,
    /// The upstream states that it did not run the request.
    NotRun,
    /// Its status promises that the request has not run, but the upstream does not state it.
    UnprovenRefusal,
    /// The upstream failed; another one may serve the request.
    Failure,
    /// Another upstream would respond alike.
    Rejection,
    /// Its status is not one of a final response: it states nothing.
    Invalid,
}

impl ResponseClass {
    /// The class of a response with this status; `states_not_run` if it has the upstream's statement that
    /// the request did not run.
    pub fn new(status: u16, states_not_run: bool) -> Self {
        match status {
            ..200 | 600.. => Self::Invalid,
            _ if states_not_run => Self::NotRun,
            ..300 => Self::Success,
            status if PROMISE_STATUSES.contains(&status) => Self::UnprovenRefusal,
            500.. => Self::Failure,
            _ => Self::Rejection,
        }
    }

    /// Whether the request has run.
    pub fn verdict(self) -> Verdict {
        match self {
            Self::NotRun => Verdict::NotRun,
            Self::UnprovenRefusal | Self::Invalid => Verdict::MayHaveRun,
            Self::Success | Self::Failure | Self::Rejection => Verdict::Ran,
        }
    }

    /// Whether another upstream may serve a request that may be repeated.
    pub fn is_failure(self) -> bool {
        matches!(self, Self::UnprovenRefusal | Self::Failure | Self::Invalid)
    }

    /// Whether the caller may get the response as it is. A request that did not run gets a response of the
    /// daemon's own.
    pub fn may_be_forwarded(self, delivery: Delivery) -> bool {
        match self {
            Self::NotRun | Self::Invalid => false,
            Self::UnprovenRefusal => delivery == Delivery::Idempotent,
            Self::Success | Self::Failure | Self::Rejection => true,
        }
    }
}
