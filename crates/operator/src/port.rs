//! The operators' port: metrics, health, readiness, status and the audit trail.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use poem::{
    EndpointExt, IntoEndpoint, Response, Route, Server, get, handler,
    http::StatusCode,
    listener::TcpAcceptor,
    web::{Data, Json},
};
use tokio_util::sync::CancellationToken;

use crate::audit::{AuditEntry, AuditTrail};

/// Time between two clean-ups of old samples.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Time that open calls get when the port closes.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest idle time of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Tells whether the process takes work: `Err` says why not.
pub type Readiness = Arc<dyn Fn() -> Result<(), String> + Send + Sync>;

/// What the process believes, and why, as JSON.
pub type Status = Arc<dyn Fn() -> serde_json::Value + Send + Sync>;

/// What the port shows.
#[derive(Clone)]
pub struct PortContext {
    /// Renders the metrics.
    pub metrics: PrometheusHandle,
    /// Whether the process takes work.
    pub readiness: Readiness,
    /// What the process believes.
    pub status: Status,
    /// Its audit trail.
    pub audit: Arc<AuditTrail>,
}

/// Installs the process's metrics recorder.
///
/// # Errors
/// When one is installed already.
pub fn install_metrics() -> anyhow::Result<PrometheusHandle> {
    Ok(PrometheusBuilder::new().install_recorder()?)
}

/// Binds `addr` and serves the port until the token is cancelled.
///
/// # Errors
/// When the address cannot be bound.
pub async fn serve(
    addr: SocketAddr,
    context: PortContext,
    token: CancellationToken,
) -> anyhow::Result<()> {
    let listener = tokio::net::TcpListener::bind(addr).await?;
    serve_on(listener, context, token).await
}

/// Serves the port on a bound listener until the token is cancelled.
///
/// # Errors
/// When the listener fails.
pub async fn serve_on(
    listener: tokio::net::TcpListener,
    context: PortContext,
    token: CancellationToken,
) -> anyhow::Result<()> {
    let upkeep = keep_up(context.metrics.clone(), token.clone());
    let server =
        Server::new_with_acceptor(TcpAcceptor::from_tokio(listener)?).idle_timeout(IDLE_TIMEOUT);
    let closed = token.cancelled_owned();
    let served = server.run_with_graceful_shutdown(routes(context), closed, Some(CLOSE_TIMEOUT));
    let ((), served) = tokio::join!(upkeep, served);
    Ok(served?)
}

/// The port's routes, for a process that serves them beside others.
pub fn routes(context: PortContext) -> impl IntoEndpoint {
    Route::new()
        .at("/metrics", get(metrics_text))
        .at("/healthz", get(health))
        .at("/readyz", get(readiness))
        .at("/status", get(status))
        .at("/audit", get(audit))
        .data(context)
}

async fn keep_up(metrics: PrometheusHandle, token: CancellationToken) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(UPKEEP_INTERVAL) => metrics.run_upkeep(),
            () = token.cancelled() => return,
        }
    }
}

#[handler]
fn metrics_text(Data(context): Data<&PortContext>) -> Response {
    Response::builder()
        .content_type("text/plain; version=0.0.4")
        .body(context.metrics.render())
}

#[handler]
fn health() -> &'static str {
    "ok\n"
}

#[handler]
fn readiness(Data(context): Data<&PortContext>) -> Response {
    match (context.readiness)() {
        Ok(()) => Response::builder().body("ready\n"),
        Err(reason) => Response::builder()
            .status(StatusCode::SERVICE_UNAVAILABLE)
            .body(format!("not ready: {reason}\n")),
    }
}

#[handler]
fn status(Data(context): Data<&PortContext>) -> Json<serde_json::Value> {
    Json((context.status)())
}

#[handler]
fn audit(Data(context): Data<&PortContext>) -> Json<Vec<AuditEntry>> {
    Json(context.audit.recent())
}
