//! Socket options of connections that may go silent.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// Bytes that datagrams may fill before they are read.
const DATAGRAM_BUFFER: usize = 1 << 20;

/// Idle time of a caller's connection before the first keep-alive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);

/// Time between two keep-alive probes.
const KEEPALIVE_PAUSE: Duration = Duration::from_secs(2);

/// Time without an acknowledgement after which a caller's connection is taken for dead.
const CALLER_SILENCE: Duration = Duration::from_secs(6);

/// Listens for callers.
///
/// # Errors
/// When the address can't be bound.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG as u32)
}

/// Sets what an accepted connection needs: no delay, and probes that find a vanished caller.
pub fn prepare_accepted(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_PAUSE);
    // A connection that is gone already fails at its first read.
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_keepalive(&probes);
    let _ = socket.set_tcp_user_timeout(Some(CALLER_SILENCE));
}

/// Opens a connection; bytes that are not acknowledged within `silence` break it.
///
/// # Errors
/// When it can't be opened, or not within `limit`.
pub async fn connect(
    addr: SocketAddr,
    limit: Duration,
    silence: Duration,
) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    let opening = socket.connect(addr);
    let stream = tokio::time::timeout(limit, opening).await??;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(silence))?;
    Ok(stream)
}

/// Binds a socket for datagrams between the system's processes.
///
/// # Errors
/// When the address can't be bound.
pub fn bind_datagrams(addr: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    // The default buffer is enough for small fleets, so a refusal changes little.
    let _ = socket.set_recv_buffer_size(DATAGRAM_BUFFER);
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    UdpSocket::from_std(socket.into())
}
