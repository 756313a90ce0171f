//! Runs one attempt at the backend server and writes its answer into the attempt's log.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::StreamExt;
use jj_backend::call::{BackendAnswer, BackendClient, CallError};
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
    keys::KeyGuard,
    lifecycle::Lifecycle,
    permit::{Control, Notes, Permit, Request},
    repeats::Repeats,
};

/// Time to come back when this agent takes no new work, or its server can't be reached.
const ELSEWHERE: Duration = Duration::from_millis(200);

/// Longest wait for the release of a held request, which has a place at the gate meanwhile.
const RELEASE_WAIT: Duration = Duration::from_secs(1);

/// Most repetitions of one call.
const MAX_REPEATS: u32 = 3;

/// Further wait for the answer to a lost call that may not be repeated.
const LOST_SILENCE: Duration = Duration::from_secs(2);

/// What running an attempt needs.
#[derive(Clone)]
pub struct Context {
    /// The backend server.
    pub backend: BackendClient,
    /// The gate.
    pub control: Control,
    /// Whether new work may start.
    pub lifecycle: Arc<Lifecycle>,
    /// Bounds the calls that are made a second time here.
    pub repeats: Arc<Repeats>,
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
    finish: CompletionStatus,
}

impl Ended {
    fn not_run(reason: impl Into<String>) -> Self {
        let retry_after = ELSEWHERE;
        Self {
            verdict: Verdict::NotRun { retry_after },
            reason: reason.into(),
            account_only: false,
            finish: CompletionStatus::Unsent,
        }
    }

    fn may_have_run(reason: impl Into<String>, finish: CompletionStatus) -> Self {
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
    context.repeats.take_in(context.clock.now());
    let permit = match head.idempotent {
        true => admit(context, attempt, &head, due, CancellationToken::new()).await?,
        false => admit_held(context, attempt, &head, due).await?,
    };
    check_start(context, attempt, guard.as_ref(), due)?;
    let started = Started {
        context,
        attempt,
        head: &head,
        body,
        due,
    };
    let mut result = started.follow(permit).await;
    for _ in 0..MAX_REPEATS {
        match &result {
            Err(ended) if started.may_repeat(ended) => {
                result = started.repeat(&ended.reason).await;
            }
            _ => break,
        }
    }
    if result.is_err() && head.call.stream {
        let (backend, request) = (context.backend.clone(), head.id.request.clone());
        tokio::spawn(async move { backend.cancel(&request).await });
    }
    settle_key(guard, result.as_ref().err());
    result
}

/// An attempt that may be at the backend server.
struct Started<'a> {
    context: &'a Context,
    attempt: &'a Attempt,
    head: &'a AttemptHead,
    body: Bytes,
    due: Timestamp,
}

