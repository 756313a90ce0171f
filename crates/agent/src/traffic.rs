//! The traffic port: attempts from entries, their releases and outcomes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_stream::stream;
use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream::BoxStream};
use jj_peer::{
    attempt::{self, ATTEMPTS_PATH, AttemptHead, AttemptRef},
    client::{LinkConfig, RELEASE},
    control::LoadReport,
    frames::{self, CONTENT_TYPE, Failure, Frame},
};
use jj_policy::verdict::Verdict;
use jj_utils::ids::{AttemptId, Incarnation, RequestId};
use jj_utils::listener::NoDelayAcceptor;
use poem::{
    Body, EndpointExt, Response, Route, Server, handler,
    http::StatusCode,
    web::{Data, Path, Query},
};
use tokio_util::sync::CancellationToken;

use crate::{
    attempt::{Attempt, ReadStep},
    attempts::{Attempts, Opened},
    keys::{KeyClaim, KeyGuard, Keys},
    runner::{self, Context, Work},
};

/// Largest attempt, head and body, in bytes.
const MAX_ATTEMPT: usize = 16 << 20;

/// What a caller is told that uses one key for two requests.
const CONFLICT: &str = "the idempotency key was used for another request";

/// Reason told when the table of attempts is full.
const TOO_MANY: &str = "too many attempts";

/// Time to come back when this agent keeps too many attempts.
const FULL_RETRY: Duration = Duration::from_secs(1);

/// What the traffic port needs.
pub struct Traffic {
    /// Life of this agent.
    pub incarnation: Incarnation,
    /// Attempts seen.
    pub attempts: Arc<Attempts>,
    /// Once-only requests.
    pub keys: Arc<Keys>,
    /// For running new ones.
    pub context: Context,
    /// Timing of the links to entries.
    pub link: LinkConfig,
}

/// Serves attempts until `token` is cancelled, then waits up to `grace` for open connections.
///
/// # Errors
/// When the address can't be bound.
pub async fn serve(
    addr: SocketAddr,
    traffic: Arc<Traffic>,
    grace: Duration,
    token: CancellationToken,
) -> anyhow::Result<()> {
    let acceptor = NoDelayAcceptor::bind(addr).await?;
    let one = format!("{ATTEMPTS_PATH}/:request/:attempt/:incarnation");
    let routes = Route::new()
        .at(ATTEMPTS_PATH, poem::post(submit))
        .at(format!("{one}{RELEASE}"), poem::post(release))
        .at(one, poem::get(outcome))
        .data(traffic);
    let server = Server::new_with_acceptor(acceptor);
    server
        .run_with_graceful_shutdown(routes, token.cancelled(), Some(grace))
        .await?;
    Ok(())
}

#[handler]
async fn submit(traffic: Data<&Arc<Traffic>>, body: Body) -> Response {
    let traffic = Arc::clone(traffic.0);
    let Ok(bytes) = body.into_bytes_limit(MAX_ATTEMPT).await else {
        return StatusCode::PAYLOAD_TOO_LARGE.into();
    };
    let attempt = match attempt::decode(&bytes) {
        Ok(attempt) => attempt,
        Err(error) => return bad_request(&error.to_string()),
    };
    let attempt::Attempt { head, body } = attempt;
    if head.id.incarnation != traffic.incarnation {
        let reason = "the attempt was chosen for another life of this agent";
        return failed(unseen(&head), reason);
    }
    // An attempt so late that its fence may be forgotten must not start.
    let age = traffic.context.clock.now().saturating_sub(head.sent);
    if age > traffic.attempts.max_age() {
        let reason = format!("the attempt arrived {} ms late", age.as_millis());
        return failed(unseen(&head), &reason);
    }
    let attempt = traffic.attempts.prepare(head.resume);
    match traffic.keys.claim(&head, &body, &attempt) {
        KeyClaim::Run(guard) => open(&traffic, attempt, guard, head, body),
        KeyClaim::Read(earlier) => read(&traffic, earlier, &head),
        KeyClaim::Refuse(failure) => {
            attempt.fail(failure.verdict, failure.reason);
            read(&traffic, attempt, &head)
        }
        KeyClaim::Conflict => {
            attempt.refuse(StatusCode::UNPROCESSABLE_ENTITY.as_u16(), CONFLICT);
            read(&traffic, attempt, &head)
        }
    }
}

