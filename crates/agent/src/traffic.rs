//! The traffic port: accepts attempts from entries, releases held ones and returns outcomes.

use std::{io, sync::Arc, time::Duration};

use async_stream::stream;
use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream::BoxStream};
use jj_direct::{
    body::ResponseEndGuard,
    body_budget::{BodyBudget, ReceiveError},
    limited_listener::{CallerConnections, LimitedListener},
};
use jj_node::settings::NodeSettings;
use jj_peer::{
    attempt::{self, ATTEMPTS_PATH, AttemptHead, AttemptRef},
    client::{LinkConfig, RELEASE},
    control::LoadReport,
    frames::{self, CONTENT_TYPE, Failure, Frame},
};
use jj_policy::verdict::Verdict;
use jj_utils::{
    clock::SystemClock,
    ids::{AttemptId, Incarnation, RequestId},
};
use poem::{
    Body, EndpointExt, Response, Route, Server, handler,
    http::StatusCode,
    web::{Data, Path, Query, RemoteAddr},
};
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    attempt::{Attempt, ReadStep, Reader},
    attempts::{Attempts, Opened},
    cache_events::CacheEventFeed,
    keys::{KeyClaim, KeyGuard, KeyTable},
    runner::{self, RunnerContext, Work},
};

/// Maximum size of an attempt, head and body, in bytes.
const MAX_ATTEMPT_BYTES: usize = 16 << 20;

/// Error detail for a caller that uses one idempotency key for two requests.
const KEY_CONFLICT: &str = "the idempotency key was used for another request";

/// Reason of a refusal when the table of attempts is full.
const TABLE_FULL: &str = "too many attempts";

/// Reason of a refusal when there is no memory for an attempt.
const NO_MEMORY: &str = "too many large attempts arrive at once";

/// Maximum time to receive an attempt.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Retry delay sent when the table of attempts is full.
const TABLE_FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Timeout for waiting for the first frames of a response, so that its HTTP head, the load report
/// and these frames are sent in one write.
const FIRST_FRAMES_TIMEOUT: Duration = Duration::from_millis(5);

/// Dependencies of the traffic port.
pub struct Traffic {
    /// Incarnation of this agent.
    pub incarnation: Incarnation,
    /// Attempts received.
    pub attempts: Arc<Attempts>,
    /// Idempotency keys received.
    pub keys: Arc<KeyTable>,
    /// Events of the backend server's prefix cache.
    pub cache_events: Arc<CacheEventFeed>,
    /// Dependencies for running new attempts.
    pub context: RunnerContext,
    /// Timing of the connections from entries.
    pub link: LinkConfig,
}

/// The traffic port of an agent: a listener, and the memory for attempts.
pub struct TrafficPort {
    listener: LimitedListener,
    bodies: BodyBudget,
}

impl TrafficPort {
    /// Opens the port.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub fn bind(node: &NodeSettings) -> io::Result<Self> {
        let (addr, clock) = (node.traffic_addr, SystemClock::shared());
        let limit = node.limits.traffic_connections();
        Ok(Self {
            listener: LimitedListener::bind(addr, Arc::clone(&clock), limit)?,
            bodies: BodyBudget::new(node.limits.body_bytes(), clock),
        })
    }
}

/// Serves attempts until `token` is cancelled, then waits up to `grace` for open connections.
///
/// # Errors
/// When the server fails.
pub async fn serve(
    port: TrafficPort,
    traffic: Arc<Traffic>,
    grace: Duration,
    token: CancellationToken,
) -> anyhow::Result<()> {
    let attempt_path = format!("{ATTEMPTS_PATH}/:request/:attempt/:incarnation");
    let routes = Route::new()
        .at(ATTEMPTS_PATH, poem::post(submit))
        .at(format!("{attempt_path}{RELEASE}"), poem::post(release))
        .at(attempt_path, poem::get(outcome))
        .data(traffic)
        .data(port.bodies)
        .data(port.listener.connections());
    let server = Server::new_with_acceptor(port.listener);
    server
        .run_with_graceful_shutdown(routes, token.cancelled(), Some(grace))
        .await?;
    Ok(())
}

#[handler]
async fn submit(
    traffic: Data<&Arc<Traffic>>,
    bodies: Data<&BodyBudget>,
    connections: Data<&CallerConnections>,
    remote: &RemoteAddr,
    body: Body,
) -> Response {
    let traffic = Arc::clone(traffic.0);
    let owner = xxh3_64(remote.to_string().as_bytes());
    let received = bodies.receive(owner, MAX_ATTEMPT_BYTES, None, body.into_bytes_stream());
    let bytes = match tokio::time::timeout(BODY_TIMEOUT, received).await {
        Ok(Ok(stored)) => stored.into_contiguous(),
        Ok(Err(ReceiveError::TooLong)) => return StatusCode::PAYLOAD_TOO_LARGE.into(),
        Ok(Err(ReceiveError::Interrupted(error))) => return bad_request(&error.to_string()),
        Ok(Err(ReceiveError::NoMemory)) => None,
        Err(_) => return StatusCode::REQUEST_TIMEOUT.into(),
    };
    let Some(bytes) = bytes else {
        return no_memory();
    };
    let peer = remote.as_socket_addr();
    let end = peer.and_then(|peer| connections.begin_request(peer));
    let response = submit_attempt(traffic, bytes).await;
    with_end_guard(response, end)
}