impl Started<'_> {
    /// Calls the backend server and follows the answer to its end.
    async fn follow(&self, mut permit: Permit) -> Result<(), Ended> {
        permit.note(CompletionStatus::Abandoned);
        let (notes, lost) = (permit.notes(), permit.lost());
        let mut permit = Some(permit);
        let call = drive(
            self.context,
            self.attempt,
            self.head,
            self.body.clone(),
            notes,
        );
        tokio::pin!(call);
        let left = self.due.saturating_sub(self.context.clock.now());
        let deadline = tokio::time::sleep(left);
        tokio::pin!(deadline);
        let silence = tokio::time::sleep(left);
        tokio::pin!(silence);
        let result = loop {
            tokio::select! {
                result = &mut call => break result,
                // Once started, a request that may not be repeated goes on: its answer may be
                // asked for.
                () = self.attempt.token.cancelled(), if self.head.idempotent => {
                    break Err(Ended::may_have_run("cancelled", CompletionStatus::Abandoned));
                }
                () = &mut deadline => {
                    break Err(Ended::may_have_run("deadline passed", CompletionStatus::Abandoned));
                }
                () = lost.cancelled(), if permit.is_some() => {
                    self.context.backend.renew();
                    if self.head.idempotent {
                        break Err(lost_call());
                    }
                    // Its place goes to others, and its answer may still come.
                    end(&mut permit, CompletionStatus::Lost);
                    silence.as_mut().reset(Instant::now() + LOST_SILENCE);
                }
                () = &mut silence, if permit.is_none() => break Err(lost_call()),
            }
        };
        let finish = match &result {
            Ok(finish) => *finish,
            Err(ended) => ended.finish,
        };
        end(&mut permit, finish);
        result.map(|_| ())
    }

    /// True when nothing of an answer has come and a second call does no harm: the server does not
    /// work on the first one, or its connection broke and the budget allows it.
    fn may_repeat(&self, ended: &Ended) -> bool {
        if !self.head.idempotent || self.head.call.stream || self.attempt.size() > 0 {
            return false;
        }
        match ended.finish {
            CompletionStatus::Lost => true,
            CompletionStatus::Reset => {
                let now = self.context.clock.now();
                self.context.repeats.allows(now, self.due)
            }
            _ => false,
        }
    }

    /// Calls once more, over a new connection.
    async fn repeat(&self, reason: &str) -> Result<(), Ended> {
        let request = &self.head.id.request;
        log_event!(events::CALL_REPEATED, "request {request}: {reason}");
        let again = self.admit_again().await;
        // The first call may have run.
        let permit =
            again.map_err(|ended| Ended::may_have_run(ended.reason, CompletionStatus::Lost))?;
        self.follow(permit).await
    }

    async fn admit_again(&self) -> Result<Permit, Ended> {
        let queued = CancellationToken::new();
        let admitted = admit(self.context, self.attempt, self.head, self.due, queued);
        let permit = admitted.await?;
        let now = self.context.clock.now();
        if now >= self.due {
            return Err(Ended::not_run("deadline passed before the start"));
        }
        match self.context.lifecycle.refusal(now) {
            Some(reason) => Err(Ended::not_run(reason)),
            None => Ok(permit),
        }
    }
}

/// Gives a place at the backend server back.
fn end(permit: &mut Option<Permit>, finish: CompletionStatus) {
    if let Some(mut permit) = permit.take() {
        permit.note(finish);
    }
}

fn lost_call() -> Ended {
    Ended::may_have_run(
        "the connection to the backend server is silent",
        CompletionStatus::Lost,
    )
}

async fn admit(
    context: &Context,
    attempt: &Attempt,
    head: &AttemptHead,
    due: Timestamp,
    queued: CancellationToken,
) -> Result<Permit, Ended> {
    let left = due.saturating_sub(context.clock.now());
    let request = Request {
        account: head.account.clone(),
        weight: head.weight,
        tokens: head.tokens,
        due,
        queued,
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

/// Admits a request that may not be repeated. While it waits, its entry holds the word to start: if
/// this agent vanishes meanwhile, the entry knows that the request never ran.
async fn admit_held(
    context: &Context,
    attempt: &Attempt,
    head: &AttemptHead,
    due: Timestamp,
) -> Result<Permit, Ended> {
    let queued = CancellationToken::new();
    let admitted = admit(context, attempt, head, due, queued.clone());
    tokio::pin!(admitted);
    tokio::select! {
        at_once = &mut admitted => return at_once,
        () = queued.cancelled() => attempt.hold(&head.id),
    }
    let permit = admitted.await?;
    attempt.ask_release();
    tokio::select! {
        () = attempt.released.cancelled() => Ok(permit),
        () = attempt.token.cancelled() => Err(Ended::not_run("cancelled before its release")),
        () = tokio::time::sleep(RELEASE_WAIT) => Err(Ended::not_run("its entry did not release it")),
    }
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
    notes: Notes,
) -> Result<CompletionStatus, Ended> {
    let answer = context.backend.call(head, body).await.map_err(call_ended)?;
    let BackendAnswer { head, mut parts } = answer;
    let finish = match head.status {
        ..500 => CompletionStatus::Ok,
        _ => CompletionStatus::Failed,
    };
    if finish == CompletionStatus::Ok {
        notes.answered();
    }
    let too_large = |error: crate::attempt::AnswerTooLarge| Ended {
        verdict: Verdict::Ran,
        reason: error.to_string(),
        account_only: false,
        finish: CompletionStatus::Abandoned,
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
            finish: CompletionStatus::Unreachable,
            ..Ended::not_run(reason)
        },
        CallError::Malformed(_) => Ended::not_run(reason),
        CallError::Lost(_) | CallError::Truncated(_) => {
            Ended::may_have_run(reason, CompletionStatus::Reset)
        }
    }
}
