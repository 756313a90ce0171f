//! The HTTP server for callers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::future::BoxFuture;
use jj_direct::{
    body::ResponseEndGuard,
    body_budget::BodyBudget,
    connection_table::ConnectionPhase,
    limited_listener::{CallerConnections, LimitedListener},
};
use jj_utils::clock::SharedClock;
use poem::{
    Request, Response, Server,
    endpoint::{self, Endpoint},
};
use tokio_util::sync::CancellationToken;

use crate::{
    answer::Answer,
    problem::Refusal,
    request::{self, CallerConfig, CallerRequest},
};

/// Function that handles one request.
pub type Handler =
    Arc<dyn Fn(CallerRequest) -> BoxFuture<'static, Result<Answer, Refusal>> + Send + Sync>;

/// Serves callers until `token` is cancelled, then waits up to `grace` for open requests.
///
/// # Errors
/// If the address can't be bound or the server fails.
pub async fn serve(
    addr: SocketAddr,
    config: CallerConfig,
    handler: Handler,
    clock: SharedClock,
    grace: Duration,
    token: CancellationToken,
) -> anyhow::Result<()> {
    let limit = config.limits.traffic_connections();
    let listener = LimitedListener::bind(addr, clock.clone(), limit)?;
    let port = Arc::new(Port {
        bodies: BodyBudget::new(config.limits.body_bytes(), clock),
        config,
        connections: listener.connections(),
        handler,
    });
    let server = Server::new_with_acceptor(listener).idle_timeout(port.config.idle_timeout);
    server
        .run_with_graceful_shutdown(endpoint(port), token.cancelled(), Some(grace))
        .await?;
    Ok(())
}

/// What the requests of the port have in common.
struct Port {
    config: CallerConfig,
    bodies: BodyBudget,
    connections: CallerConnections,
    handler: Handler,
}

fn endpoint(port: Arc<Port>) -> impl Endpoint<Output = Response> {
    endpoint::make(move |request: Request| {
        let port = Arc::clone(&port);
        async move { Ok::<_, poem::Error>(respond(request, &port).await) }
    })
}

async fn respond(request: Request, port: &Port) -> Response {
    let peer = request.remote_addr().as_socket_addr().copied();
    let status = peer.and_then(|peer| port.connections.status(&peer));
    let set_phase = |phase| {
        if let Some(status) = &status {
            status.set(phase);
        }
    };
    set_phase(ConnectionPhase::Body);
    let end = status.clone().map(ResponseEndGuard);
    let request = match request::read(request, &port.config, &port.bodies).await {
        Ok(request) => request,
        Err(refusal) => return refusal.into_response(),
    };
    set_phase(ConnectionPhase::Busy);
    match (port.handler)(request).await {
        Ok(answer) => answer.with_end_guard(end).into_response(),
        Err(refusal) => refusal.into_response(),
    }
}