/// Returns the same response with a guard that is dropped once its body has been handed over.
fn with_end_guard(response: Response, end: Option<ResponseEndGuard>) -> Response {
    let (parts, body) = response.into_parts();
    let guarded = body.into_bytes_stream().inspect(move |_| {
        let _held = &end;
    });
    Response::from_parts(parts, Body::from_bytes_stream(guarded))
}

/// Runs or refuses an attempt, whose bytes have arrived in full.
async fn submit_attempt(traffic: Arc<Traffic>, bytes: Bytes) -> Response {
    let attempt = match attempt::decode(&bytes) {
        Ok(attempt) => attempt,
        Err(error) => return bad_request(&error.to_string()),
    };
    let attempt::Attempt { head, body } = attempt;
    // The bytes that count as the process's memory, not the copy.
    let body = bytes.slice(bytes.len() - body.len()..);
    if head.id.incarnation != traffic.incarnation {
        let reason = "the attempt was sent to another incarnation of this agent";
        return failure_response(verdict_before_key_check(&head), reason);
    }
    // An attempt must not start so late that a fence against it may already have been removed.
    let age = traffic.context.clock.now().saturating_sub(head.sent);
    if age > traffic.attempts.max_age() {
        let reason = format!("the attempt arrived {} ms late", age.as_millis());
        return failure_response(verdict_before_key_check(&head), &reason);
    }
    let attempt = traffic.attempts.new_attempt(head.resume);
    match traffic.keys.claim(&head, &body, &attempt) {
        KeyClaim::Run(guard) => run_new(&traffic, attempt, guard, head, body).await,
        KeyClaim::Read(earlier) => respond_from(&traffic, earlier, &head).await,
        KeyClaim::Refuse(failure) => {
            attempt.fail(failure.verdict, failure.reason);
            respond_from(&traffic, attempt, &head).await
        }
        KeyClaim::Conflict => {
            attempt.finish_with_problem(StatusCode::UNPROCESSABLE_ENTITY.as_u16(), KEY_CONFLICT);
            respond_from(&traffic, attempt, &head).await
        }
    }
}

/// Returns the verdict on an attempt that is refused before its key is checked. An earlier attempt
/// with the same key may have run.
fn verdict_before_key_check(head: &AttemptHead) -> Verdict {
    match head.is_once_only() {
        true => Verdict::MayHaveRun,
        false => Verdict::NotRun {
            retry_after: Duration::ZERO,
        },
    }
}

/// Runs the attempt if it is new, and responds with its frames.
async fn run_new(
    traffic: &Traffic,
    attempt: Arc<Attempt>,
    guard: Option<KeyGuard>,
    head: AttemptHead,
    body: Bytes,
) -> Response {
    match traffic.attempts.open(&head.id, attempt) {
        Opened::New(attempt) => {
            let start = ReadStart::of(&head);
            let work = Work { head, body, guard };
            let context = traffic.context.clone();
            tokio::spawn(runner::run(context, Arc::clone(&attempt), work));
            frames_response(traffic, attempt, start).await
        }
        Opened::Seen(attempt) => frames_response(traffic, attempt, ReadStart::of(&head)).await,
        Opened::Full => table_full(),
    }
}

/// Responds with the frames of an attempt without running it: an earlier one with the same key, or
/// one that has already ended.
async fn respond_from(traffic: &Traffic, attempt: Arc<Attempt>, head: &AttemptHead) -> Response {
    match traffic.attempts.open(&head.id, attempt) {
        Opened::New(attempt) | Opened::Seen(attempt) => {
            frames_response(traffic, attempt, ReadStart::of(head)).await
        }
        Opened::Full => failure_response(verdict_before_key_check(head), TABLE_FULL),
    }
}

/// Returns the refusal of an attempt for whose bytes there is no memory now. Nothing is known of its key.
fn no_memory() -> Response {
    failure_response(Verdict::MayHaveRun, NO_MEMORY)
}

fn table_full() -> Response {
    failure_response(
        Verdict::NotRun {
            retry_after: TABLE_FULL_RETRY_AFTER,
        },
        TABLE_FULL,
    )
}

#[derive(serde::Deserialize)]
struct OutcomeQuery {
    #[serde(default)]
    from: u64,
}

