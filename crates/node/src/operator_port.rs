//! The operator port of an entry or agent.

use std::{net::SocketAddr, sync::Arc};

use jj_operator::{
    audit::AuditTrail,
    port::{self, PortContext, Readiness, Status},
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Opens the port and serves it in the background until the token is cancelled.
///
/// # Errors
/// If the address can't be bound or metrics are already installed.
pub async fn start(
    addr: SocketAddr,
    readiness: Readiness,
    status: Status,
    audit: Arc<AuditTrail>,
    token: CancellationToken,
) -> anyhow::Result<()> {
    let metrics = port::install_metrics()?;
    let listener = TcpListener::bind(addr).await?;
    let context = PortContext {
        metrics,
        readiness,
        status,
        audit,
    };
    tokio::spawn(port::serve_on(listener, context, token));
    Ok(())
}
