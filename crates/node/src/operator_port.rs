//! The operator port of an entry or agent.

use std::sync::Arc;

use jj_direct::limited_listener::LimitedListener;
use jj_operator::{
    audit::AuditTrail,
    port::{self, PortContext, Readiness, Status},
};
use jj_utils::clock::SystemClock;
use tokio_util::sync::CancellationToken;

use crate::settings::NodeSettings;

/// Opens the port and serves it in the background until the token is cancelled.
///
/// # Errors
/// If the address can't be bound or metrics are already installed.
pub fn start(
    node: &NodeSettings,
    readiness: Readiness,
    status: Status,
    audit: Arc<AuditTrail>,
    token: CancellationToken,
) -> anyhow::Result<()> {
    let metrics = port::install_metrics()?;
    let limit = node.limits.auxiliary_connections();
    let listener = LimitedListener::bind(node.operator_addr, SystemClock::shared(), limit)?;
    let context = PortContext {
        metrics,
        readiness,
        status,
        audit,
    };
    tokio::spawn(port::serve_on(listener, context, token));
    Ok(())
}
