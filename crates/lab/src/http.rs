//! HTTP server set-up shared by the stand-ins.

use std::{io, net::SocketAddr, time::Duration};

use anyhow::Context;
use poem::{
    Endpoint, Server,
    http::uri::Scheme,
    listener::{Acceptor, TcpAcceptor},
    web::{LocalAddr, RemoteAddr},
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// How long open connections may go on after a stand-in is told to stop.
const STOP_GRACE: Duration = Duration::from_millis(200);

/// Accepts TCP connections with `TCP_NODELAY`, so that single tokens are sent at once.
struct NoDelayAcceptor(TcpAcceptor);

impl Acceptor for NoDelayAcceptor {
    type Io = TcpStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.0.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let accepted = self.0.accept().await?;
        accepted.0.set_nodelay(true)?;
        Ok(accepted)
    }
}

/// Serves `app` on `addr` until `cancel`.
///
/// # Errors
/// When the address cannot be bound or the server fails.
pub async fn serve_app<E>(app: E, addr: SocketAddr, cancel: CancellationToken) -> anyhow::Result<()>
where
    E: Endpoint + 'static,
{
    let listener = TcpListener::bind(addr)
        .await
        .with_context(|| format!("bind {addr}"))?;
    let acceptor = NoDelayAcceptor(TcpAcceptor::from_tokio(listener)?);
    Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(app, cancel.cancelled_owned(), Some(STOP_GRACE))
        .await
        .with_context(|| format!("serve {addr}"))
}
