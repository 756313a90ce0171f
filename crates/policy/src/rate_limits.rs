//! Request rates that backend servers state in their responses as the most that they accept from all
//! processes together.
//!
//! A limit holds for as long as the server states it: a response without one ends it. Entries tell
//! each other what servers have stated, since a limited server responds to few of them; the latest
//! statement counts.

use std::time::Duration;

use jj_utils::{clock::Timestamp, collections::FastMap, common_derives, ids::BackendServerId};

use crate::server_list::ServerIncarnation;

/// Request rate in requests per second.
pub type RequestRate = f64;

/// Maximum number of servers whose statements are kept.
const MAX_SERVERS: usize = 4_096;

/// Time after which a statement that no response has confirmed is forgotten: the server is gone, or
/// has had no requests for long.
const STATEMENT_EXPIRY: Duration = Duration::from_secs(600);

/// Time for which the end of a limit is told to other entries.
const END_NEWS_TIME: Duration = Duration::from_secs(30);

common_derives! {wire:
    /// What a server has stated, told to another entry.
    pub struct RateStatement {
        /// The server.
        pub server: BackendServerId,
        /// Its incarnation, if it is known.
        pub incarnation: Option<ServerIncarnation>,
        /// The rate; `None` if the server accepts any again.
        pub limit: Option<RequestRate>,
        /// Time since the statement was received from the server, in milliseconds.
        pub age_ms: u32,
    }
}

impl RateStatement {
    /// Returns whether the rate is a finite number that is not negative.
    pub fn is_valid(&self) -> bool {
        let limit = self.limit.unwrap_or_default();
        limit.is_finite() && limit >= 0.0
    }
}

common_derives! {copy:
    /// Effect of what another entry tells of a server.
    pub enum NewsEffect {
        /// The server's limit has changed.
        Changed,
        /// The limit stays as it was.
        Known,
        /// A later statement with another limit is known here, which the other entry needs.
        Outdated,
    }
}

/// Last statement of one server.
#[derive(Debug, Clone, PartialEq)]
struct Statement {
    /// Incarnation of the server that made it.
    incarnation: Option<ServerIncarnation>,
    /// The rate; `None` if the server accepts any.
    limit: Option<RequestRate>,
    /// When the statement was received.
    received: Timestamp,
    /// When the first statement of this limit was received.
    since: Timestamp,
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

    /// Returns the statement as it is told to other entries.
    fn to_news(&self, now: Timestamp, server: &str) -> RateStatement {
        let age = now.saturating_sub(self.received).as_millis();
        RateStatement {
            server: server.to_owned(),
            incarnation: self.incarnation,
            limit: self.limit,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
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
        let known = self.known(server, incarnation);
        let is_certainly_newer = known.is_none_or(|it| it.received <= sent);
        let limit = match is_certainly_newer {
            true => limit,
            false => lower(limit, known.and_then(|it| it.limit)),
        };
        let statement = Statement {
            incarnation,
            limit,
            received: now,
            since: now,
        };
        self.replace(server, statement)
    }

    /// Applies what another entry tells.
    pub fn apply(&mut self, now: Timestamp, told: &RateStatement) -> NewsEffect {
        let age = Duration::from_millis(u64::from(told.age_ms));
        let received = now.saturating_sub(age);
        let known = self.known(&told.server, told.incarnation);
        if let Some(known) = known.filter(|it| received <= it.received) {
            return match known.limit == told.limit {
                true => NewsEffect::Known,
                false => NewsEffect::Outdated,
            };
        }
        let statement = Statement {
            incarnation: told.incarnation,
            limit: told.limit,
            received,
            since: received,
        };
        match self.replace(&told.server, statement) {
            true => NewsEffect::Changed,
            false => NewsEffect::Known,
        }
    }

    /// Returns the statement that is kept of a server, unless it is of an earlier incarnation.
    fn known(&self, server: &str, incarnation: Option<ServerIncarnation>) -> Option<&Statement> {
        let known = self.statements.get(server);
        known.filter(|it| !it.is_of_earlier_incarnation(incarnation))
    }

    /// Keeps a statement, unless it is of an earlier incarnation than the one that is kept; returns
    /// whether that changes the server's limit.
    fn replace(&mut self, server: &str, statement: Statement) -> bool {
        let kept = self.statements.get(server);
        if kept.is_some_and(|it| it.is_of_later_incarnation(statement.incarnation)) {
            return false;
        }
        let known = self.known(server, statement.incarnation);
        if known.is_none() && statement.limit.is_none() {
            self.statements.remove(server);
            return false;
        }
        let has_changed = statement.limit != known.and_then(|it| it.limit);
        let since = known.filter(|_| !has_changed).map(|it| it.since);
        let incarnation = known.and_then(|it| it.incarnation);
        let statement = Statement {
            incarnation: statement.incarnation.or(incarnation),
            since: since.unwrap_or(statement.since),
            ..statement
        };
        self.evict(server, statement.received);
        self.statements.insert(server.to_owned(), statement);
        has_changed
    }

    /// Returns the statement that is kept of a server, as it is told to other entries.
    pub fn statement(&self, now: Timestamp, server: &str) -> Option<RateStatement> {
        let kept = self.statements.get(server)?;
        Some(kept.to_news(now, server))
    }

    /// Returns all limits, and those that have ended lately, for other entries.
    pub fn news(&self, now: Timestamp) -> Vec<RateStatement> {
        let is_news = |it: &Statement| it.limit.is_some() || now < it.since + END_NEWS_TIME;
        let kept = self.statements.iter().filter(|(_, it)| is_news(it));
        kept.map(|(server, it)| it.to_news(now, server)).collect()
    }

    /// Returns the limit that an incarnation of a server has stated; `None` if it accepts any rate.
    pub fn limit(
        &self,
        server: &str,
        incarnation: Option<ServerIncarnation>,
    ) -> Option<RequestRate> {
        self.known(server, incarnation)?.limit
    }

    /// Returns the number of servers that have a limit.
    pub fn count(&self) -> usize {
        let limited = self.statements.values().filter(|it| it.limit.is_some());
        limited.count()
    }

    /// Removes what has expired, and the oldest statement if there are too many for one more.
    fn evict(&mut self, server: &str, now: Timestamp) {
        if self.statements.contains_key(server) {
            return;
        }
        self.statements
            .retain(|_, it| now < it.received + STATEMENT_EXPIRY);
        if self.statements.len() < MAX_SERVERS {
            return;
        }
        let oldest = self.statements.iter().min_by_key(|(_, it)| it.received);
        if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
            self.statements.remove(&oldest);
        }
    }
}
