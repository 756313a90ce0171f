//! Requests in flight at each backend server, of this process and of the others.

use jj_policy::server_health::{HealthConfig, ServerHealth, Sign};
use jj_utils::{
    clock::Timestamp,
    collections::FastMap,
    ids::{BackendServerId, InstanceId},
};

use jj_news::{ServerTag, ServerUse, server_tag};

/// What this process knows of one server's load.
#[derive(Debug, Clone, Default)]
pub struct ServerLoad {
    /// Requests of this process.
    pub own: u32,
    /// Judgement by its answers.
    pub health: ServerHealth,
}

/// Loads of all servers.
#[derive(Debug, Default)]
pub struct Loads {
    servers: FastMap<BackendServerId, ServerLoad>,
    others: FastMap<InstanceId, FastMap<ServerTag, u32>>,
    health: HealthConfig,
    /// Rises with each change of this process's own requests.
    pub changes: u64,
}

impl Loads {
    /// Counts a request that is sent to a server.
    pub fn start(&mut self, server: &str) {
        self.servers.entry(server.to_owned()).or_default().own += 1;
        self.changes += 1;
    }

    /// Counts a request that has ended.
    pub fn end(&mut self, server: &str) {
        if let Some(load) = self.servers.get_mut(server) {
            load.own = load.own.saturating_sub(1);
        }
        self.changes += 1;
    }

    /// Takes in how an attempt ended.
    pub fn observe(&mut self, now: Timestamp, server: &str, sign: Sign) {
        let load = self.servers.entry(server.to_owned()).or_default();
        load.health.observe(&self.health, now, sign);
    }

    /// Requests of this process at a server.
    pub fn own(&self, server: &str) -> u32 {
        self.servers.get(server).map_or(0, |it| it.own)
    }

    /// Requests of the others at a server.
    pub fn others(&self, server: &str) -> u32 {
        let tag = server_tag(server);
        self.others.values().filter_map(|uses| uses.get(&tag)).sum()
    }

    /// Whether new requests should keep away from a server.
    pub fn is_avoided(&self, now: Timestamp, server: &str) -> bool {
        self.servers
            .get(server)
            .is_some_and(|it| it.health.is_avoided(now))
    }

    /// All requests of this process, for the others.
    pub fn uses(&self) -> Vec<ServerUse> {
        let busy = self.servers.iter().filter(|(_, load)| load.own > 0);
        busy.map(|(id, load)| ServerUse {
            server: server_tag(id),
            requests: load.own,
        })
        .collect()
    }

    /// Takes in all requests of another process.
    pub fn take_uses(&mut self, peer: &str, uses: &[ServerUse]) {
        let uses = uses.iter().map(|it| (it.server, it.requests)).collect();
        self.others.insert(peer.to_owned(), uses);
    }

    /// Drops the requests of a process that is gone.
    pub fn forget(&mut self, peer: &str) {
        self.others.remove(peer);
    }
}
