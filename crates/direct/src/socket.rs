//! Sockets with the options that detect peers that vanish without closing.

use std::{io, net::SocketAddr, time::Duration};

use jj_policy::process_limits::RECEIVE_WINDOW_BYTES;
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};

/// Maximum number of connections waiting to be accepted.
const LISTEN_BACKLOG: i32 = 1024;

/// Size of the receive buffer for datagrams in bytes.
const DATAGRAM_BUFFER_BYTES: usize = 1 << 20;

/// Idle time of a caller's connection before the first keep-alive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);

/// Time between two keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum time for which bytes sent to a caller may stay unacknowledged before its connection is
/// closed.
const CALLER_ACK_TIMEOUT: Duration = Duration::from_secs(6);

/// Listens for TCP connections.
///
/// # Errors
/// When the address can't be bound.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Connections inherit it; else the kernel holds megabytes for a caller whose bytes aren't read.
    socket.set_recv_buffer_size(RECEIVE_WINDOW_BYTES as u32)?;
    socket.bind(addr)?;
    socket.listen(LISTEN_BACKLOG as u32)
}

/// Sets the options of an accepted connection: no Nagle delay, and probes that detect a vanished
/// caller.
pub fn prepare_accepted(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    // If the connection is already closed, its first read reports it.
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_keepalive(&probes);
    let _ = socket.set_tcp_user_timeout(Some(CALLER_ACK_TIMEOUT));
}

/// Opens a connection that is closed when sent bytes stay unacknowledged for `ack_timeout`.
///
/// # Errors
/// When the connection can't be opened within `connect_timeout`.
pub async fn connect(
    addr: SocketAddr,
    connect_timeout: Duration,
    ack_timeout: Duration,
) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    let opening = socket.connect(addr);
    let stream = tokio::time::timeout(connect_timeout, opening).await??;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(ack_timeout))?;
    Ok(stream)
}

/// Binds a UDP socket for datagrams between the system's processes.
///
/// # Errors
/// When the address can't be bound.
pub fn bind_datagrams(addr: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    // The default buffer is enough for small fleets, so a failure is ignored.
    let _ = socket.set_recv_buffer_size(DATAGRAM_BUFFER_BYTES);
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    UdpSocket::from_std(socket.into())
}
