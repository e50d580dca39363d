//! Streams a generation to its caller as server-sent events.

use super::attempt::Attempt;
use super::job::Job;
use super::run::{Output, Run, RunFailure};
use crate::shared::Shared;
use bytes::Bytes;
use http_body_util::Either;
use http_body_util::channel::{Channel, Sender};
use hyper::Response;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use magnoliawinch::decision::Decision;
use magnoliawinch::verdict::Verdict;
use magnoliawinch_caller::{Code, ErrorBody, GenerationId, sse};
use magnoliawinch_http::{Body, BodyAborted};
use magnoliawinch_runtime::InProgressGuard;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Maximum number of chunks buffered for a slow caller.
const STREAM_BUFFER_CHUNKS: usize = 32;

/// Interval of keep-alive messages on an idle stream.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(1_000);

/// How long a generation runs on after its caller disconnects, so that it can be resumed.
const RESUME_WINDOW: Duration = Duration::from_secs(10);

/// Why a stream ended.
enum StreamEnd {
    Complete,
    Failed(RunFailure),
    CallerDisconnected,
    Deadline,
}

/// The sending side of a stream to a caller.
struct StreamWriter {
    sender: Sender<Bytes, BodyAborted>,
    generation: String,
    deadline: Instant,
    /// A caller that accepts no data for this long counts as disconnected.
    write_timeout: Duration,
}

/// Creates a streaming response and its writer; the stream ends after `timeout`.
fn open_stream(
    shared: &Shared,
    id: &GenerationId,
    timeout: Duration,
) -> (Response<Body>, StreamWriter) {
    let (sender, body) = Channel::new(STREAM_BUFFER_CHUNKS);
    let mut response = Response::new(Either::Right(body));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    let writer = StreamWriter {
        sender,
        generation: id.to_string(),
        deadline: Instant::now() + timeout,
        write_timeout: Duration::from_millis(shared.settings.caller_silence_ms),
    };
    (response, writer)
}

/// Streams an attempt to the caller.
pub(super) fn respond(shared: &Arc<Shared>, job: Job, attempt: Attempt) -> Response<Body> {
    let timeout = Duration::from(job.deadline.since(shared.clock.now()));
    let (response, writer) = open_stream(shared, &attempt.run.id, timeout);
    let service = job.access.service_access.service.spec.name.clone();
    let latency = Duration::from(shared.clock.now().since(job.arrived_at));
    shared.metrics.time("first_token", &service, &job.access.kind_name, latency);
    let in_progress = shared.track_request();
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        stream_attempt(&shared, &job, attempt, writer, in_progress).await;
    });
    response
}

async fn stream_attempt(
    shared: &Arc<Shared>,
    job: &Job,
    mut attempt: Attempt,
    mut writer: StreamWriter,
    in_progress: InProgressGuard,
) {
    let first_output = std::mem::replace(&mut attempt.first_output, Output::Complete(0));
    let end = match writer.send_output(first_output).await {
        Ok(true) => StreamEnd::Complete,
        Ok(false) => writer.forward(&mut attempt.run).await,
        Err(end) => end,
    };
    let result = attempt.run.tokens();
    let verdict = match end {
        StreamEnd::Complete => Verdict::Ran,
        _ => Verdict::MayHaveRun,
    };
    job.log(shared, Decision::Ended { result, verdict });
    if matches!(end, StreamEnd::Complete) {
        attempt.report_completed(shared, job).await;
    }
    if let StreamEnd::Failed(failure) = &end {
        attempt.report_crash(shared, job, failure).await;
    }
    writer.finish(attempt.run, end, in_progress).await;
}

/// Streams a resumed generation for at most `timeout`.
pub(super) fn respond_resumed(shared: &Arc<Shared>, run: Run, timeout: Duration) -> Response<Body> {
    let (response, mut writer) = open_stream(shared, &run.id, timeout);
    let in_progress = shared.track_request();
    tokio::spawn(async move {
        let mut run = run;
        let end = writer.forward(&mut run).await;
        writer.finish(run, end, in_progress).await;
    });
    response
}

impl StreamWriter {
    /// Forwards outputs until the run or the stream ends.
    async fn forward(&mut self, run: &mut Run) -> StreamEnd {
        loop {
            let output = match self.next_output(run).await {
                Ok(output) => output,
                Err(end) => return end,
            };
            match self.send_output(output).await {
                Ok(true) => return StreamEnd::Complete,
                Ok(false) => {}
                Err(end) => return end,
            }
        }
    }

    /// Waits for the next output and sends keep-alive messages meanwhile.
    async fn next_output(&mut self, run: &mut Run) -> Result<Output, StreamEnd> {
        let next = run.next();
        tokio::pin!(next);
        loop {
            let wake_at = self.deadline.min(Instant::now() + KEEP_ALIVE_INTERVAL);
            match timeout_at(wake_at, &mut next).await {
                Ok(Ok(output)) => return Ok(output),
                Ok(Err(failure)) => return Err(StreamEnd::Failed(failure)),
                Err(_) if Instant::now() >= self.deadline => return Err(StreamEnd::Deadline),
                Err(_) => {
                    self.send(Bytes::from_static(sse::KEEP_ALIVE.as_bytes())).await?;
                }
            }
        }
    }

    /// Sends one output; returns whether it was the last.
    async fn send_output(&mut self, output: Output) -> Result<bool, StreamEnd> {
        let mut buf = String::new();
        let is_last = match output {
            Output::Token { index, text } => {
                sse::write_token(&mut buf, &self.generation, index, &text);
                false
            }
            Output::Complete(tokens) => {
                sse::write_end(&mut buf, tokens);
                true
            }
        };
        self.send(Bytes::from(buf)).await?;
        Ok(is_last)
    }

    async fn send(&mut self, chunk: Bytes) -> Result<(), StreamEnd> {
        match timeout(self.write_timeout, self.sender.send_data(chunk)).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(StreamEnd::CallerDisconnected),
        }
    }

    /// Ends the stream, with an error event unless the answer is complete or the caller disconnected.
    async fn finish(mut self, run: Run, end: StreamEnd, in_progress: InProgressGuard) {
        let error = match end {
            StreamEnd::Complete => return,
            StreamEnd::Failed(failure) => {
                let error = ErrorBody::new(Code::Interrupted, failure.reason);
                error.with_verdict(failure.verdict)
            }
            StreamEnd::Deadline => {
                let message = "the deadline passed before the answer was complete";
                run.cancel().await;
                ErrorBody::new(Code::DeadlineExceeded, message).with_verdict(Verdict::Ran)
            }
            StreamEnd::CallerDisconnected => {
                self.sender.abort(BodyAborted);
                // The caller may resume through another daemon, so this request need not delay a
                // shutdown.
                drop(in_progress);
                sleep(RESUME_WINDOW).await;
                drop(run);
                return;
            }
        };
        let mut buf = String::new();
        sse::write_error(&mut buf, &error);
        let _ = self.send(Bytes::from(buf)).await;
    }
}
