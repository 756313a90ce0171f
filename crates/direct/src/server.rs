//! HTTP server, used for callers and for the auxiliary ports of a process.
//!
//! `poem` is built on the same library, but can't limit the size and time of a request's head,
//! close idle connections while others stay open, or report when the last connection has ended.

use std::{convert::Infallible, io, net::SocketAddr, pin::pin, time::Duration};

use futures_util::future::LocalBoxFuture;
use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use jj_policy::process_limits::ProcessLimits;
use jj_utils::{clock::SharedClock, common_derives};
use std::{rc::Rc, sync::Arc};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    body::{ResponseBody, ResponseEndGuard},
    caller_body::CallerBody,
    caller_io::CallerIo,
    connection_table::{ConnectionPhase, ConnectionStatus, ConnectionTable, TrackedConnection},
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
pub type IncomingRequest = Request<CallerBody>;

/// Handler of the requests of one port; gets the request and the caller's address.
pub type Handler =
    Rc<dyn Fn(IncomingRequest, SocketAddr) -> LocalBoxFuture<'static, Response<ResponseBody>>>;

common_derives! {copy:
    /// Limits of the connections of a port.
    pub struct ServerConfig {
        /// Maximum size of a request's head (request line and headers) in bytes.
        pub max_header_bytes: usize,
        /// Maximum time between the first and the last byte of a request's head.
        pub header_timeout: Duration,
        /// Maximum time for which a connection may be idle between requests.
        pub idle_timeout: Duration,
        /// Maximum number of bytes that are read and discarded of a request that was refused.
        pub max_linger_bytes: usize,
        /// Maximum number of connections of the port.
        pub max_connections: usize,
    }
}

impl Default for ServerConfig {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(20),
            max_linger_bytes: 256 * 1024,
            max_connections: ProcessLimits::default().auxiliary_connections(),
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
    clock: SharedClock,
    config: impl Fn() -> ServerConfig,
    handler: Handler,
    stop: ServerStop,
) {
    let connections = TaskTracker::new();
    let table = ConnectionTable::shared(clock);
    let serve_accepted = async |stream: TcpStream, peer: SocketAddr| {
        let config = config();
        // One that is not added is closed before anything of it is read.
        if let Some(tracked) = table.add(config.max_connections).await {
            let port = Port {
                config,
                handler: Rc::clone(&handler),
                drain: stop.drain.clone(),
            };
            connections.spawn_local(serve_tracked(stream, peer, port, tracked));
        }
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.drain.cancelled() => break,
        };
        match accepted {
            Ok((stream, peer)) => serve_accepted(stream, peer).await,
            Err(error) => {
                log::warn!("accepting a connection failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    for (stream, peer) in accept_queued(listener) {
        serve_accepted(stream, peer).await;
    }
    connections.close();
    connections.wait().await;
}

/// What the connections of a port have in common.
struct Port {
    config: ServerConfig,
    handler: Handler,
    drain: CancellationToken,
}

/// Serves a connection until it ends, or is closed for a new one.
async fn serve_tracked(
    stream: TcpStream,
    peer: SocketAddr,
    port: Port,
    tracked: TrackedConnection,
) {
    tokio::select! {
        () = serve_connection(stream, peer, port, &tracked) => {}
        () = tracked.close.cancelled() => log::debug!("connection from caller {peer} is closed for another"),
    }
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
    port: Port,
    tracked: &TrackedConnection,
) {
    let Port {
        config,
        handler,
        drain,
    } = port;
    socket::prepare_accepted(&stream);
    let status = Arc::clone(&tracked.status);
    let io = CallerIo::new(stream, Arc::clone(&status), config, drain.clone());
    let handler_status = Arc::clone(&status);
    let service = service_fn(move |request: Request<Incoming>| {
        let request = request.map(|body| CallerBody::new(body, Arc::clone(&handler_status)));
        let response = handler(request, peer);
        let guard = ResponseEndGuard(Arc::clone(&handler_status));
        async move { Ok::<_, Infallible>(response.await.map(|body| body.with_end_guard(guard))) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(config.idle_timeout)
        .max_header_size(config.max_header_bytes)
        .max_buf_size(read_buffer_bytes(&config))
        .auto_date_header(false);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(io), service));
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        () = wait_for_last_request(&status, &drain) => None,
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

/// Smallest maximum of a connection's buffers, in bytes, which the library asks for.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Returns the maximum size of a connection's read buffer, and of its write buffer: a head fits.
fn read_buffer_bytes(config: &ServerConfig) -> usize {
    MIN_BUFFER_BYTES.max(config.max_header_bytes + 1)
}

/// Waits until the drain begins, and then until a request is being handled or the connection was
/// idle for [`LAST_REQUEST_WAIT`]. A response in progress is then the connection's last one, and a
/// connection without one is closed immediately.
async fn wait_for_last_request(status: &ConnectionStatus, drain: &CancellationToken) {
    drain.cancelled().await;
    let max_idle_polls = LAST_REQUEST_WAIT.as_millis() / LAST_REQUEST_POLL.as_millis();
    let mut idle_polls = 0;
    while idle_polls < max_idle_polls && !status.has_request() {
        // A head that has begun to arrive is limited by the header timeout instead.
        idle_polls += u128::from(status.phase() != ConnectionPhase::Head);
        tokio::time::sleep(LAST_REQUEST_POLL).await;
    }
}
