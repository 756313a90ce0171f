//! Runs one attempt at the backend server and writes its answer into the attempt's log.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::StreamExt;
use jj_backend::call::{BackendAnswer, BackendClient, CallError};
use jj_peer::{attempt::AttemptHead, frames::Failure};
use jj_policy::{admission::Finish, verdict::Verdict};
use jj_utils::clock::{SharedClock, Timestamp};

use crate::{
    attempt::Attempt,
    control::{Control, Permit, Request},
    keys::KeyGuard,
    lifecycle::Lifecycle,
};

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

/// An attempt that is new here.
pub struct Work {
    /// Everything but the body.
    pub head: AttemptHead,
    /// The body.
    pub body: Bytes,
    /// Holds its idempotency key, if it has one.
    pub guard: Option<KeyGuard>,
}

/// An attempt that ended without a whole answer.
struct Ended {
    verdict: Verdict,
    reason: String,
    account_only: bool,
    finish: Finish,
}

impl Ended {
    fn not_run(reason: impl Into<String>) -> Self {
        let retry_after = ELSEWHERE;
        Self {
            verdict: Verdict::NotRun { retry_after },
            reason: reason.into(),
            account_only: false,
            finish: Finish::Unsent,
        }
    }

    fn may_have_run(reason: impl Into<String>, finish: Finish) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason: reason.into(),
            account_only: false,
            finish,
        }
    }
}

impl From<Ended> for Failure {
    fn from(ended: Ended) -> Self {
        Self {
            account_only: ended.account_only,
            ..Self::new(ended.verdict, ended.reason)
        }
    }
}

/// Runs the attempt to its end.
pub async fn run(context: Context, attempt: Arc<Attempt>, work: Work) {
    match admit_and_drive(&context, &attempt, work).await {
        Ok(()) => attempt.finish(),
        Err(ended) => attempt.fail_with(ended.into()),
    }
}

async fn admit_and_drive(context: &Context, attempt: &Attempt, work: Work) -> Result<(), Ended> {
    let Work { head, body, guard } = work;
    let due = head.sent + head.deadline;
    let mut permit = admit(context, attempt, &head, due).await?;
    check_start(context, attempt, guard.as_ref(), due)?;
    permit.note(Finish::Abandoned);
    let begun = context.clock.now();
    let result = tokio::select! {
        result = drive(context, attempt, &head, body, &permit) => result,
        // Once started, a request that may not be repeated goes on: its answer may be asked for.
        () = attempt.token.cancelled(), if head.idempotent => {
            Err(Ended::may_have_run("cancelled", Finish::Abandoned))
        }
        () = tokio::time::sleep(due.saturating_sub(begun)) => {
            Err(Ended::may_have_run("deadline passed", Finish::Abandoned))
        }
    };
    permit.note(match &result {
        Ok(finish) => *finish,
        Err(ended) => ended.finish,
    });
    if result.is_err() && head.call.stream {
        let (backend, request) = (context.backend.clone(), head.id.request.clone());
        tokio::spawn(async move { backend.cancel(&request).await });
    }
    settle_key(guard, result.as_ref().err());
    result.map(|_| ())
}

async fn admit(
    context: &Context,
    attempt: &Attempt,
    head: &AttemptHead,
    due: Timestamp,
) -> Result<Permit, Ended> {
    let left = due.saturating_sub(context.clock.now());
    let request = Request {
        account: head.account.clone(),
        weight: head.weight,
        tokens: head.tokens,
        due,
    };
    let admitted = tokio::select! {
        admitted = context.control.admit(request) => admitted,
        () = attempt.token.cancelled() => return Err(Ended::not_run("cancelled while waiting")),
        () = tokio::time::sleep(left) => return Err(Ended::not_run("no place in time")),
    };
    admitted.map_err(|refused| Ended {
        verdict: refused.verdict,
        account_only: refused.account_only,
        ..Ended::not_run(refused.reason)
    })
}

/// The last look before the first byte: the process may have been stopped since it was admitted.
fn check_start(
    context: &Context,
    attempt: &Attempt,
    guard: Option<&KeyGuard>,
    due: Timestamp,
) -> Result<(), Ended> {
    if context.clock.now() >= due {
        return Err(Ended::not_run("deadline passed before the start"));
    }
    if let Some(reason) = context.lifecycle.refusal(context.clock.now()) {
        return Err(Ended::not_run(reason));
    }
    if !attempt.start() {
        return Err(Ended::not_run("cancelled before the start"));
    }
    if guard.is_some_and(|guard| !guard.start()) {
        return Err(Ended::not_run("idempotency key fenced"));
    }
    Ok(())
}

/// Records what came of the key; dropping the guard otherwise records a lost answer.
fn settle_key(guard: Option<KeyGuard>, failed: Option<&Ended>) {
    let Some(guard) = guard else {
        return;
    };
    match failed.map(|ended| ended.verdict) {
        None => guard.finish(),
        Some(Verdict::NotRun { .. }) => guard.unsend(),
        Some(_) => drop(guard),
    }
}

async fn drive(
    context: &Context,
    attempt: &Attempt,
    head: &AttemptHead,
    body: Bytes,
    permit: &Permit,
) -> Result<Finish, Ended> {
    let answer = context.backend.call(head, body).await.map_err(call_ended)?;
    let BackendAnswer { head, mut parts } = answer;
    let finish = match head.status {
        ..500 => Finish::Ok,
        _ => Finish::Failed,
    };
    if finish == Finish::Ok {
        permit.answered();
    }
    let too_large = |error: crate::attempt::AnswerTooLarge| Ended {
        verdict: Verdict::Ran,
        reason: error.to_string(),
        account_only: false,
        finish: Finish::Abandoned,
    };
    attempt.push_head(head).map_err(too_large)?;
    while let Some(part) = parts.next().await {
        let part = part.map_err(call_ended)?;
        attempt.push_data(&part).map_err(too_large)?;
    }
    Ok(finish)
}

fn call_ended(error: CallError) -> Ended {
    let reason = error.to_string();
    match error {
        CallError::Unreachable(_) => Ended {
            finish: Finish::Unreachable,
            ..Ended::not_run(reason)
        },
        CallError::Malformed(_) => Ended::not_run(reason),
        CallError::Lost(_) | CallError::Truncated(_) => Ended::may_have_run(reason, Finish::Reset),
    }
}