/// Verdict on an attempt that is refused before its key is looked at.
fn unseen(head: &AttemptHead) -> Verdict {
    match head.is_once_only() {
        true => Verdict::MayHaveRun,
        false => Verdict::NotRun {
            retry_after: Duration::ZERO,
        },
    }
}

/// Runs an attempt that is new here.
fn open(
    traffic: &Traffic,
    attempt: Arc<Attempt>,
    guard: Option<KeyGuard>,
    head: AttemptHead,
    body: Bytes,
) -> Response {
    match traffic.attempts.open(&head.id, attempt) {
        Opened::New(attempt) => {
            let first = head.resume;
            let work = Work { head, body, guard };
            let context = traffic.context.clone();
            tokio::spawn(runner::run(context, Arc::clone(&attempt), work));
            frames_response(traffic, attempt, first)
        }
        Opened::Seen(attempt) => frames_response(traffic, attempt, head.resume),
        Opened::Full => full(),
    }
}

/// Answers from an attempt that runs elsewhere or has ended.
fn read(traffic: &Traffic, attempt: Arc<Attempt>, head: &AttemptHead) -> Response {
    match traffic.attempts.open(&head.id, attempt) {
        Opened::New(attempt) | Opened::Seen(attempt) => {
            frames_response(traffic, attempt, head.resume)
        }
        Opened::Full => failed(unseen(head), TOO_MANY),
    }
}

fn full() -> Response {
    failed(
        Verdict::NotRun {
            retry_after: FULL_RETRY,
        },
        TOO_MANY,
    )
}

#[derive(serde::Deserialize)]
struct From {
    #[serde(default)]
    from: u64,
}

#[handler]
async fn outcome(
    traffic: Data<&Arc<Traffic>>,
    Path((request, attempt, incarnation)): Path<(RequestId, AttemptId, Incarnation)>,
    Query(query): Query<From>,
) -> Response {
    let id = AttemptRef {
        request,
        attempt,
        incarnation,
    };
    if id.incarnation != traffic.incarnation {
        return failed(Verdict::MayHaveRun, "the agent that could tell is gone");
    }
    match traffic.attempts.outcome(&id) {
        Opened::New(attempt) | Opened::Seen(attempt) => {
            frames_response(&traffic, attempt, query.from)
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

fn frames_response(traffic: &Traffic, attempt: Arc<Attempt>, from: u64) -> Response {
    let load = (*traffic.context.control.load()).clone();
    let leaving = traffic.context.lifecycle.is_draining();
    let load = encoded(&Frame::Load(LoadReport { leaving, ..load }));
    let frames = frame_bytes(&attempt, from, traffic.link.progress);
    let body = futures_util::stream::once(async { load }).chain(frames);
    Response::builder()
        .content_type(CONTENT_TYPE)
        .body(Body::from_bytes_stream(body.map(Ok::<_, std::io::Error>)))
}

/// The frames of an attempt from a data frame on, with progress frames while it is quiet.
fn frame_bytes(attempt: &Arc<Attempt>, from: u64, progress: Duration) -> BoxStream<'static, Bytes> {
    let reader = attempt.reader();
    stream! {
        let attempt = reader.attempt();
        let mut position = attempt.position(from);
        loop {
            match attempt.read(position) {
                ReadStep::Bytes(bytes) => {
                    position += bytes.len();
                    yield bytes;
                }
                ReadStep::End => return,
                ReadStep::Pending => {
                    if tokio::time::timeout(progress, attempt.changed(position)).await.is_err() {
                        yield encoded(&Frame::Progress);
                    }
                }
            }
        }
    }
    .boxed()
}

fn failed(verdict: Verdict, reason: &str) -> Response {
    let frame = Frame::Failed(Failure::new(verdict, reason));
    Response::builder()
        .content_type(CONTENT_TYPE)
        .body(encoded(&frame))
}

fn encoded(frame: &Frame) -> Bytes {
    let mut out = BytesMut::new();
    // Frames of this agent's own making are far below the limit.
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
