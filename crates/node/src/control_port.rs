//! The control port: JSON-RPC from the system's other processes.

use std::net::SocketAddr;

use jj_operator::published::Published;
use jj_peer::control::{ControlServer, PublicationWire};
use jj_platform::config_reader::ConfigView;
use jj_utils::ids::ConfigIndex;
use jsonrpsee::{
    core::{RpcResult, async_trait},
    server::{Server, ServerHandle},
};
use tokio::sync::watch;

/// Answers control calls.
pub struct ControlPort {
    /// Configuration in force.
    pub config: watch::Receiver<ConfigView>,
}

#[async_trait]
impl ControlServer for ControlPort {
    async fn publication(&self, newer_than: ConfigIndex) -> RpcResult<Option<PublicationWire>> {
        let view = self.config.borrow();
        let newer = view
            .published
            .as_ref()
            .filter(|published| published.index > newer_than);
        Ok(newer.map(|published| publication(published)))
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

fn publication(published: &Published) -> PublicationWire {
    PublicationWire {
        index: published.index,
        manifest: published.bundle.manifest.clone(),
        documents: published.bundle.documents.clone(),
    }
}
