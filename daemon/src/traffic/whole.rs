//! Delivers a generation as a single response. The caller receives nothing before the answer is
//! complete, so failed attempts can be retried until then.

use super::attempt::Attempt;
use super::job::Job;
use super::run::{Output, RunFailure};
use crate::shared::Shared;
use hyper::{Response, StatusCode};
use magnoliawinch::decision::Decision;
use magnoliawinch::verdict::Verdict;
use magnoliawinch_caller::{Code, ErrorBody, WholeAnswer};
use magnoliawinch_http::{Body, json_response};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Runs the job to completion and responds with the complete answer.
pub(super) async fn respond(shared: &Arc<Shared>, job: &Job) -> Result<Response<Body>, ErrorBody> {
    let remaining = Duration::from(job.deadline.since(shared.clock.now()));
    let deadline = Instant::now() + remaining;
    let mut attempt = Attempt::start(shared, job).await?;
    loop {
        let collected = timeout_at(deadline, collect(&mut attempt)).await;
        match collected {
            Ok(Ok(answer)) => {
                attempt.report_completed(shared, job).await;
                let result = answer.tokens;
                job.log(shared, Decision::Ended { result, verdict: Verdict::Ran });
                return Ok(json_response(StatusCode::OK, &answer));
            }
            Ok(Err(failure)) => attempt = attempt.retry(shared, job, failure).await?,
            Err(_) => {
                attempt.run.cancel().await;
                let message = "the deadline passed before the answer was complete";
                let error = ErrorBody::new(Code::DeadlineExceeded, message);
                return Err(job.refuse(shared, error.with_verdict(Verdict::Ran)));
            }
        }
    }
}

async fn collect(attempt: &mut Attempt) -> Result<WholeAnswer, RunFailure> {
    let generation = attempt.run.id.to_string();
    let mut text = String::new();
    let mut output = std::mem::replace(&mut attempt.first_output, Output::Complete(0));
    loop {
        match output {
            Output::Token { text: token, .. } => text.push_str(&token),
            Output::Complete(tokens) => {
                return Ok(WholeAnswer { generation, tokens, text });
            }
        }
        output = attempt.run.next().await?;
    }
}
