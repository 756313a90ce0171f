//! Runs one attempt at the backend server and writes the response into the attempt's log.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::StreamExt;
use jj_backend::call::{BackendClient, BackendResponse, CallError};
use jj_peer::{attempt::AttemptHead, frames::Failure};
use jj_policy::{admission::CompletionStatus, verdict::Verdict};
use jj_utils::{
    clock::{SharedClock, Timestamp},
    events, log_event,
};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::{
    attempt::Attempt,
    call_retries::CallRetryBudget,
    keys::KeyGuard,
    lifecycle::Lifecycle,
    permit::{Control, FirstByteReporter, Permit, PermitRequest},
};

/// Retry delay sent when this agent accepts no new work, or its server can't be reached.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Timeout for the release of a held request, which occupies an admission slot meanwhile.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of retries of one call.
const MAX_CALL_RETRIES: u32 = 3;

/// Further wait for the response to a lost call that may not be retried.
const LOST_CALL_GRACE: Duration = Duration::from_secs(2);

/// Dependencies for running an attempt.
#[derive(Clone)]
pub struct RunnerContext {
    /// The backend server.
    pub backend: BackendClient,
    /// Admission control.
    pub control: Control,
    /// Whether new work may start.
    pub lifecycle: Arc<Lifecycle>,
    /// Limits the retries of calls to the backend server.
    pub call_retries: Arc<CallRetryBudget>,
    /// Clock.
    pub clock: SharedClock,
}

/// An attempt to run.
pub struct Work {
    /// Everything but the body.
    pub head: AttemptHead,
    /// The body.
    pub body: Bytes,
    /// Reserves its idempotency key, if it has one.
    pub guard: Option<KeyGuard>,
}

/// Why an attempt ended without a complete response.
struct RunError {
    verdict: Verdict,
    reason: String,
    account_only: bool,
    status: CompletionStatus,
}

impl RunError {
    fn not_run(reason: impl Into<String>) -> Self {
        let retry_after = RETRY_AFTER;
        Self {
            verdict: Verdict::NotRun { retry_after },
            reason: reason.into(),
            account_only: false,
            status: CompletionStatus::Unsent,
        }
    }

    fn may_have_run(reason: impl Into<String>, status: CompletionStatus) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason: reason.into(),
            account_only: false,
            status,
        }
    }
}

impl From<RunError> for Failure {
    fn from(error: RunError) -> Self {
        Self {
            account_only: error.account_only,
            ..Self::new(error.verdict, error.reason)
        }
    }
}

/// Runs the attempt to its end and records the result in its log.
pub async fn run(context: RunnerContext, attempt: Arc<Attempt>, work: Work) {
    match admit_and_run(&context, &attempt, work).await {
        Ok(()) => attempt.finish(),
        Err(error) => attempt.fail_with(error.into()),
    }
}

async fn admit_and_run(
    context: &RunnerContext,
    attempt: &Attempt,
    work: Work,
) -> Result<(), RunError> {
    let Work { head, body, guard } = work;
    let due = head.sent + head.deadline;
    context.call_retries.record_request(context.clock.now());
    let permit = match head.idempotent {
        true => admit(context, attempt, &head, due, CancellationToken::new()).await?,
        false => admit_with_release(context, attempt, &head, due).await?,
    };
    check_before_start(context, attempt, guard.as_ref(), due)?;
    let started = StartedAttempt {
        context,
        attempt,
        head: &head,
        body,
        due,
    };
    let mut result = started.call_backend(permit).await;
    for _ in 0..MAX_CALL_RETRIES {
        match &result {
            Err(error) if started.may_retry(error) => {
                result = started.retry(&error.reason).await;
            }
            _ => break,
        }
    }
    if result.is_err() && head.call.stream {
        let (backend, request) = (context.backend.clone(), head.id.request.clone());
        tokio::spawn(async move { backend.cancel(&request).await });
    }
    record_key_outcome(guard, result.as_ref().err());
    result
}

/// An attempt that has passed the checks before its call to the backend server.
struct StartedAttempt<'a> {
    context: &'a RunnerContext,
    attempt: &'a Attempt,
    head: &'a AttemptHead,
    body: Bytes,
    due: Timestamp,
}

