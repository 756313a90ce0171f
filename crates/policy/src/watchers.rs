//! Which agents of a group hear all others.
//!
//! In a small group every agent tells all others how its engine is. In a larger one all tell a few
//! watchers, of which one leads, and the watchers tell everybody that they live. All agents work the
//! watchers out from the order of the listed servers, and pass over those that are silent.
//!
//! Load pattern: groups of up to some hundred ranks, whose agents have a small part of a core and a
//! narrow link; a failure domain with its watcher is lost, or the agents are killed all at once.

use std::{net::SocketAddr, time::Duration};

use jj_utils::{clock::Timestamp, collections::FastMap, common_derives};

common_derives! {value:
    /// Tunables of the choice.
    pub struct WatcherConfig {
        /// Agents up to which all watch.
        pub max_small_group: usize,
        /// Watchers of a larger group.
        pub watcher_count: usize,
        /// Silence after which a watcher is passed over.
        pub silence_timeout: Duration,
    }
}

impl Default for WatcherConfig {
    fn default() -> Self {
        Self {
            max_small_group: 24,
            watcher_count: 4,
            silence_timeout: Duration::from_millis(1_100),
        }
    }
}

/// The watchers of one group as one agent sees them.
#[derive(Debug, Default)]
pub struct Watchers {
    config: WatcherConfig,
    /// Since when an agent has been counted on.
    since: FastMap<SocketAddr, Timestamp>,
    chosen: Vec<SocketAddr>,
    is_small: bool,
}

impl Watchers {
    /// Chooses the watchers among the servers of a group, in their common order; `heard` is when an
    /// agent beside a server was last heard.
    pub fn choose(
        &mut self,
        now: Timestamp,
        own: SocketAddr,
        order: &[SocketAddr],
        heard: impl Fn(SocketAddr) -> Option<Timestamp>,
    ) {
        self.is_small = order.len() <= self.config.max_small_group;
        if self.is_small {
            self.chosen = order.to_vec();
            return;
        }
        let mut chosen = Vec::new();
        let mut asked = 0;
        for server in order {
            if chosen.len() == self.config.watcher_count {
                break;
            }
            asked += 1;
            let since = *self.since.entry(*server).or_insert(now);
            let last = heard(*server).unwrap_or_default().max(since);
            if *server == own || last + self.config.silence_timeout >= now {
                chosen.push(*server);
            }
        }
        // Those further down are not told anything, so their silence means nothing.
        let counted = &order[..asked];
        self.since.retain(|server, _| counted.contains(server));
        self.chosen = chosen;
    }

    /// Servers whose agents watch.
    pub fn chosen(&self) -> &[SocketAddr] {
        &self.chosen
    }

    /// Whether every agent hears all others.
    pub fn all_agents_watch(&self) -> bool {
        self.is_small
    }

    /// Whether the agent beside a server watches.
    pub fn contains(&self, server: SocketAddr) -> bool {
        self.chosen.contains(&server)
    }
}
