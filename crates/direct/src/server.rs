//! HTTP servers of a process: for callers, and the small ones beside it.
//!
//! `poem` runs on the same library but can't bound the head of a request, close idle connections
//! while others go on, or say when the last one has ended.

use std::{convert::Infallible, net::SocketAddr, pin::pin, time::Duration};

use futures_util::future::LocalBoxFuture;
use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use jj_utils::common_derives;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    body::{ResponseBody, ResponseEndGuard},
    caller_io::{CallerIo, ConnectionPhase, SharedConnectionPhase},
    socket,
};

/// Time in which a request may still arrive on a connection without one when the server leaves: it may be
/// on its way, or wait in a buffer.
const LAST_REQUEST: Duration = Duration::from_millis(300);

/// Time between two looks at such a connection.
const LAST_LOOK: Duration = Duration::from_millis(20);

/// Pause after a failed accept, such as one without a free descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A request as it arrived.
pub type IncomingRequest = Request<Incoming>;

/// Answers requests; one closure for each port.
pub type Handler =
    Rc<dyn Fn(IncomingRequest, SocketAddr) -> LocalBoxFuture<'static, Response<ResponseBody>>>;

common_derives! {copy:
    /// Bounds on one connection.
    pub struct ServerConfig {
        /// Bytes of a request's head.
        pub max_header_bytes: usize,
        /// Time in which a request's head has to arrive once it has begun to.
        pub header_timeout: Duration,
        /// Time for which a connection may wait for the next request.
        pub idle_timeout: Duration,
    }
}

impl Default for ServerConfig {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(20),
        }
    }
}

/// Ends of a server.
#[derive(Debug, Clone, Default)]
pub struct ServerStop {
    /// Takes no new connections, and closes those that are idle; open answers go on.
    pub drain: CancellationToken,
}

/// Serves a port until it is told to leave; returns once every answer has ended.
pub async fn serve(
    listener: TcpListener,
    config: impl Fn() -> ServerConfig,
    handler: Handler,
    stop: ServerStop,
) {
    let open = TaskTracker::new();
    loop {
        // Connections that are there when it leaves are still accepted.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = stop.drain.cancelled() => break,
        };
        match accepted {
            Ok((stream, peer)) => {
                let connection = connection(
                    stream,
                    peer,
                    config(),
                    Rc::clone(&handler),
                    stop.drain.clone(),
                );
                open.spawn_local(connection);
            }
            Err(error) => {
                log::warn!("a connection could not be accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    open.close();
    open.wait().await;
}

async fn connection(
    stream: TcpStream,
    peer: SocketAddr,
    config: ServerConfig,
    handler: Handler,
    leave: CancellationToken,
) {
    socket::prepare_accepted(&stream);
    let phase = SharedConnectionPhase::default();
    let io = CallerIo::new(
        stream,
        Rc::clone(&phase),
        config.header_timeout,
        leave.clone(),
    );
    let answered = Rc::clone(&phase);
    let service = service_fn(move |request| {
        answered.set(ConnectionPhase::Busy);
        let answer = handler(request, peer);
        let end = ResponseEndGuard(Rc::clone(&answered));
        async move { Ok::<_, Infallible>(answer.await.map(|body| body.with_end_guard(end))) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(config.idle_timeout)
        .max_header_size(config.max_header_bytes)
        .auto_date_header(false);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(io), service));
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        () = last_request(&phase, &leave) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("connection of {peer} ended: {error}");
    }
}

/// Waits until the server leaves, and then until the connection answers a request or none has come: an
/// answer under way is the last one, a connection without one is closed at once.
async fn last_request(phase: &SharedConnectionPhase, leave: &CancellationToken) {
    leave.cancelled().await;
    let looks = LAST_REQUEST.as_millis() / LAST_LOOK.as_millis();
    let mut idle = 0;
    while idle < looks && phase.get() != ConnectionPhase::Busy {
        // The head that has begun to arrive has a time of its own.
        idle += u128::from(phase.get() == ConnectionPhase::Idle);
        tokio::time::sleep(LAST_LOOK).await;
    }
}