impl StartedAttempt<'_> {
    /// Calls the backend server and writes the response to the log until it ends, the deadline
    /// passes, the attempt is cancelled or the call is lost.
    async fn call_backend(&self, mut permit: Permit) -> Result<(), RunError> {
        permit.set_status(CompletionStatus::Abandoned);
        let (first_byte, lost_call) = (permit.first_byte_reporter(), permit.lost_call());
        let mut permit = Some(permit);
        let call = forward_response(
            self.context,
            self.attempt,
            self.head,
            self.body.clone(),
            first_byte,
        );
        tokio::pin!(call);
        let left = self.due.saturating_sub(self.context.clock.now());
        let deadline = tokio::time::sleep(left);
        tokio::pin!(deadline);
        let lost_grace = tokio::time::sleep(left);
        tokio::pin!(lost_grace);
        let result = loop {
            tokio::select! {
                result = &mut call => break result,
                // Once started, a non-idempotent request continues: its response may still be
                // queried.
                () = self.attempt.token.cancelled(), if self.head.idempotent => {
                    break Err(RunError::may_have_run("cancelled", CompletionStatus::Abandoned));
                }
                () = &mut deadline => {
                    break Err(RunError::may_have_run(
                        "deadline passed",
                        CompletionStatus::Abandoned,
                    ));
                }
                () = lost_call.cancelled(), if permit.is_some() => {
                    self.context.backend.replace_connections();
                    if self.head.idempotent {
                        break Err(lost_call_error());
                    }
                    // Its slot is released for other requests; its response may still arrive.
                    release_permit(&mut permit, CompletionStatus::Lost);
                    lost_grace.as_mut().reset(Instant::now() + LOST_CALL_GRACE);
                }
                () = &mut lost_grace, if permit.is_none() => break Err(lost_call_error()),
            }
        };
        let status = match &result {
            Ok(status) => *status,
            Err(error) => error.status,
        };
        release_permit(&mut permit, status);
        result.map(|_| ())
    }

    /// Returns true when no part of a response has arrived and a retry does no harm: the server is
    /// not working on the call, or its connection was reset and the budget allows a retry.
    fn may_retry(&self, error: &RunError) -> bool {
        if !self.head.idempotent || self.head.call.stream || self.attempt.response_bytes() > 0 {
            return false;
        }
        match error.status {
            CompletionStatus::Lost => true,
            CompletionStatus::Reset => {
                let now = self.context.clock.now();
                self.context.call_retries.try_retry(now, self.due)
            }
            _ => false,
        }
    }

    /// Calls the backend server again over a new connection, after a new admission.
    async fn retry(&self, reason: &str) -> Result<(), RunError> {
        let request = &self.head.id.request;
        log_event!(events::CALL_REPEATED, "request {request}: {reason}");
        let readmitted = self.readmit().await;
        // The first call may have run, so a refused retry is not reported as not run.
        let permit = readmitted
            .map_err(|error| RunError::may_have_run(error.reason, CompletionStatus::Lost))?;
        self.call_backend(permit).await
    }

    async fn readmit(&self) -> Result<Permit, RunError> {
        let queued = CancellationToken::new();
        let admitted = admit(self.context, self.attempt, self.head, self.due, queued);
        let permit = admitted.await?;
        let now = self.context.clock.now();
        if now >= self.due {
            return Err(RunError::not_run("deadline passed before the start"));
        }
        match self.context.lifecycle.refusal_reason(now) {
            Some(reason) => Err(RunError::not_run(reason)),
            None => Ok(permit),
        }
    }
}

/// Sets the status of the permit and drops it, unless it was dropped before.
fn release_permit(permit: &mut Option<Permit>, status: CompletionStatus) {
    if let Some(mut permit) = permit.take() {
        permit.set_status(status);
    }
}

fn lost_call_error() -> RunError {
    RunError::may_have_run(
        "the backend server is not working on the call and has sent no response",
        CompletionStatus::Lost,
    )
}

