//! HTTP listeners that send small answers at once.

use std::{io, net::SocketAddr};

use poem::{
    http::uri::Scheme,
    listener::{Acceptor, TcpAcceptor},
    web::{LocalAddr, RemoteAddr},
};
use tokio::net::{TcpListener, TcpStream};

/// Accepts TCP connections with `TCP_NODELAY`: the library's own acceptor leaves Nagle's algorithm
/// on, which holds each answer of several small writes back for a delayed acknowledgement.
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
        // A connection that is gone already fails at its first read.
        let _ = accepted.0.set_nodelay(true);
        Ok(accepted)
    }
}