#[handler]
async fn outcome(
    traffic: Data<&Arc<Traffic>>,
    Path((request, attempt, incarnation)): Path<(RequestId, AttemptId, Incarnation)>,
    Query(query): Query<OutcomeQuery>,
) -> Response {
    let id = AttemptRef {
        request,
        attempt,
        incarnation,
    };
    if id.incarnation != traffic.incarnation {
        return failure_response(
            Verdict::MayHaveRun,
            "the attempt was sent to another incarnation of this agent",
        );
    }
    match traffic.attempts.outcome_or_fence(&id) {
        Opened::New(attempt) | Opened::Seen(attempt) => {
            frames_response(&traffic, attempt, ReadStart::resumed(query.from)).await
        }
        Opened::Full => bad_status(StatusCode::SERVICE_UNAVAILABLE),
    }
}

#[handler]
async fn release(
    traffic: Data<&Arc<Traffic>>,
    Path((request, attempt, incarnation)): Path<(RequestId, AttemptId, Incarnation)>,
) -> StatusCode {
    let id = AttemptRef {
        request,
        attempt,
        incarnation,
    };
    match traffic.attempts.release(&id) {
        true => StatusCode::NO_CONTENT,
        false => StatusCode::NOT_FOUND,
    }
}

/// Position in a response and in the cache events from which an entry needs frames.
struct ReadStart {
    /// Index of the next data frame that it needs.
    from: u64,
    /// Number of the last cache event that it has received; `None` if it needs no cache events.
    cache_seen: Option<u64>,
}

impl ReadStart {
    fn of(head: &AttemptHead) -> Self {
        Self {
            from: head.resume,
            cache_seen: Some(head.cache_seen),
        }
    }

    fn resumed(from: u64) -> Self {
        Self {
            from,
            cache_seen: None,
        }
    }
}

/// Responds with the load report and the frames of an attempt from a data frame on. If the attempt
/// has already ended, the whole response is sent as one body instead of a stream.
async fn frames_response(traffic: &Traffic, attempt: Arc<Attempt>, start: ReadStart) -> Response {
    let reader = attempt.add_reader();
    let mut offset = attempt.offset_of(start.from);
    let _ = tokio::time::timeout(FIRST_FRAMES_TIMEOUT, attempt.changed(offset)).await;
    let mut first_bytes = BytesMut::new();
    encode_load(traffic, &mut first_bytes);
    encode_cache_events(traffic, start.cache_seen, &mut first_bytes);
    let response = Response::builder().content_type(CONTENT_TYPE);
    match attempt.read(offset) {
        ReadStep::Last(bytes) => {
            first_bytes.extend_from_slice(&bytes);
            return response.body(first_bytes.freeze());
        }
        ReadStep::End => return response.body(first_bytes.freeze()),
        ReadStep::Bytes(bytes) => {
            offset += bytes.len();
            first_bytes.extend_from_slice(&bytes);
        }
        ReadStep::Pending => {}
    }
    let rest = frame_stream(reader, offset, traffic.link.progress_interval);
    let body = futures_util::stream::once(async { first_bytes.freeze() }).chain(rest);
    response.body(Body::from_bytes_stream(body.map(Ok::<_, std::io::Error>)))
}

fn encode_load(traffic: &Traffic, out: &mut BytesMut) {
    let load = (*traffic.context.control.load()).clone();
    let leaving = traffic.context.lifecycle.is_draining();
    // A load report is far below the frame limit.
    let _ = frames::encode(&Frame::Load(LoadReport { leaving, ..load }), out);
}

fn encode_cache_events(traffic: &Traffic, seen: Option<u64>, out: &mut BytesMut) {
    let events = seen.map(|seen| traffic.cache_events.events_after(seen));
    if let Some(events) = events.filter(|events| !events.is_empty()) {
        // A bounded number of events is far below the frame limit.
        let _ = frames::encode(&Frame::Cache(events), out);
    }
}

/// Streams the frames of an attempt from a byte offset of its log on, with a progress frame after
/// each `progress` interval without new frames.
fn frame_stream(
    reader: Reader,
    mut offset: usize,
    progress: Duration,
) -> BoxStream<'static, Bytes> {
    stream! {
        let attempt = reader.attempt();
        loop {
            match attempt.read(offset) {
                ReadStep::Bytes(bytes) => {
                    offset += bytes.len();
                    yield bytes;
                }
                ReadStep::Last(bytes) => {
                    yield bytes;
                    return;
                }
                ReadStep::End => return,
                ReadStep::Pending => {
                    if tokio::time::timeout(progress, attempt.changed(offset)).await.is_err() {
                        yield encode_frame(&Frame::Progress);
                    }
                }
            }
        }
    }
    .boxed()
}

fn failure_response(verdict: Verdict, reason: &str) -> Response {
    let frame = Frame::Failed(Failure::new(verdict, reason));
    Response::builder()
        .content_type(CONTENT_TYPE)
        .body(encode_frame(&frame))
}

fn encode_frame(frame: &Frame) -> Bytes {
    let mut out = BytesMut::new();
    // Frames that the agent itself generates are far below the limit.
    let _ = frames::encode(frame, &mut out);
    out.freeze()
}

fn bad_request(detail: &str) -> Response {
    Response::builder()
        .status(StatusCode::BAD_REQUEST)
        .body(detail.to_owned())
}

fn bad_status(status: StatusCode) -> Response {
    status.into()
}
