//! The control port: JSON-RPC from the system's other processes.

use std::{net::SocketAddr, sync::Arc};

use jj_peer::control::{ControlServer, Heartbeat, PublicationWire};
use jj_utils::ids::{FailureDomainId, Incarnation, InstanceId};
use jsonrpsee::{
    core::{RpcResult, async_trait},
    server::{Server, ServerHandle},
};

use crate::{control::Control, lifecycle::Lifecycle};

/// Answers control calls.
pub struct ControlPort {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Life of this agent.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// For the load report.
    pub control: Control,
    /// Whether new work is taken.
    pub lifecycle: Arc<Lifecycle>,
}

#[async_trait]
impl ControlServer for ControlPort {
    async fn heartbeat(&self, _from: Heartbeat) -> RpcResult<Heartbeat> {
        Ok(Heartbeat {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            domain: self.domain.clone(),
            draining: self.lifecycle.refusal().is_some(),
            load: Some((*self.control.load()).clone()),
            ..Heartbeat::default()
        })
    }

    async fn publication(
        &self,
        _wanted: Option<Vec<String>>,
    ) -> RpcResult<Option<PublicationWire>> {
        Ok(None)
    }
}

/// Serves control calls until the handle is stopped or dropped.
///
/// # Errors
/// When the address can't be bound.
pub async fn serve(addr: SocketAddr, port: ControlPort) -> anyhow::Result<ServerHandle> {
    let server = Server::builder().build(addr).await?;
    Ok(server.start(port.into_rpc()))
}
