//! Runs one attempt at one agent, over as many connections as needed.
//!
//! When a connection is lost or silent, the attempt's outcome is queried over a new one and its
//! frames continue where they stopped. Late and duplicate frames are dropped by index.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_stream::stream;
use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream::BoxStream};
use jj_peer::{
    attempt::AttemptHead,
    client::{AgentClient, LinkError},
    frames::{Failure, Frame},
};
use jj_policy::{held_start::HeldStart, verdict::Verdict};
use jj_utils::{clock::SharedClock, events, ids::InstanceId, log_event};

use crate::{
    prefixes::SharedPrefixIndex,
    view::{self, LocalAgentState},
};

/// Consecutive connection failures without a new frame before the agent counts as unreachable.
const MAX_RECONNECTS: u32 = 4;

/// Base delay before a reconnect; doubles with each failure.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Retry-after when an agent can't be reached.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(100);

/// Frames received over one connection, from a sent attempt or an outcome query.
type Connection = BoxStream<'static, Result<Frame, LinkError>>;

/// The agent of an attempt, with this process's state for it.
#[derive(Clone)]
pub struct Target {
    /// Client for calls to agents.
    pub client: AgentClient,
    /// Address that receives attempts.
    pub addr: SocketAddr,
    /// Instance name of the agent.
    pub agent: InstanceId,
    /// Estimated content of the prefix caches.
    pub prefixes: Arc<SharedPrefixIndex>,
    /// State that this process keeps for the agent.
    pub local: Arc<LocalAgentState>,
    /// Process clock.
    pub clock: SharedClock,
}

/// Sends the attempt and yields its frames: the head once, data without gaps from index
/// `head.resume`, then `End` or `Failed`.
pub fn run(target: Target, head: AttemptHead, body: Bytes) -> impl Stream<Item = Frame> {
    stream! {
        let first = open(&target, &head, &body).await;
        let mut link = Link::new(target, head);
        let connection = match first {
            Ok(connection) => Some(connection),
            Err(error) => match definite_failure(&error, &link.head) {
                Some(failure) => {
                    link.record_unreachable(&error);
                    yield Frame::Failed(failure);
                    return;
                }
                None => {
                    link.record_link_error(&error);
                    None
                }
            },
        };
        let mut frames = Box::pin(follow(link, connection));
        while let Some(frame) = frames.next().await {
            yield frame;
        }
    }
}

/// Yields the frames from index `head.resume` of an attempt that another process sent.
pub fn resume(target: Target, head: AttemptHead) -> impl Stream<Item = Frame> {
    follow(Link::new(target, head), None)
}

/// Yields the attempt's frames and reconnects whenever the connection is lost.
fn follow(mut link: Link, mut connection: Option<Connection>) -> impl Stream<Item = Frame> {
    stream! {
        loop {
            let Some(frames) = &mut connection else {
                match link.reconnect().await {
                    Ok(next) => connection = next,
                    Err(failure) => {
                        yield Frame::Failed(link.with_hold_verdict(failure));
                        return;
                    }
                }
                continue;
            };
            match frames.next().await {
                Some(Ok(Frame::Ready)) => link.release_start().await,
                Some(Ok(frame)) => {
                    let Some(frame) = link.accept(frame) else { continue };
                    let is_last = matches!(frame, Frame::End { .. } | Frame::Failed(_));
                    yield frame;
                    if is_last {
                        return;
                    }
                }
                Some(Err(error)) => {
                    link.record_link_error(&error);
                    connection = None;
                }
                None => connection = None,
            }
        }
    }
}

async fn open(target: &Target, head: &AttemptHead, body: &Bytes) -> Result<Connection, LinkError> {
    Ok(target.client.send(target.addr, head, body).await?.boxed())
}

/// Returns the failure if the first connection failed such that the attempt can't have run. With an
/// idempotency key an earlier try may have run, and only the home agent knows.
fn definite_failure(error: &LinkError, head: &AttemptHead) -> Option<Failure> {
    let retry_after = match error {
        LinkError::Unreachable(_) => UNREACHABLE_RETRY,
        LinkError::Status(status) if (400..500).contains(status) => Duration::ZERO,
        LinkError::Attempt(_) => Duration::ZERO,
        _ => return None,
    };
    let verdict = match head.is_once_only() {
        true => Verdict::MayHaveRun,
        false => Verdict::NotRun { retry_after },
    };
    Some(Failure::new(verdict, error.to_string()))
}

/// State of one attempt across its connections.
struct Link {
    target: Target,
    head: AttemptHead,
    next_frame: u64,
    has_head: bool,
    is_reconnected: bool,
    /// Whether the agent holds the attempt until it is released.
    start: HeldStart,
    consecutive_failures: u32,
}

