//! TCP listener for HTTP servers that send small responses without delay.

use std::{io, net::SocketAddr};

use poem::{
    http::uri::Scheme,
    listener::{Acceptor, TcpAcceptor},
    web::{LocalAddr, RemoteAddr},
};
use tokio::net::{TcpListener, TcpStream};

/// Acceptor that sets `TCP_NODELAY`. The library's own acceptor leaves Nagle's algorithm on, which
/// delays each response of several small writes until the peer's delayed acknowledgement.
pub struct NoDelayAcceptor(TcpAcceptor);

impl NoDelayAcceptor {
    /// Listens on `addr`.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn bind(addr: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        Ok(Self(TcpAcceptor::from_tokio(listener)?))
    }
}

impl Acceptor for NoDelayAcceptor {
    type Io = TcpStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.0.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let accepted = self.0.accept().await?;
        // If the connection is already closed, its first read reports it.
        let _ = accepted.0.set_nodelay(true);
        Ok(accepted)
    }
}
