//! Request rates that backend servers state in their responses as the most that they accept from all
//! processes together.
//!
//! A limit holds for as long as the server states it: a response without one ends it.

use jj_utils::{clock::Timestamp, collections::FastMap, ids::BackendServerId};

use crate::server_list::ServerIncarnation;

/// Request rate in requests per second.
pub type RequestRate = f64;

/// Maximum number of servers whose statements are kept.
const MAX_SERVERS: usize = 4_096;

/// Last statement of one server.
#[derive(Debug, Clone, PartialEq)]
struct Statement {
    /// Incarnation of the server that made it.
    incarnation: Option<ServerIncarnation>,
    /// The rate; `None` if the server accepts any.
    limit: Option<RequestRate>,
    /// When the statement was received.
    received: Timestamp,
}

impl Statement {
    /// Returns whether the statement is of an incarnation before the given one.
    fn is_of_earlier_incarnation(&self, incarnation: Option<ServerIncarnation>) -> bool {
        let incarnations = incarnation.zip(self.incarnation);
        incarnations.is_some_and(|(given, stated)| given > stated)
    }

    /// Returns whether the statement is of an incarnation after the given one.
    fn is_of_later_incarnation(&self, incarnation: Option<ServerIncarnation>) -> bool {
        let incarnations = incarnation.zip(self.incarnation);
        incarnations.is_some_and(|(given, stated)| given < stated)
    }
}

/// Returns the lower of two limits, where `None` is no limit.
fn lower(a: Option<RequestRate>, b: Option<RequestRate>) -> Option<RequestRate> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// Last statements of all servers that have stated a limit.
#[derive(Debug, Default)]
pub struct RateLimits {
    statements: FastMap<BackendServerId, Statement>,
}

impl RateLimits {
    /// Records what a response states that was received now, to a request sent at `sent`; returns
    /// whether that changes the server's limit.
    ///
    /// Responses on different connections may overtake each other. If the last statement was
    /// received after the request was sent, it may be the newer one, and the lower limit holds.
    pub fn record(
        &mut self,
        now: Timestamp,
        sent: Timestamp,
        server: &str,
        incarnation: Option<ServerIncarnation>,
        limit: Option<RequestRate>,
    ) -> bool {
        let known = self.statements.get(server);
        if known.is_some_and(|it| it.is_of_later_incarnation(incarnation)) {
            return false;
        }
        let known = known.filter(|it| !it.is_of_earlier_incarnation(incarnation));
        let before = known.and_then(|it| it.limit);
        if known.is_none() && limit.is_none() {
            self.statements.remove(server);
            return false;
        }
        let is_certainly_newer = known.is_none_or(|it| it.received <= sent);
        let limit = match is_certainly_newer {
            true => limit,
            false => lower(limit, before),
        };
        let incarnation = incarnation.or(known.and_then(|it| it.incarnation));
        self.evict_oldest(server);
        let statement = Statement {
            incarnation,
            limit,
            received: now,
        };
        self.statements.insert(server.to_owned(), statement);
        limit != before
    }

    /// Returns the limit that an incarnation of a server has stated; `None` if it accepts any rate.
    pub fn limit(
        &self,
        server: &str,
        incarnation: Option<ServerIncarnation>,
    ) -> Option<RequestRate> {
        let statement = self.statements.get(server);
        let statement = statement.filter(|it| !it.is_of_earlier_incarnation(incarnation));
        statement?.limit
    }

    /// Returns the number of servers that have a limit.
    pub fn count(&self) -> usize {
        let limited = self.statements.values().filter(|it| it.limit.is_some());
        limited.count()
    }

    /// Removes the oldest statement if there are too many.
    fn evict_oldest(&mut self, server: &str) {
        if self.statements.len() < MAX_SERVERS || self.statements.contains_key(server) {
            return;
        }
        let oldest = self.statements.iter().min_by_key(|(_, it)| it.received);
        if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
            self.statements.remove(&oldest);
        }
    }
}