/// Requests an admission slot, until the attempt is cancelled or its deadline passes.
async fn admit(
    context: &RunnerContext,
    attempt: &Attempt,
    head: &AttemptHead,
    due: Timestamp,
    queued: CancellationToken,
) -> Result<Permit, RunError> {
    let left = due.saturating_sub(context.clock.now());
    let request = PermitRequest {
        account: head.account.clone(),
        weight: head.weight,
        tokens: head.tokens,
        due,
        queued,
    };
    let admitted = tokio::select! {
        admitted = context.control.admit(request) => admitted,
        () = attempt.token.cancelled() => return Err(RunError::not_run("cancelled while waiting")),
        () = tokio::time::sleep(left) => return Err(RunError::not_run(
            "no admission slot before the deadline",
        )),
    };
    admitted.map_err(|refused| RunError {
        verdict: refused.verdict,
        account_only: refused.account_only,
        ..RunError::not_run(refused.reason)
    })
}

/// Admits a non-idempotent request. If it is queued, it starts only after its entry has released
/// it: if this agent fails while the request waits, the entry knows that it never ran.
async fn admit_with_release(
    context: &RunnerContext,
    attempt: &Attempt,
    head: &AttemptHead,
    due: Timestamp,
) -> Result<Permit, RunError> {
    let queued = CancellationToken::new();
    let admitted = admit(context, attempt, head, due, queued.clone());
    tokio::pin!(admitted);
    tokio::select! {
        result = &mut admitted => return result,
        () = queued.cancelled() => attempt.notify_held(&head.id),
    }
    let permit = admitted.await?;
    attempt.request_release();
    tokio::select! {
        () = attempt.released.cancelled() => Ok(permit),
        () = attempt.token.cancelled() => Err(RunError::not_run("cancelled before its release")),
        () = tokio::time::sleep(RELEASE_TIMEOUT) => Err(RunError::not_run(
            "the entry did not release the held request in time",
        )),
    }
}

/// Checks directly before the first byte is sent that the attempt may still start: the process may
/// have been suspended since the attempt was admitted.
fn check_before_start(
    context: &RunnerContext,
    attempt: &Attempt,
    guard: Option<&KeyGuard>,
    due: Timestamp,
) -> Result<(), RunError> {
    if context.clock.now() >= due {
        return Err(RunError::not_run("deadline passed before the start"));
    }
    if let Some(reason) = context.lifecycle.refusal_reason(context.clock.now()) {
        return Err(RunError::not_run(reason));
    }
    if !attempt.start() {
        return Err(RunError::not_run("cancelled before the start"));
    }
    if guard.is_some_and(|guard| !guard.start()) {
        return Err(RunError::not_run("the idempotency key is fenced"));
    }
    Ok(())
}

/// Records the outcome of the key; dropping the guard records a lost response.
fn record_key_outcome(guard: Option<KeyGuard>, error: Option<&RunError>) {
    let Some(guard) = guard else {
        return;
    };
    match error.map(|error| error.verdict) {
        None => guard.finish(),
        Some(Verdict::NotRun { .. }) => guard.release_unsent(),
        Some(_) => drop(guard),
    }
}

/// Calls the backend server and appends the parts of its response to the log of the attempt.
async fn forward_response(
    context: &RunnerContext,
    attempt: &Attempt,
    head: &AttemptHead,
    body: Bytes,
    first_byte: FirstByteReporter,
) -> Result<CompletionStatus, RunError> {
    let answer = context
        .backend
        .call(head, body)
        .await
        .map_err(from_call_error)?;
    let BackendResponse { head, mut body } = answer;
    let status = match head.status {
        ..500 => CompletionStatus::Ok,
        _ => CompletionStatus::Failed,
    };
    if status == CompletionStatus::Ok {
        first_byte.report_first_byte();
    }
    let too_large = |error: crate::attempt::ResponseTooLarge| RunError {
        verdict: Verdict::Ran,
        reason: error.to_string(),
        account_only: false,
        status: CompletionStatus::Abandoned,
    };
    attempt.push_head(head).map_err(too_large)?;
    while let Some(part) = body.next().await {
        let part = part.map_err(from_call_error)?;
        attempt.push_data(&part).map_err(too_large)?;
    }
    Ok(status)
}

/// Converts the failure of a call; only failures before the first byte was sent mean "not run".
fn from_call_error(error: CallError) -> RunError {
    let reason = error.to_string();
    match error {
        CallError::Unreachable(_) => RunError {
            status: CompletionStatus::Unreachable,
            ..RunError::not_run(reason)
        },
        CallError::Malformed(_) => RunError::not_run(reason),
        CallError::Lost(_) | CallError::Truncated(_) => {
            RunError::may_have_run(reason, CompletionStatus::Reset)
        }
    }
}
