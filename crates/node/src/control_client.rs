//! JSON-RPC clients of other processes' control ports.

use std::{net::SocketAddr, time::Duration};

use jj_utils::collections::FastMap;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};

/// Timeout of a control call.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Clients by address, each with its own connections.
#[derive(Debug, Default)]
pub struct ControlClients {
    clients: FastMap<SocketAddr, HttpClient>,
}

impl ControlClients {
    /// Returns the client of an address, and creates it on first use.
    ///
    /// # Errors
    /// If the client can't be built.
    pub fn get(&mut self, addr: SocketAddr) -> anyhow::Result<HttpClient> {
        if let Some(client) = self.clients.get(&addr) {
            return Ok(client.clone());
        }
        let client = build_client(addr)?;
        self.clients.insert(addr, client.clone());
        Ok(client)
    }

    /// Drops clients whose address is no longer in use.
    pub fn retain(&mut self, in_use: impl Fn(&SocketAddr) -> bool) {
        self.clients.retain(|addr, _| in_use(addr));
    }
}

/// Creates a client of one address.
///
/// # Errors
/// If the client can't be built.
pub fn build_client(addr: SocketAddr) -> anyhow::Result<HttpClient> {
    let builder = HttpClientBuilder::default().request_timeout(CALL_TIMEOUT);
    Ok(builder.build(format!("http://{addr}"))?)
}
