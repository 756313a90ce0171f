//! The operator port: metrics, health, readiness, status and the audit trail.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use poem::{
    EndpointExt, IntoEndpoint, Response, Route, Server, get, handler,
    http::StatusCode,
    listener::{Acceptor, TcpAcceptor},
    web::{Data, Json},
};
use tokio_util::sync::CancellationToken;

use crate::audit::{AuditEntry, AuditTrail};

/// Interval of the metrics recorder's upkeep, which drops old samples.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Longest wait for open calls when the port closes.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest idle time of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns whether the process takes work; `Err` holds the reason if not.
pub type Readiness = Arc<dyn Fn() -> Result<(), String> + Send + Sync>;

/// Returns the status of the process as JSON.
pub type Status = Arc<dyn Fn() -> serde_json::Value + Send + Sync>;

/// Data sources of the port.
#[derive(Clone)]
pub struct PortContext {
    /// Renderer of the metrics.
    pub metrics: PrometheusHandle,
    /// Readiness check.
    pub readiness: Readiness,
    /// Source of the status document.
    pub status: Status,
    /// Audit trail of the process.
    pub audit: Arc<AuditTrail>,
}

/// Installs the process's metrics recorder.
///
/// # Errors
/// If one is already installed.
pub fn install_metrics() -> anyhow::Result<PrometheusHandle> {
    Ok(PrometheusBuilder::new().install_recorder()?)
}

/// Binds `addr` and serves the port until the token is cancelled.
///
/// # Errors
/// If the address cannot be bound.
pub async fn serve(
    addr: SocketAddr,
    context: PortContext,
    token: CancellationToken,
) -> anyhow::Result<()> {
    let listener = tokio::net::TcpListener::bind(addr).await?;
    serve_on(TcpAcceptor::from_tokio(listener)?, context, token).await
}

/// Serves the port on a listener until the token is cancelled.
///
/// # Errors
/// If the listener fails.
pub async fn serve_on(
    listener: impl Acceptor + 'static,
    context: PortContext,
    token: CancellationToken,
) -> anyhow::Result<()> {
    let upkeep = run_upkeep_loop(context.metrics.clone(), token.clone());
    let server = Server::new_with_acceptor(listener).idle_timeout(IDLE_TIMEOUT);
    let closed = token.cancelled_owned();
    let served = server.run_with_graceful_shutdown(routes(context), closed, Some(CLOSE_TIMEOUT));
    let ((), served) = tokio::join!(upkeep, served);
    Ok(served?)
}

/// Returns the port's routes.
pub fn routes(context: PortContext) -> impl IntoEndpoint {
    Route::new()
        .at("/metrics", get(metrics_text))
        .at("/healthz", get(health))
        .at("/readyz", get(readiness))
        .at("/status", get(status))
        .at("/audit", get(audit))
        .data(context)
}

async fn run_upkeep_loop(metrics: PrometheusHandle, token: CancellationToken) {
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
