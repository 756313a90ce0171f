//! The other entries: which are alive, and how recent each one's replica of the store is.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use jj_direct::instance_settings::InstanceSettings;
use jj_policy::{
    gossip::{EntryState, Gossip, GossipConfig, IncarnationTag, Member, MemberStatus},
    server_list::StorePosition,
};
use jj_utils::{
    clock::Timestamp,
    collections::FastMap,
    ids::{FailureDomainId, InstanceId},
};
use xxhash_rust::xxh3::xxh3_64;

/// Time for which an entry's report on its replica is used to choose a peer to fetch from.
const STORE_STATUS_EXPIRY: Duration = Duration::from_millis(1_500);

/// State of a replica of the store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaStatus {
    /// Position of the store up to which it is complete.
    pub position: StorePosition,
    /// Digest of its content.
    pub digest: u64,
}

impl ReplicaStatus {
    /// Returns whether this replica holds something newer than another one.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        let is_later = self.position > other.position;
        is_later && (self.position.era > other.position.era || self.digest != other.digest)
    }
}

/// Last report of an entry on its replica of the store.
#[derive(Debug, Clone, Copy)]
struct ReceivedStoreStatus {
    status: ReplicaStatus,
    received: Timestamp,
}

/// State of the other entries, by IP address.
#[derive(Debug)]
pub struct Peers {
    /// Membership of the entries.
    pub gossip: Gossip,
    names: FastMap<IpAddr, InstanceId>,
    store_status: FastMap<IpAddr, ReceivedStoreStatus>,
    /// Time of the last received datagram or gossip round, at which liveness is evaluated.
    pub(crate) now: Timestamp,
}

/// Returns the sort key of an entry in the order in which entries read the store: a hash, which
/// mixes the failure domains.
fn read_order_key(ip: IpAddr) -> u64 {
    xxh3_64(ip.to_string().as_bytes())
}

impl Peers {
    /// Returns the state in which no other entry is known.
    pub fn new(settings: &InstanceSettings, incarnation: IncarnationTag) -> Self {
        let own = MemberStatus {
            ip: settings.ip,
            incarnation,
            heartbeat: 0,
            heartbeat_age: Duration::ZERO,
            domain: settings.domain.clone(),
            state: EntryState::Starting,
        };
        Self {
            gossip: Gossip::new(GossipConfig::default(), own),
            names: FastMap::default(),
            store_status: FastMap::default(),
            now: Timestamp::ZERO,
        }
    }

    /// Returns the other entries with a recent heartbeat.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.gossip.alive_members(self.now)
    }

    /// Returns the number of other entries with a recent heartbeat.
    pub fn count_alive(&self) -> usize {
        self.alive().count()
    }

    /// Returns the addresses of the other live entries that accept requests.
    pub fn ready_ips(&self) -> impl Iterator<Item = IpAddr> {
        let ready = self.alive().map(|it| &it.status);
        let ready = ready.filter(|it| it.state == EntryState::Ready);
        ready.map(|it| it.ip)
    }

    /// Returns the number of live entries ahead of this one in the order in which entries read the
    /// store.
    pub fn count_ahead_in_read_order(&self) -> usize {
        let own = read_order_key(self.gossip.ip());
        let before = self.alive().filter(|it| read_order_key(it.status.ip) < own);
        before.count()
    }

    /// Returns up to `max_per_domain` live entries of each failure domain that are not leaving,
    /// possibly including this one, for agents to contact.
    pub fn ips_per_domain(&self, max_per_domain: usize) -> Vec<IpAddr> {
        let domains = self.gossip.staying_by_domain(self.now);
        let ips = domains.into_values();
        ips.flat_map(|ips| ips.into_iter().take(max_per_domain))
            .collect()
    }

    /// Records the name of an entry.
    pub fn set_name(&mut self, ip: IpAddr, name: InstanceId) {
        self.names.insert(ip, name);
    }

    /// Returns the name of an entry for the log, or its address if it has never sent its name.
    pub fn name_of(&self, ip: IpAddr) -> String {
        let name = self.names.get(&ip).cloned();
        name.unwrap_or_else(|| ip.to_string())
    }

    /// Records an entry's report on its replica of the store, and drops expired reports.
    pub fn record_store_status(&mut self, ip: IpAddr, status: ReplicaStatus) {
        let received = self.now;
        self.store_status
            .insert(ip, ReceivedStoreStatus { status, received });
        self.store_status
            .retain(|_, it| it.received + STORE_STATUS_EXPIRY >= received);
    }

    /// Picks an entry with the newest content among those whose replica is newer than this one's,
    /// preferably in the same failure domain; among equals the
    /// random number `draw` decides, which spreads the requests. `None` if there is none.
    pub fn pick_fresher_peer(&self, own: ReplicaStatus, draw: u64) -> Option<IpAddr> {
        let fresh = self.store_status.iter();
        let fresh = fresh.filter(|(_, it)| it.received + STORE_STATUS_EXPIRY >= self.now);
        let better = fresh.filter(|(_, it)| it.status.is_newer_than(&own));
        let newest = better.clone().max_by_key(|(_, it)| it.status.position)?;
        let newest = newest.1.status.digest;
        let is_same_domain = |ip: &IpAddr| {
            let member = self.gossip.member(*ip);
            member.is_some_and(|it| &it.status.domain == self.gossip.domain())
        };
        let mut holders: Vec<IpAddr> = better
            .filter(|(_, it)| it.status.digest == newest)
            .map(|(ip, _)| *ip)
            .collect();
        holders.sort_unstable_by_key(|ip| (!is_same_domain(ip), *ip));
        let same_domain_count = holders.iter().filter(|ip| is_same_domain(ip)).count();
        let choice = if same_domain_count > 0 {
            same_domain_count
        } else {
            holders.len()
        };
        holders.get(draw as usize % choice).copied()
    }

    /// Returns the failure domain of an entry, if it is known.
    pub fn domain_of(&self, ip: IpAddr) -> Option<&FailureDomainId> {
        self.gossip.member(ip).map(|it| &it.status.domain)
    }

    /// Returns the address of a peer's port; the port number is the same on all entries, and `own`
    /// is this entry's address with it.
    pub fn listen_addr(ip: IpAddr, own: Option<SocketAddr>) -> Option<SocketAddr> {
        own.map(|own| SocketAddr::new(ip, own.port()))
    }
}
