//! The control port: a JSON-RPC server for the other processes of the system.

use std::{collections::BTreeMap, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use futures_util::future::BoxFuture;

use jj_direct::limited_listener::LimitedListener;
use jj_peer::{
    control::{ControlServer, ManifestWire},
    group::{ReplyWire, RequestWire},
};
use jj_platform::config_reader::ConfigView;
use jj_policy::process_limits::ProcessLimits;
use jj_utils::{clock::SharedClock, ids::ConfigIndex};
use jsonrpsee::{
    core::{RpcResult, async_trait},
    server::{
        Server, ServerConfig, ServerHandle, StopHandle, serve_with_graceful_shutdown, stop_channel,
    },
};
use tokio::sync::watch;

/// Pause after a failed accept, for instance when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

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

/// Largest control call, in bytes: a whole map of a group of 1,024 ranks with 32 slots has half of that.
const MAX_CALL_BYTES: u32 = 256 * 1024;

/// Serves control calls until the handle is stopped or dropped.
///
/// # Errors
/// If the address can't be bound.
pub fn serve(
    addr: SocketAddr,
    clock: SharedClock,
    limits: &ProcessLimits,
    port: ControlPort,
) -> anyhow::Result<ServerHandle> {
    let limit = limits.control_connections();
    let listener = LimitedListener::bind(addr, clock, limit)?;
    let (stop, handle) = stop_channel();
    tokio::spawn(accept_calls(listener, port, stop));
    Ok(handle)
}

/// Accepts connections and serves their calls until the port is stopped.
async fn accept_calls(listener: LimitedListener, port: ControlPort, stop: StopHandle) {
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_CALL_BYTES)
        .http_only()
        .build();
    let service = Server::builder().set_config(config).to_service_builder();
    let methods = port.into_rpc();
    let mut stopped = pin!(stop.clone().shutdown());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept_next() => accepted,
            () = &mut stopped => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let service = service.clone().build(methods.clone(), stop.clone());
                let stopped = stop.clone().shutdown();
                tokio::spawn(serve_with_graceful_shutdown(stream, service, stopped));
            }
            Err(error) => {
                log::warn!("accepting a control call failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
