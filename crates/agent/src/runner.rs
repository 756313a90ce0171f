//! Runs one attempt at the backend server and writes its answer into the attempt's log.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::StreamExt;
use jj_backend::call::{BackendAnswer, BackendClient, CallError};
use jj_peer::attempt::AttemptHead;
use jj_policy::verdict::Verdict;
use jj_utils::clock::{SharedClock, Timestamp};

use crate::{attempts::Attempt, control::Control, lifecycle::Lifecycle};

/// Time to come back when this agent takes no new work, or its server can't be reached.
const ELSEWHERE: Duration = Duration::from_millis(200);

/// What running an attempt needs.
#[derive(Clone)]
pub struct Context {
    /// The backend server.
    pub backend: BackendClient,
    /// The gate.
    pub control: Control,
    /// Whether new work may start.
    pub lifecycle: Arc<Lifecycle>,
    /// Time.
    pub clock: SharedClock,
}

/// An attempt that ended without a whole answer.
struct Ended {
    verdict: Verdict,
    reason: String,
}

impl Ended {
    fn not_run(reason: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::NotRun {
                retry_after: ELSEWHERE,
            },
            reason: reason.into(),
        }
    }

    fn may_have_run(reason: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason: reason.into(),
        }
    }
}

/// Runs the attempt to its end.
pub async fn run(context: Context, attempt: Arc<Attempt>, head: AttemptHead, body: Bytes) {
    match admit_and_drive(&context, &attempt, &head, body).await {
        Ok(()) => attempt.finish(),
        Err(ended) => attempt.fail(ended.verdict, ended.reason),
    }
}

async fn admit_and_drive(
    context: &Context,
    attempt: &Attempt,
    head: &AttemptHead,
    body: Bytes,
) -> Result<(), Ended> {
    let due = head.sent + head.deadline;
    let left = due.saturating_sub(context.clock.now());
    let admitted = tokio::select! {
        admitted = context.control.admit() => admitted,
        () = attempt.token.cancelled() => return Err(Ended::not_run("cancelled while waiting")),
        () = tokio::time::sleep(left) => return Err(Ended::not_run("no place in time")),
    };
    let mut permit = admitted.map_err(|verdict| Ended {
        verdict,
        reason: "queue full".into(),
    })?;
    check_start(context, attempt, due)?;
    let begun = context.clock.now();
    let result = tokio::select! {
        result = drive(context, attempt, head, body) => result,
        // Once started, a request that may not be repeated goes on: its answer may be asked for.
        () = attempt.token.cancelled(), if head.idempotent => {
            Err(Ended::may_have_run("cancelled"))
        }
        () = tokio::time::sleep(due.saturating_sub(begun)) => {
            Err(Ended::may_have_run("deadline passed"))
        }
    };
    permit.note(result.is_ok(), context.clock.now().saturating_sub(begun));
    result
}

/// The last look before the first byte: the process may have been stopped since it was admitted.
fn check_start(context: &Context, attempt: &Attempt, due: Timestamp) -> Result<(), Ended> {
    if context.clock.now() >= due {
        return Err(Ended::not_run("deadline passed before the start"));
    }
    if let Some(reason) = context.lifecycle.refusal(context.clock.now()) {
        return Err(Ended::not_run(reason));
    }
    if !attempt.start() {
        return Err(Ended::not_run("cancelled before the start"));
    }
    Ok(())
}

async fn drive(
    context: &Context,
    attempt: &Attempt,
    head: &AttemptHead,
    body: Bytes,
) -> Result<(), Ended> {
    let answer = context.backend.call(head, body).await.map_err(call_ended)?;
    let BackendAnswer { head, mut parts } = answer;
    let too_large = |error: crate::attempts::AnswerTooLarge| Ended {
        verdict: Verdict::Ran,
        reason: error.to_string(),
    };
    attempt.push_head(head).map_err(too_large)?;
    while let Some(part) = parts.next().await {
        let part = part.map_err(call_ended)?;
        attempt.push_data(&part).map_err(too_large)?;
    }
    Ok(())
}

fn call_ended(error: CallError) -> Ended {
    match error {
        CallError::Unreachable(_) | CallError::Malformed(_) => Ended::not_run(error.to_string()),
        CallError::Lost(_) | CallError::Truncated(_) => Ended::may_have_run(error.to_string()),
    }
}
