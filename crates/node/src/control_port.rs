//! The control port: a JSON-RPC server for the other processes of the system.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use futures_util::future::BoxFuture;

use jj_peer::{
    control::{ControlServer, ManifestWire},
    group::{ReplyWire, RequestWire},
};
use jj_platform::config_reader::ConfigView;
use jj_utils::ids::ConfigIndex;
use jsonrpsee::{
    core::{RpcResult, async_trait},
    server::{Server, ServerHandle},
};
use tokio::sync::watch;

/// Handles a request of a group's leader; returns the reply, if any.
pub type GroupHandler =
    Arc<dyn Fn(RequestWire) -> BoxFuture<'static, Option<ReplyWire>> + Send + Sync>;

/// Handler of control calls.
pub struct ControlPort {
    /// Configuration in force.
    pub config: watch::Receiver<ConfigView>,
    /// Handler of a group leader's requests, if this process is a rank's agent.
    pub group: Option<GroupHandler>,
}

#[async_trait]
impl ControlServer for ControlPort {
    async fn manifest(&self, newer_than: ConfigIndex) -> RpcResult<Option<ManifestWire>> {
        let published = self.config.borrow().published.clone();
        let newer = published.filter(|published| published.index > newer_than);
        Ok(newer.map(|published| ManifestWire {
            index: published.index,
            manifest: published.bundle.manifest.clone(),
        }))
    }

    async fn documents(&self, digests: Vec<String>) -> RpcResult<BTreeMap<String, String>> {
        let published = self.config.borrow().published.clone();
        let Some(published) = published else {
            return Ok(BTreeMap::new());
        };
        let held = &published.bundle.documents;
        let found = digests.into_iter().filter_map(|digest| {
            let text = held.get(&digest)?.clone();
            Some((digest, text))
        });
        Ok(found.collect())
    }

    async fn group(&self, request: RequestWire) -> RpcResult<Option<ReplyWire>> {
        match &self.group {
            Some(handle) => Ok(handle(request).await),
            None => Ok(None),
        }
    }
}

/// Serves control calls until the handle is stopped or dropped.
///
/// # Errors
/// If the address can't be bound.
pub async fn serve(addr: SocketAddr, port: ControlPort) -> anyhow::Result<ServerHandle> {
    let server = Server::builder().build(addr).await?;
    Ok(server.start(port.into_rpc()))
}
