//! The HTTP server for callers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::future::BoxFuture;
use jj_utils::listener::NoDelayAcceptor;
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
    grace: Duration,
    token: CancellationToken,
) -> anyhow::Result<()> {
    let acceptor = NoDelayAcceptor::bind(addr).await?;
    let idle = config.idle_timeout;
    let server = Server::new_with_acceptor(acceptor).idle_timeout(idle);
    let routes = endpoint(config, handler);
    server
        .run_with_graceful_shutdown(routes, token.cancelled(), Some(grace))
        .await?;
    Ok(())
}

fn endpoint(config: CallerConfig, handler: Handler) -> impl Endpoint<Output = Response> {
    let config = Arc::new(config);
    endpoint::make(move |request: Request| {
        let config = Arc::clone(&config);
        let handler = Arc::clone(&handler);
        async move { Ok::<_, poem::Error>(respond(request, &config, &handler).await) }
    })
}

async fn respond(request: Request, config: &CallerConfig, handler: &Handler) -> Response {
    let request = match request::read(request, config).await {
        Ok(request) => request,
        Err(refusal) => return refusal.into_response(),
    };
    match handler(request).await {
        Ok(answer) => answer.into_response(),
        Err(refusal) => refusal.into_response(),
    }
}
