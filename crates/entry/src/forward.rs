//! Forwards a request in as many attempts as its deadline and the attempts' verdicts allow.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_stream::stream;
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt, stream::BoxStream};
use jj_caller::{
    answer::{Answer, TokenEvent, WholeAnswer},
    problem::Refusal,
    request::{ACCOUNT_HEADER, CallerRequest},
};
use jj_peer::{
    attempt::{AttemptHead, AttemptRef, Call},
    frames::{Failure, Frame, Head, Header},
};
use jj_policy::{
    retry::{Attempts, RetryDecision, RetryFacts},
    verdict::Verdict,
};
use jj_utils::{
    clock::Timestamp,
    events,
    ids::{AttemptId, InstanceId, RequestId},
    log_event,
};
use poem::http::StatusCode;

use crate::{
    choose,
    context::Context,
    link::{self, Target},
    resume::EventId,
    routes::Routed,
    usage::UsageGuard,
    view::{Agent, InFlight},
};

/// Status codes of a backend server after which an idempotent request is retried on another.
const RETRIED_STATUSES: [u16; 3] = [502, 503, 504];

/// Time after the deadline in which the agent's own outcome is still awaited: it is more precise
/// than a timeout.
const OUTCOME_GRACE: Duration = Duration::from_millis(200);

/// Longest time for which one refusal keeps requests from an agent: its retry-after covers a whole
/// queue, and places come free long before that has passed.
const MAX_CLOSED_TIME: Duration = Duration::from_millis(500);

/// Frames of one attempt at one agent.
type Frames = BoxStream<'static, Frame>;

/// A request being forwarded, with the state of its attempts.
pub struct Forward {
    context: Arc<Context>,
    request: CallerRequest,
    routed: Routed,
    /// The only agent that may run the request; set if it has an idempotency key.
    home: Option<Arc<Agent>>,
    id: RequestId,
    deadline: Timestamp,
    next_attempt: AttemptId,
    attempts: Attempts,
    tried: Vec<InstanceId>,
    /// Index of the next token to send to the caller.
    next_token: u64,
}

/// One attempt in progress.
struct ActiveAttempt {
    id: AttemptRef,
    agent: Arc<Agent>,
    frames: Frames,
    _in_flight: InFlight,
}

impl ActiveAttempt {
    /// Takes the frames and leaves an empty stream.
    fn take_frames(&mut self) -> Frames {
        std::mem::replace(&mut self.frames, futures_util::stream::empty().boxed())
    }
}

/// Guard that counts a request as open until dropped.
struct OpenGuard {
    context: Arc<Context>,
    _usage: UsageGuard,
}

