//! What backend servers ask of those who send to them: no new requests before they end, or none for a
//! while.
//!
//! A server that leaves finishes what it has and says so in its answers; one that is full may name the time
//! for which it wants nothing. Both bind the process that got the answer, whatever the platform's list or
//! other processes say of the server afterwards. Only another life of the server ends a leave.
//!
//! Load pattern: the servers of a service are replaced one after the other while all of them are near their
//! capacity, and the full ones turn requests away; whoever sends on takes their places from the work
//! that they still have to finish.

use std::time::Duration;

use jj_utils::{clock::Timestamp, collections::FastMap, common_derives, ids::BackendServerId};

use crate::server_list::ServerIncarnation;

common_derives! {value:
    /// Tunables of what servers are believed.
    pub struct NoticeConfig {
        /// Time before the end of the drain at which a leaving server gets nothing more, since a request
        /// still has to get there.
        pub drain_margin: Duration,
        /// Longest pause that a server is believed; one that wants more says so again after it.
        pub max_pause: Duration,
        /// Most servers whose notices are kept.
        pub max_servers: usize,
    }
}

impl Default for NoticeConfig {
    fn default() -> Self {
        Self {
            drain_margin: Duration::from_millis(500),
            max_pause: Duration::from_secs(60),
            max_servers: 4_096,
        }
    }
}

common_derives! {copy:
    /// Whether a server may get new requests.
    pub enum ServerAccess {
        /// It may.
        Open,
        /// It leaves, and may get what no other server can take.
        LastResort,
        /// It wants nothing for a while.
        Paused {
            /// When that ends.
            until: Timestamp,
        },
        /// It leaves and may get nothing more.
        Closed,
    }
}

impl ServerAccess {
    /// Whether a request may be sent at all.
    pub fn is_allowed(self) -> bool {
        matches!(self, Self::Open | Self::LastResort)
    }
}

/// What one server has said.
#[derive(Debug, Clone, Default)]
struct Notice {
    /// Its life when it said so.
    life: Option<ServerIncarnation>,
    /// When it was first known to leave.
    leaving: Option<Timestamp>,
    /// Until when it wants nothing.
    paused: Timestamp,
    /// When the last of this was heard.
    heard: Timestamp,
}

impl Notice {
    /// Whether it is of an earlier life than this one.
    fn is_past(&self, life: Option<ServerIncarnation>) -> bool {
        let lives = life.zip(self.life);
        lives.is_some_and(|(now, then)| now > then)
    }
}

/// What servers have said, by their ids.
#[derive(Debug, Default)]
pub struct ServerNotices {
    config: NoticeConfig,
    notices: FastMap<BackendServerId, Notice>,
}

impl ServerNotices {
    /// Takes in that a server leaves, in the life in which it was sent to; true where that was not known.
    pub fn record_leave(
        &mut self,
        now: Timestamp,
        server: &str,
        life: Option<ServerIncarnation>,
    ) -> bool {
        let Some(notice) = self.notice(now, server, life) else {
            return false;
        };
        let is_new = notice.leaving.is_none();
        notice.leaving.get_or_insert(now);
        is_new
    }

    /// Takes in that a server wants nothing for a time; when that ends.
    pub fn record_pause(
        &mut self,
        now: Timestamp,
        server: &str,
        life: Option<ServerIncarnation>,
        pause: Duration,
    ) -> Timestamp {
        let until = now + pause.min(self.config.max_pause);
        let Some(notice) = self.notice(now, server, life) else {
            return now;
        };
        notice.paused = notice.paused.max(until);
        notice.paused
    }

    /// Whether a server, in the life that is known of it, may get new requests; `drain` is the time for
    /// which leaving servers go on.
    pub fn access(
        &self,
        now: Timestamp,
        server: &str,
        life: Option<ServerIncarnation>,
        drain: Duration,
    ) -> ServerAccess {
        let notice = self.notices.get(server).filter(|it| !it.is_past(life));
        let Some(notice) = notice else {
            return ServerAccess::Open;
        };
        let last = drain.saturating_sub(self.config.drain_margin);
        let is_over = |since: Timestamp| now >= since + last;
        if notice.leaving.is_some_and(is_over) {
            return ServerAccess::Closed;
        }
        if now < notice.paused {
            let until = notice.paused;
            return ServerAccess::Paused { until };
        }
        match notice.leaving {
            Some(_) => ServerAccess::LastResort,
            None => ServerAccess::Open,
        }
    }

    /// The notice of a server to write to; none where it is of a later life than the one given.
    fn notice(
        &mut self,
        now: Timestamp,
        server: &str,
        life: Option<ServerIncarnation>,
    ) -> Option<&mut Notice> {
        self.make_room(server);
        let notice = self.notices.entry(server.to_owned()).or_default();
        if notice
            .life
            .zip(life)
            .is_some_and(|(known, told)| told < known)
        {
            return None;
        }
        if notice.is_past(life) {
            *notice = Notice::default();
        }
        notice.life = life.or(notice.life);
        notice.heard = now;
        Some(notice)
    }

    /// Forgets the server that was heard of least lately where there are too many.
    fn make_room(&mut self, server: &str) {
        if self.notices.len() < self.config.max_servers || self.notices.contains_key(server) {
            return;
        }
        let oldest = self.notices.iter().min_by_key(|(_, it)| it.heard);
        if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
            self.notices.remove(&oldest);
        }
    }
}

common_derives! {copy:
    /// What to do with a request all of whose servers want nothing for a while.
    pub enum PauseAction {
        /// Have it wait as for any room: one of them opens in time.
        Wait,
        /// Reject it at once; the caller may come back after this time.
        Reject(Duration),
    }
}

/// Time over which callers are spread that were sent away until the same moment.
const RETURN_SPREAD: Duration = Duration::from_millis(400);

/// What to do with a request that would be given up at one time and whose first server opens at another;
/// `draw` is a random number that spreads the callers.
pub fn decide_while_paused(
    now: Timestamp,
    opens: Timestamp,
    give_up: Timestamp,
    draw: u64,
) -> PauseAction {
    if opens < give_up {
        return PauseAction::Wait;
    }
    let part = draw as f64 / u64::MAX as f64;
    PauseAction::Reject(opens.saturating_sub(now) + RETURN_SPREAD.mul_f64(part))
}