impl Link {
    fn new(target: Target, head: AttemptHead) -> Self {
        let next_frame = head.resume;
        Self {
            target,
            head,
            next_frame,
            has_head: false,
            is_reconnected: false,
            start: HeldStart::default(),
            consecutive_failures: 0,
        }
    }

    /// Queries the attempt's outcome over a new connection; `Ok(None)` means to try again.
    async fn reconnect(&mut self) -> Result<Option<Connection>, Failure> {
        self.is_reconnected = true;
        if self.consecutive_failures >= MAX_RECONNECTS {
            let reason = "the agent that knows the outcome can't be reached";
            return Err(Failure::new(Verdict::MayHaveRun, reason));
        }
        if self.consecutive_failures > 1 {
            tokio::time::sleep(RECONNECT_PAUSE * (1 << (self.consecutive_failures - 1))).await;
        }
        // Without the head, all frames are requested again; frames already received are dropped.
        let from = if self.has_head {
            self.next_frame
        } else {
            self.head.resume
        };
        match self
            .target
            .client
            .query_outcome(self.target.addr, &self.head.id, from)
            .await
        {
            Ok(frames) => Ok(Some(frames.boxed())),
            Err(error) => {
                self.record_link_error(&error);
                Ok(None)
            }
        }
    }

    /// Releases the held attempt so that it starts. An attempt of another entry with the same
    /// idempotency key is not released.
    async fn release_start(&mut self) {
        if !self.start.may_release() {
            return;
        }
        let Target { client, addr, .. } = &self.target;
        let released = client.release(*addr, &self.head.id).await;
        if !matches!(released, Err(LinkError::Unreachable(_))) {
            self.start.record_release();
        }
    }

    /// Adjusts the failure's verdict: an attempt that was held and not released has not run.
    fn with_hold_verdict(&self, failure: Failure) -> Failure {
        let verdict = self
            .start
            .verdict_after_failure(failure.verdict, UNREACHABLE_RETRY);
        Failure { verdict, ..failure }
    }

    /// Changes `NotRun` to `MayHaveRun` for a once-only request: the outcome query may have fenced
    /// this attempt, but an earlier one with the same idempotency key may have run.
    fn with_key_verdict(&self, failure: Failure) -> Failure {
        match failure.verdict {
            Verdict::NotRun { .. } if self.head.is_once_only() => {
                Failure::new(Verdict::MayHaveRun, failure.reason)
            }
            _ => failure,
        }
    }

    /// Records a failure to connect, which the control thread reports to membership.
    fn record_unreachable(&self, error: &LinkError) {
        if matches!(error, LinkError::Unreachable(_)) {
            self.target
                .local
                .record_connect_failure(self.head.id.incarnation);
        }
    }

    fn record_link_error(&mut self, error: &LinkError) {
        self.record_unreachable(error);
        if matches!(error, LinkError::Silent) {
            self.target.client.replace_connections();
        }
        self.consecutive_failures += 1;
        let (agent, next) = (self.target.addr, self.next_frame);
        let request = &self.head.id.request;
        log_event!(
            events::STREAM_RESUMED,
            "request {request}: link to {agent} at frame {next}: {error}"
        );
    }

    /// Returns the frame if it is next in order and meant for the caller; applies the others.
    fn accept(&mut self, frame: Frame) -> Option<Frame> {
        match &frame {
            Frame::Head(_) => {
                let is_first = !self.has_head;
                self.has_head = true;
                self.consecutive_failures = 0;
                is_first.then_some(frame)
            }
            Frame::Data(data) if data.index == self.next_frame => {
                self.next_frame += 1;
                self.consecutive_failures = 0;
                Some(frame)
            }
            Frame::Data(data) => {
                let (index, next) = (data.index, self.next_frame);
                log_event!(
                    events::ANSWER_DROPPED,
                    "frame {index} dropped; {next} is next"
                );
                None
            }
            Frame::Load(load) => {
                if load.leaving {
                    self.target.local.record_leaving(self.head.id.incarnation);
                }
                let report = view::routing_report(load, self.target.clock.now());
                self.target.local.record_report(report);
                None
            }
            Frame::Held(id) => {
                if *id == self.head.id {
                    self.start.record_held();
                }
                None
            }
            Frame::Cache(events) => {
                let now = self.target.clock.now();
                let prefixes = &self.target.prefixes;
                prefixes.record_events(&self.target.agent, events.clone(), now);
                None
            }
            Frame::Progress | Frame::Ready => None,
            Frame::Failed(failure) if self.is_reconnected => {
                let failure = self.with_key_verdict(failure.clone());
                Some(Frame::Failed(self.with_hold_verdict(failure)))
            }
            Frame::End { count } if *count != self.next_frame => {
                let reason = format!("the answer ended at frame {} of {count}", self.next_frame);
                Some(Frame::Failed(Failure::new(Verdict::MayHaveRun, reason)))
            }
            Frame::End { .. } | Frame::Failed(_) => Some(frame),
        }
    }
}