impl OpenGuard {
    fn new(context: &Arc<Context>, routed: &Routed) -> Self {
        context.open_requests.fetch_add(1, Ordering::SeqCst);
        let usage = context
            .usage
            .begin_request(&routed.service, &routed.account);
        Self {
            context: Arc::clone(context),
            _usage: usage,
        }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.context.open_requests.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Forward {
    /// Creates the state of a request that has just arrived.
    pub fn new(
        context: Arc<Context>,
        request: CallerRequest,
        routed: Routed,
        home: Option<Arc<Agent>>,
    ) -> Self {
        let id = context.new_request_id();
        let deadline = context.clock.now() + routed.timeout;
        context.record_request();
        Self {
            context,
            request,
            routed,
            home,
            id,
            deadline,
            next_attempt: 0,
            attempts: Attempts::default(),
            tried: Vec::new(),
            next_token: 0,
        }
    }

    /// Returns the answer: a whole body, or a token stream that may end with a refusal.
    ///
    /// # Errors
    /// The refusal, if no part of the answer is available.
    pub async fn run(mut self) -> Result<Answer, Refusal> {
        let guard = OpenGuard::new(&self.context, &self.routed);
        if !self.routed.stream {
            let answer = self.whole_answer().await;
            drop(guard);
            return answer.map(Answer::Whole);
        }
        let seen = self.request.last_event.clone();
        let seen = seen.map(|text| text.parse::<EventId>()).transpose()?;
        let mut running = match seen {
            Some(event) => self.resume_attempt(event)?,
            None => self.start_attempt()?,
        };
        loop {
            match running.frames.next().await {
                Some(Frame::Head(head)) if head.status == StatusCode::OK => {
                    return Ok(Answer::Stream(self.token_stream(running, guard).boxed()));
                }
                Some(Frame::Head(head)) => {
                    return collect_answer(head, running.frames)
                        .await
                        .map(Answer::Whole)
                        .map_err(|f| Refusal::given_up(f.verdict, f.reason));
                }
                // A resumed stream starts with data: the caller already received the head.
                Some(Frame::Data(data)) => {
                    let first = futures_util::stream::iter([Frame::Data(data)]);
                    running.frames = first.chain(running.take_frames()).boxed();
                    return Ok(Answer::Stream(self.token_stream(running, guard).boxed()));
                }
                Some(Frame::End { .. }) => {
                    return Ok(Answer::Stream(futures_util::stream::empty().boxed()));
                }
                Some(Frame::Failed(failure)) => {
                    running = self.retry(&running.agent, failure).await?
                }
                Some(_) => {}
                None => running = self.retry(&running.agent, unfinished()).await?,
            }
        }
    }

    async fn whole_answer(&mut self) -> Result<WholeAnswer, Refusal> {
        let mut running = self.start_attempt()?;
        loop {
            let failure = match running.frames.next().await {
                Some(Frame::Head(head)) => {
                    match collect_answer(head, running.take_frames()).await {
                        Ok(answer) if self.is_worth_retrying(&answer) => {
                            let failure = Failure::new(Verdict::Ran, "the backend server failed");
                            match self.retry(&running.agent, failure).await {
                                Ok(next) => running = next,
                                Err(_) => return Ok(answer),
                            }
                            continue;
                        }
                        Ok(answer) => return Ok(answer),
                        Err(failure) => failure,
                    }
                }
                Some(Frame::Failed(failure)) => failure,
                Some(_) => continue,
                None => unfinished(),
            };
            running = self.retry(&running.agent, failure).await?;
        }
    }

    fn is_worth_retrying(&self, answer: &WholeAnswer) -> bool {
        self.routed.idempotent && RETRIED_STATUSES.contains(&answer.head.status)
    }

    /// Yields the remaining tokens, across as many attempts as needed.
    fn token_stream(
        mut self,
        mut running: ActiveAttempt,
        guard: OpenGuard,
    ) -> impl Stream<Item = Result<TokenEvent, Refusal>> {
        stream! {
            let _guard = guard;
            loop {
                let failure = match running.frames.next().await {
                    Some(Frame::Data(data)) => {
                        self.next_token = data.index + 1;
                        let id = EventId::new(&running.agent.id, &running.id, data.index);
                        yield Ok(TokenEvent { id: id.to_string(), data: data.bytes.into() });
                        continue;
                    }
                    Some(Frame::End { .. }) => {
                        self.record_prefix(&running.agent);
                        return;
                    }
                    Some(Frame::Failed(failure)) => failure,
                    Some(_) => continue,
                    None => unfinished(),
                };
                match self.retry(&running.agent, failure).await {
                    Ok(next) => running = next,
                    Err(refusal) => {
                        yield Err(refusal);
                        return;
                    }
                }
            }
        }
    }

    /// Records that the agent's backend server has cached the prompt's prefix.
    fn record_prefix(&self, agent: &Agent) {
        if let Some(prefix) = self.routed.prefix {
            let now = self.context.clock.now();
            self.context.prefixes.record_answer(&agent.id, prefix, now);
        }
    }

    /// Starts another attempt after a failure, or returns the request's final refusal.
    async fn retry(&mut self, last: &Agent, failure: Failure) -> Result<ActiveAttempt, Refusal> {
        let now = self.context.clock.now();
        let Failure {
            verdict,
            reason,
            account_only,
            never_arrived,
        } = failure;
        if let Verdict::NotRun { retry_after } = verdict
            && !account_only
            && !never_arrived
        {
            last.local
                .record_refusal(now + retry_after.min(MAX_CLOSED_TIME));
        }
        self.attempts.record(&last.id, verdict);
        if never_arrived {
            self.tried.pop();
        }
        let facts = RetryFacts {
            is_idempotent: self.routed.idempotent,
            deadline: self.deadline,
            has_untried_server: self.has_untried_agent(now),
            never_arrived,
        };
        let after = match self.context.decide_retry(&self.attempts, &facts) {
            RetryDecision::Retry { after } => after,
            RetryDecision::GiveUp(verdict) => return Err(self.give_up(verdict, reason)),
        };
        let (request, agent) = (&self.id, &last.id);
        log_event!(
            events::ATTEMPT_RETRIED,
            "request {request} at {agent}: {reason}"
        );
        tokio::time::sleep(after).await;
        self.start_attempt().map_err(|refusal| {
            let verdict = self
                .attempts
                .verdict(self.context.retry.default_retry_after);
            self.give_up(verdict, format!("{reason}; then {}", refusal.detail))
        })
    }

    fn has_untried_agent(&self, now: Timestamp) -> bool {
        if self.home.is_some() {
            return false;
        }
        let view = self.context.view.load();
        view.agents_of(&self.routed.service).any(|agent| {
            agent.effective_state().may_take_work()
                && agent.local.closed_until() <= now
                && !self.tried.contains(&agent.id)
        })
    }

    fn give_up(&self, verdict: Verdict, reason: String) -> Refusal {
        if verdict == Verdict::MayHaveRun {
            log_event!(events::OUTCOME_UNKNOWN, "request {}: {reason}", self.id);
        }
        if self.context.clock.now() >= self.deadline {
            return Refusal::timeout(verdict, reason);
        }
        Refusal::given_up(verdict, reason)
    }

    /// Chooses an agent and starts an attempt at it.
    fn start_attempt(&mut self) -> Result<ActiveAttempt, Refusal> {
        let agent = self.choose_agent()?;
        let head = self.head(&agent);
        let id = head.id.clone();
        let frames = link::run(self.target(&agent), head, self.request.body.clone()).boxed();
        Ok(self.register_attempt(agent, id, frames))
    }

    /// Resumes an attempt that another entry may have started, after the given event.
    fn resume_attempt(&mut self, event: EventId) -> Result<ActiveAttempt, Refusal> {
        self.next_token = event.index + 1;
        let view = self.context.view.load();
        let Some(agent) = view.agent(&event.agent).cloned() else {
            return self.start_attempt();
        };
        self.id = event.id.request.clone();
        self.next_attempt = event.id.attempt;
        let mut head = self.head(&agent);
        head.id = event.id.clone();
        let frames = link::resume(self.target(&agent), head).boxed();
        Ok(self.register_attempt(agent, event.id, frames))
    }

    fn target(&self, agent: &Agent) -> Target {
        Target {
            client: self.context.client.clone(),
            addr: agent.traffic,
            agent: agent.id.clone(),
            prefixes: Arc::clone(&self.context.prefixes),
            local: Arc::clone(&agent.local),
            clock: Arc::clone(&self.context.clock),
        }
    }

    fn register_attempt(
        &mut self,
        agent: Arc<Agent>,
        id: AttemptRef,
        frames: Frames,
    ) -> ActiveAttempt {
        self.next_attempt += 1;
        self.tried.push(agent.id.clone());
        let in_flight = agent.local.begin_request();
        let remaining = self.deadline.saturating_sub(self.context.clock.now());
        ActiveAttempt {
            id,
            agent,
            frames: with_deadline(frames, remaining).boxed(),
            _in_flight: in_flight,
        }
    }

    fn choose_agent(&self) -> Result<Arc<Agent>, Refusal> {
        if let Some(home) = &self.home {
            return Ok(Arc::clone(home));
        }
        choose::choose_agent(&self.context, &self.routed, self.deadline, &self.tried)
    }

    fn head(&self, agent: &Agent) -> AttemptHead {
        let now = self.context.clock.now();
        let id = AttemptRef {
            request: self.id.clone(),
            attempt: self.next_attempt,
            incarnation: agent.incarnation,
        };
        AttemptHead {
            id,
            service: self.routed.service.clone(),
            account: self.routed.account.clone(),
            weight: self.routed.weight,
            sent: agent.clock.lower_bound_at(now),
            deadline: self.deadline.saturating_sub(now),
            idempotent: self.routed.idempotent,
            key: self.request.key.clone(),
            resume: self.next_token,
            priority: self.routed.priority,
            tokens: self.routed.tokens,
            cache_seen: self.context.prefixes.last_seq(&agent.id),
            call: Call {
                method: self.request.method.clone(),
                target: self.request.target(),
                headers: self.headers(),
                stream: self.routed.stream,
            },
        }
    }

    /// Returns the headers for the backend server: with the client account, without the API key
    /// that authenticated it.
    fn headers(&self) -> Vec<Header> {
        let has_key = self.request.token.is_some();
        let is_secret = |header: &Header| has_key && header.name == "authorization";
        let is_passed = |header: &&Header| header.name != ACCOUNT_HEADER && !is_secret(header);
        let mut headers: Vec<Header> = self
            .request
            .headers
            .iter()
            .filter(is_passed)
            .cloned()
            .collect();
        let value = self.routed.account.clone();
        headers.push(Header {
            name: ACCOUNT_HEADER.into(),
            value,
        });
        headers
    }
}

fn unfinished() -> Failure {
    Failure::new(Verdict::MayHaveRun, "the attempt ended without an answer")
}

/// Yields an attempt's frames, and a failure once the deadline has passed: on a silent link
/// neither the agent nor a new connection reports the outcome in time.
fn with_deadline(mut frames: Frames, remaining: Duration) -> impl Stream<Item = Frame> {
    stream! {
        let end = tokio::time::sleep(remaining + OUTCOME_GRACE);
        tokio::pin!(end);
        loop {
            tokio::select! {
                biased;
                frame = frames.next() => match frame {
                    Some(frame) => yield frame,
                    None => return,
                },
                () = &mut end => {
                    let reason = "the deadline passed without an answer from the agent";
                    yield Frame::Failed(Failure::new(Verdict::MayHaveRun, reason));
                    return;
                }
            }
        }
    }
}

/// Reads the remaining frames into a whole answer.
async fn collect_answer(head: Head, mut frames: Frames) -> Result<WholeAnswer, Failure> {
    let mut body = BytesMut::new();
    while let Some(frame) = frames.next().await {
        match frame {
            Frame::Data(data) => body.extend_from_slice(&data.bytes),
            Frame::End { .. } => {
                return Ok(WholeAnswer {
                    head,
                    body: Bytes::from(body),
                });
            }
            Frame::Failed(failure) => return Err(failure),
            _ => {}
        }
    }
    Err(unfinished())
}
