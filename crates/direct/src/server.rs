//! HTTP server, used for callers and for the auxiliary ports of a process.
//!
//! `poem` is built on the same library, but can't limit the size and time of a request's head,
//! close idle connections while others stay open, or report when the last connection has ended.

use std::{convert::Infallible, io, net::SocketAddr, pin::pin, time::Duration};

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

/// Time for which an idle connection is still served after the drain has begun, since a request may
/// be in transit or in a buffer.
const LAST_REQUEST_WAIT: Duration = Duration::from_millis(300);

/// Time between two checks of such a connection.
const LAST_REQUEST_POLL: Duration = Duration::from_millis(20);

/// Pause after a failed accept, for instance when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Request of a caller, with a body that may still be arriving.
pub type IncomingRequest = Request<Incoming>;

/// Handler of the requests of one port; gets the request and the caller's address.
pub type Handler =
    Rc<dyn Fn(IncomingRequest, SocketAddr) -> LocalBoxFuture<'static, Response<ResponseBody>>>;

common_derives! {copy:
    /// Limits of one connection.
    pub struct ServerConfig {
        /// Maximum size of a request's head (request line and headers) in bytes.
        pub max_header_bytes: usize,
        /// Maximum time between the first and the last byte of a request's head.
        pub header_timeout: Duration,
        /// Maximum time for which a connection may be idle between requests.
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

/// Signal that stops a server.
#[derive(Debug, Clone, Default)]
pub struct ServerStop {
    /// Cancelled to stop accepting connections and close idle ones; responses in progress continue.
    pub drain: CancellationToken,
}

/// Serves a port until `stop.drain` is cancelled, also the connections in the listen queue then;
/// returns once every connection has ended. `config` is read for each new connection.
pub async fn serve(
    listener: TcpListener,
    config: impl Fn() -> ServerConfig,
    handler: Handler,
    stop: ServerStop,
) {
    let connections = TaskTracker::new();
    let serve_accepted = |stream: TcpStream, peer: SocketAddr| {
        let handler = Rc::clone(&handler);
        let connection = serve_connection(stream, peer, config(), handler, stop.drain.clone());
        connections.spawn_local(connection);
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.drain.cancelled() => break,
        };
        match accepted {
            Ok((stream, peer)) => serve_accepted(stream, peer),
            Err(error) => {
                log::warn!("accepting a connection failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    for (stream, peer) in accept_queued(listener) {
        serve_accepted(stream, peer);
    }
    connections.close();
    connections.wait().await;
}

/// Closes a port and returns the connections that were in its listen queue. The kernel is asked for
/// them, since the runtime may not have noticed them yet, for instance after the process was stopped.
fn accept_queued(listener: TcpListener) -> Vec<(TcpStream, SocketAddr)> {
    let mut queued = Vec::new();
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!("queued connections can't be accepted: {error}");
            return queued;
        }
    };
    loop {
        match listener.accept().and_then(into_tokio) {
            Ok(accepted) => queued.push(accepted),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return queued,
            Err(error) if is_of_one_connection(&error) => {}
            Err(error) => {
                log::warn!("accepting queued connections failed: {error}");
                return queued;
            }
        }
    }
}

/// Hands an accepted connection over to the runtime.
fn into_tokio(
    (stream, peer): (std::net::TcpStream, SocketAddr),
) -> io::Result<(TcpStream, SocketAddr)> {
    stream.set_nonblocking(true)?;
    Ok((TcpStream::from_std(stream)?, peer))
}

/// Returns whether an error of accepting concerns one connection only, so that others may follow.
fn is_of_one_connection(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionAborted
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::Interrupted
    )
}

async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    config: ServerConfig,
    handler: Handler,
    drain: CancellationToken,
) {
    socket::prepare_accepted(&stream);
    let phase = SharedConnectionPhase::default();
    let io = CallerIo::new(
        stream,
        Rc::clone(&phase),
        config.header_timeout,
        drain.clone(),
    );
    let handler_phase = Rc::clone(&phase);
    let service = service_fn(move |request| {
        handler_phase.set(ConnectionPhase::Busy);
        let response = handler(request, peer);
        let guard = ResponseEndGuard(Rc::clone(&handler_phase));
        async move { Ok::<_, Infallible>(response.await.map(|body| body.with_end_guard(guard))) }
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
        () = wait_for_last_request(&phase, &drain) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("connection from caller {peer} ended with an error: {error}");
    }
}

/// Waits until the drain begins, and then until a request is being handled or the connection was
/// idle for [`LAST_REQUEST_WAIT`]. A response in progress is then the connection's last one, and a
/// connection without one is closed immediately.
async fn wait_for_last_request(phase: &SharedConnectionPhase, drain: &CancellationToken) {
    drain.cancelled().await;
    let max_idle_polls = LAST_REQUEST_WAIT.as_millis() / LAST_REQUEST_POLL.as_millis();
    let mut idle_polls = 0;
    while idle_polls < max_idle_polls && phase.get() != ConnectionPhase::Busy {
        // A head that has begun to arrive is limited by the header timeout instead.
        idle_polls += u128::from(phase.get() == ConnectionPhase::Idle);
        tokio::time::sleep(LAST_REQUEST_POLL).await;
    }
}
