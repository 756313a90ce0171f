//! The other entries, as they were last heard.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use jj_news::{Hello, Standing};
use jj_utils::{clock::Timestamp, collections::FastMap, ids::FailureDomainId};

/// Silence after which an entry is no longer named to callers, and its requests no longer count.
pub const SILENT_AFTER: Duration = Duration::from_millis(1_200);

/// One other entry.
#[derive(Debug, Clone)]
pub struct Peer {
    /// What it said last.
    pub hello: Hello,
    /// When it was heard.
    pub heard: Timestamp,
    /// Number of its last message on requests in flight.
    pub number: u64,
}

/// Other entries by address.
#[derive(Debug, Default)]
pub struct Peers {
    /// Those that were heard.
    pub(crate) known: FastMap<IpAddr, Peer>,
    /// Addresses that may have an entry.
    pub(crate) asked: FastMap<IpAddr, Timestamp>,
    /// When this was last looked at.
    pub(crate) now: Timestamp,
}

impl Peers {
    /// Entries heard lately.
    pub fn alive(&self) -> impl Iterator<Item = &Peer> {
        let now = self.now;
        let known = self.known.values();
        known.filter(move |it| it.heard + SILENT_AFTER >= now)
    }

    /// Number of entries heard lately.
    pub fn count(&self) -> usize {
        self.alive().count()
    }

    /// Entries heard lately that take requests: domain and address for callers.
    pub fn ready(&self) -> impl Iterator<Item = (&FailureDomainId, SocketAddr)> {
        let ready = self
            .alive()
            .filter(|it| it.hello.standing == Standing::Ready);
        ready.map(|it| (&it.hello.domain, it.hello.traffic))
    }
}
