//! The other entries: who is alive, and what each knows of the store.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use jj_direct::instance::InstanceSettings;
use jj_news::StoreStatus;
use jj_policy::gossip::{EntryState, Gossip, GossipConfig, IncarnationTag, Member, MemberStatus};
use jj_utils::{
    clock::Timestamp,
    collections::FastMap,
    ids::{FailureDomainId, InstanceId},
};
use xxhash_rust::xxh3::xxh3_64;

/// Time for which an entry is asked for what it said that it knows of the store.
const STORE_WORD_LIFE: Duration = Duration::from_millis(1_500);

/// What an entry said last of the store.
#[derive(Debug, Clone, Copy)]
struct StoreWord {
    news: StoreStatus,
    heard: Timestamp,
}

/// Other entries by address.
#[derive(Debug)]
pub struct Peers {
    /// Who is alive.
    pub gossip: Gossip,
    names: FastMap<IpAddr, InstanceId>,
    store: FastMap<IpAddr, StoreWord>,
    /// When this was last looked at.
    pub(crate) now: Timestamp,
}

/// Place of an entry in an order that goes round the failure domains.
fn turn(ip: IpAddr) -> u64 {
    xxh3_64(ip.to_string().as_bytes())
}

impl Peers {
    /// Nobody is known.
    pub fn new(settings: &InstanceSettings, life: IncarnationTag) -> Self {
        let own = MemberStatus {
            ip: settings.ip,
            incarnation: life,
            heartbeat: 0,
            heartbeat_age: Duration::ZERO,
            domain: settings.domain.clone(),
            state: EntryState::Starting,
        };
        Self {
            gossip: Gossip::new(GossipConfig::default(), own),
            names: FastMap::default(),
            store: FastMap::default(),
            now: Timestamp::ZERO,
        }
    }

    /// Entries heard of lately.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.gossip.alive_members(self.now)
    }

    /// Number of entries heard of lately.
    pub fn count_alive(&self) -> usize {
        self.alive().count()
    }

    /// Addresses of entries heard of lately that take requests.
    pub fn ready_ips(&self) -> impl Iterator<Item = IpAddr> {
        let ready = self.alive().map(|it| &it.status);
        let ready = ready.filter(|it| it.state == EntryState::Ready);
        ready.map(|it| it.ip)
    }

    /// Entries heard of lately that come before this one where all take turns.
    pub fn count_ahead_in_read_order(&self) -> usize {
        let own = turn(self.gossip.ip());
        let before = self.alive().filter(|it| turn(it.status.ip) < own);
        before.count()
    }

    /// Up to `each` entries of each failure domain that agents may ask, this one among them.
    pub fn ips_per_domain(&self, each: usize) -> Vec<IpAddr> {
        let domains = self.gossip.staying_by_domain(self.now);
        let ips = domains.into_values();
        ips.flat_map(|ips| ips.into_iter().take(each)).collect()
    }

    /// Notes the name of an entry.
    pub fn set_name(&mut self, ip: IpAddr, name: InstanceId) {
        self.names.insert(ip, name);
    }

    /// Name of an entry for the log; its address where it was never heard itself.
    pub fn name_of(&self, ip: IpAddr) -> String {
        let name = self.names.get(&ip).cloned();
        name.unwrap_or_else(|| ip.to_string())
    }

    /// Notes what an entry said of the store.
    pub fn record_store_status(&mut self, ip: IpAddr, news: StoreStatus) {
        let heard = self.now;
        self.store.insert(ip, StoreWord { news, heard });
        self.store
            .retain(|_, it| it.heard + STORE_WORD_LIFE >= heard);
    }

    /// An entry that knows more of the store than this one, one in the same failure domain first;
    /// `draw` is a random number that spreads the questions.
    pub fn pick_fresher_peer(&self, own: StoreStatus, draw: u64) -> Option<IpAddr> {
        let fresh = self.store.iter();
        let fresh = fresh.filter(|(_, it)| it.heard + STORE_WORD_LIFE >= self.now);
        let better =
            fresh.filter(|(_, it)| it.news.revision > own.revision && it.news.digest != own.digest);
        let newest = better
            .clone()
            .max_by_key(|(_, it)| it.news.revision)?
            .1
            .news
            .digest;
        let is_near = |ip: &IpAddr| {
            let member = self.gossip.member(*ip);
            member.is_some_and(|it| &it.status.domain == self.gossip.domain())
        };
        let mut knowing: Vec<IpAddr> = better
            .filter(|(_, it)| it.news.digest == newest)
            .map(|(ip, _)| *ip)
            .collect();
        knowing.sort_unstable_by_key(|ip| (!is_near(ip), *ip));
        let near = knowing.iter().filter(|ip| is_near(ip)).count();
        let choice = if near > 0 { near } else { knowing.len() };
        knowing.get(draw as usize % choice).copied()
    }

    /// The failure domain of an entry.
    pub fn domain_of(&self, ip: IpAddr) -> Option<&FailureDomainId> {
        self.gossip.member(ip).map(|it| &it.status.domain)
    }

    /// Where an entry listens on a port that all have in common with this one.
    pub fn listen_addr(ip: IpAddr, own: Option<SocketAddr>) -> Option<SocketAddr> {
        own.map(|own| SocketAddr::new(ip, own.port()))
    }
}
