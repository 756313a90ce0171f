//! Chooses the watchers of a group: the agents that receive the status of all others.
//!
//! In a small group every agent sends its engine's status to all others. In a larger one all agents
//! send it to a few watchers, one of which leads, and the watchers send heartbeats to all agents.
//! Each agent computes the watchers from the common order of the listed servers, without those that
//! are silent.
//!
//! Load pattern: groups of up to some hundred ranks, whose agents have a fraction of a core and a
//! narrow link; a failure domain fails together with the watchers in it, or all agents are killed
//! at once.

use std::{net::SocketAddr, time::Duration};

use jj_utils::{clock::Timestamp, collections::FastMap, common_derives};

common_derives! {value:
    /// Settings of the choice of watchers.
    pub struct WatcherConfig {
        /// Maximum number of servers of a group in which all agents watch.
        pub max_small_group: usize,
        /// Number of watchers of a larger group.
        pub watcher_count: usize,
        /// Time without a message after which a watcher is replaced.
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

/// Watchers of one group, as one agent computes them.
#[derive(Debug, Default)]
pub struct Watchers {
    config: WatcherConfig,
    /// When an agent was first considered as a watcher; its silence is measured from then on.
    considered_since: FastMap<SocketAddr, Timestamp>,
    /// Servers whose agents watch.
    chosen: Vec<SocketAddr>,
    is_small: bool,
}

impl Watchers {
    /// Chooses the watchers among the servers of a group, which are in the same order for all
    /// agents. `own` is the server of this agent; `last_seen` returns when a message of the agent
    /// of a server was last received.
    pub fn choose(
        &mut self,
        now: Timestamp,
        own: SocketAddr,
        servers: &[SocketAddr],
        last_seen: impl Fn(SocketAddr) -> Option<Timestamp>,
    ) {
        self.is_small = servers.len() <= self.config.max_small_group;
        if self.is_small {
            self.chosen = servers.to_vec();
            return;
        }
        let mut chosen = Vec::new();
        let mut examined = 0;
        for server in servers {
            if chosen.len() == self.config.watcher_count {
                break;
            }
            examined += 1;
            let considered_since = *self.considered_since.entry(*server).or_insert(now);
            let last = last_seen(*server).unwrap_or_default().max(considered_since);
            if *server == own || last + self.config.silence_timeout >= now {
                chosen.push(*server);
            }
        }
        // Agents of later servers need not send heartbeats to this one, so their silence does not
        // show that they have failed.
        let examined_servers = &servers[..examined];
        self.considered_since
            .retain(|server, _| examined_servers.contains(server));
        self.chosen = chosen;
    }

    /// Returns the servers whose agents watch.
    pub fn chosen(&self) -> &[SocketAddr] {
        &self.chosen
    }

    /// Returns whether the group is small, so that every agent watches.
    pub fn all_agents_watch(&self) -> bool {
        self.is_small
    }

    /// Returns whether the agent of a server watches.
    pub fn contains(&self, server: SocketAddr) -> bool {
        self.chosen.contains(&server)
    }
}
