//! Notices that backend servers send with their responses: that they are leaving, or want no new
//! requests for a while.
//!
//! A leaving server finishes its requests and says so in its responses; a full one may name a time
//! during which it wants none. Both bind the process that received the response, whatever the
//! platform's list or other processes report about the server later. A leave ends only with another
//! incarnation of the server.
//!
//! Load pattern: the servers of a service are replaced one after the other while all are near
//! capacity, and full ones reject requests. Requests that are sent anyway take capacity from
//! the work that these servers still have to finish.

use std::time::Duration;

use jj_utils::{clock::Timestamp, collections::FastMap, common_derives, ids::BackendServerId};

use crate::server_list::ServerIncarnation;

common_derives! {value:
    /// Limits on what servers may ask for.
    pub struct NoticeConfig {
        /// Time before the end of the drain at which a leaving server gets no more requests, to
        /// allow for their transit.
        pub drain_margin: Duration,
        /// Maximum pause that a server may ask for; it can ask again afterwards.
        pub max_pause: Duration,
        /// Maximum number of servers whose notices are kept.
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
        /// The server is leaving and gets only requests that no other server can take.
        LastResort,
        /// The server wants no new requests for a while.
        Paused {
            /// End of the pause.
            until: Timestamp,
        },
        /// The server is leaving and gets no more requests.
        Closed,
    }
}

impl ServerAccess {
    /// Returns whether a request may be sent at all.
    pub fn is_allowed(self) -> bool {
        matches!(self, Self::Open | Self::LastResort)
    }
}

/// Notices of one server.
#[derive(Debug, Clone, Default)]
struct Notice {
    /// Incarnation of the server that sent them.
    incarnation: Option<ServerIncarnation>,
    /// Time of the first notice that it is leaving.
    leaving_since: Option<Timestamp>,
    /// End of the last pause.
    paused_until: Timestamp,
    /// Time of the last notice.
    last_received: Timestamp,
}

impl Notice {
    /// Returns whether the notice is of an incarnation before the given one.
    fn is_of_earlier_incarnation(&self, incarnation: Option<ServerIncarnation>) -> bool {
        let incarnations = incarnation.zip(self.incarnation);
        incarnations.is_some_and(|(given, noticed)| given > noticed)
    }
}

/// Notices of all servers, by server.
#[derive(Debug, Default)]
pub struct ServerNotices {
    config: NoticeConfig,
    notices: FastMap<BackendServerId, Notice>,
}

impl ServerNotices {
    /// Records that an incarnation of a server is leaving; returns whether that was not known.
    pub fn record_leave(
        &mut self,
        now: Timestamp,
        server: &str,
        incarnation: Option<ServerIncarnation>,
    ) -> bool {
        let Some(notice) = self.notice(now, server, incarnation) else {
            return false;
        };
        let is_new = notice.leaving_since.is_none();
        notice.leaving_since.get_or_insert(now);
        is_new
    }

    /// Records that a server wants no requests for a time; returns when that ends.
    pub fn record_pause(
        &mut self,
        now: Timestamp,
        server: &str,
        incarnation: Option<ServerIncarnation>,
        pause: Duration,
    ) -> Timestamp {
        let until = now + pause.min(self.config.max_pause);
        let Some(notice) = self.notice(now, server, incarnation) else {
            return now;
        };
        notice.paused_until = notice.paused_until.max(until);
        notice.paused_until
    }

    /// Returns whether a server may get new requests, given its incarnation and the time that a
    /// leaving server takes to drain.
    pub fn access(
        &self,
        now: Timestamp,
        server: &str,
        incarnation: Option<ServerIncarnation>,
        drain: Duration,
    ) -> ServerAccess {
        let notice = self
            .notices
            .get(server)
            .filter(|it| !it.is_of_earlier_incarnation(incarnation));
        let Some(notice) = notice else {
            return ServerAccess::Open;
        };
        let send_period = drain.saturating_sub(self.config.drain_margin);
        let is_over = |since: Timestamp| now >= since + send_period;
        if notice.leaving_since.is_some_and(is_over) {
            return ServerAccess::Closed;
        }
        if now < notice.paused_until {
            let until = notice.paused_until;
            return ServerAccess::Paused { until };
        }
        match notice.leaving_since {
            Some(_) => ServerAccess::LastResort,
            None => ServerAccess::Open,
        }
    }

    /// Returns the notice of a server for writing, or `None` if it is of a later incarnation than
    /// the given one.
    fn notice(
        &mut self,
        now: Timestamp,
        server: &str,
        incarnation: Option<ServerIncarnation>,
    ) -> Option<&mut Notice> {
        self.evict_oldest(server);
        let notice = self.notices.entry(server.to_owned()).or_default();
        if notice
            .incarnation
            .zip(incarnation)
            .is_some_and(|(known, given)| given < known)
        {
            return None;
        }
        if notice.is_of_earlier_incarnation(incarnation) {
            *notice = Notice::default();
        }
        notice.incarnation = incarnation.or(notice.incarnation);
        notice.last_received = now;
        Some(notice)
    }

    /// Removes the server with the oldest notice if there are too many.
    fn evict_oldest(&mut self, server: &str) {
        if self.notices.len() < self.config.max_servers || self.notices.contains_key(server) {
            return;
        }
        let oldest = self.notices.iter().min_by_key(|(_, it)| it.last_received);
        if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
            self.notices.remove(&oldest);
        }
    }
}

common_derives! {copy:
    /// Decision on a request while no server of its service accepts it.
    pub enum PauseAction {
        /// Queue like any other request: a server accepts it in time.
        Wait,
        /// Reject at once, with this retry delay.
        Reject(Duration),
    }
}

/// Time over which retries are spread that would otherwise arrive together when a pause ends.
const RETRY_SPREAD: Duration = Duration::from_millis(400);

/// Retry delay if this process may send to none of the servers: others may.
const DELAY_WITHOUT_OPENING: Duration = Duration::from_millis(500);

/// Decides on a request that is rejected at `reject_at` at the latest, where a server accepts it at
/// `opening`, or none does. `draw` is a random number that spreads the retries.
pub fn decide_while_paused(
    now: Timestamp,
    opening: Option<Timestamp>,
    reject_at: Timestamp,
    draw: u64,
) -> PauseAction {
    if opening.is_some_and(|it| it < reject_at) {
        return PauseAction::Wait;
    }
    let delay = opening.map_or(DELAY_WITHOUT_OPENING, |it| it.saturating_sub(now));
    let part = draw as f64 / u64::MAX as f64;
    PauseAction::Reject(delay + RETRY_SPREAD.mul_f64(part))
}
