//! List of the backend servers, from the records in the platform's store.
//!
//! A record that vanishes while the platform is disturbed means nothing: it comes back shortly if
//! the server is alive. So a missing record counts only after the platform has responded without
//! errors for that long.

use std::{net::SocketAddr, time::Duration};

use jj_utils::{
    clock::Timestamp,
    collections::FastMap,
    common_derives,
    ids::{BackendServerId, FailureDomainId, ServiceId},
};

/// Number of a change in the platform's store; increases with each change.
pub type Revision = u64;

/// Number of times that the platform's store has come back from an older copy; revisions are given
/// out again then. 0 for a store that has no eras.
pub type Era = u64;

common_derives! {copy:
    /// Position in the history of the platform's store. All of a later era is newer than all of an
    /// earlier one.
    #[derive(Default)]
    pub struct StorePosition {
        /// Era of the store.
        pub era: Era,
        /// Number of the last change within it.
        pub revision: Revision,
    }
}

/// Start time of a server in Unix milliseconds by its own clock; higher in a later incarnation.
pub type ServerIncarnation = u64;

/// Time for which servers that are gone are remembered.
const DEPARTURE_MEMORY: Duration = Duration::from_secs(60);

/// Time after the platform's recovery within which the records of live servers come back.
const RECORD_RETURN_TIME: Duration = Duration::from_millis(2_000);

common_derives! {copy:
    /// State that a server reports of itself.
    pub enum ServerState {
        /// Takes requests.
        Serving,
        /// About to stop; takes no new requests.
        Leaving,
    }
}

common_derives! {value:
    /// Record of one server in the platform's store.
    pub struct ServerRecord {
        /// Identifier of the server.
        pub id: BackendServerId,
        /// Service that the server belongs to.
        pub service: ServiceId,
        /// Address for requests.
        pub addr: SocketAddr,
        /// Failure domain of the server.
        pub domain: FailureDomainId,
        /// Requests that the server works on at once.
        pub slots: u32,
        /// State that the server reports.
        pub state: ServerState,
        /// Remaining time for which the server is cold, as of the writing of the record.
        pub cold_remaining: Duration,
        /// Incarnation of the server, if reported.
        pub incarnation: Option<ServerIncarnation>,
    }
}

common_derives! {value:
    /// Server with its record and what was observed about the record.
    pub struct ListedServer {
        /// Last record read.
        pub record: ServerRecord,
        /// Time at which the record was last read or written, by this process's clock.
        pub last_seen: Timestamp,
        /// Time since which the record is missing, if it is.
        pub missing_since: Option<Timestamp>,
        /// End of the cold period, computed when the remaining time in the record last changed.
        pub cold_until: Timestamp,
    }
}

/// Known servers by id.
#[derive(Debug, Clone, Default)]
pub struct ServerList {
    servers: FastMap<BackendServerId, ListedServer>,
    /// Servers dropped lately: their incarnation, and when.
    departed: FastMap<BackendServerId, (Option<ServerIncarnation>, Timestamp)>,
    /// Last time at which the platform could not be reached.
    last_error: Timestamp,
}

impl ServerList {
    /// Adds or updates a record; returns whether it is more than a renewal of the known one.
    pub fn put(&mut self, now: Timestamp, record: ServerRecord) -> bool {
        let known = self.servers.get(&record.id);
        let has_changed = known.is_none_or(|it| it.record != record || it.missing_since.is_some());
        // A record that is written again with the same remaining time only shows that the server is
        // alive.
        let same = known.filter(|it| it.record.cold_remaining == record.cold_remaining);
        let same = same.filter(|it| it.record.incarnation == record.incarnation);
        let listed = ListedServer {
            cold_until: same.map_or(now + record.cold_remaining, |it| it.cold_until),
            record,
            last_seen: now,
            missing_since: None,
        };
        self.departed.remove(&listed.record.id);
        self.servers.insert(listed.record.id.clone(), listed);
        has_changed
    }

    /// Marks the record of a server as missing; returns whether the server is known.
    pub fn mark_missing(&mut self, now: Timestamp, id: &str) -> bool {
        let Some(listed) = self.servers.get_mut(id) else {
            return false;
        };
        listed.missing_since.get_or_insert(now);
        true
    }

    /// Applies a complete snapshot of the records; returns whether anything changed.
    pub fn replace_all(&mut self, now: Timestamp, records: Vec<ServerRecord>) -> bool {
        let mut changed = false;
        let present: Vec<BackendServerId> = records.iter().map(|it| it.id.clone()).collect();
        for record in records {
            changed |= self.put(now, record);
        }
        for (id, listed) in &mut self.servers {
            if !present.contains(id) && listed.missing_since.is_none() {
                listed.missing_since = Some(now);
                changed = true;
            }
        }
        changed
    }

    /// Records that the platform could not be reached until now.
    pub fn record_platform_error(&mut self, now: Timestamp) {
        self.last_error = self.last_error.max(now);
    }

    /// Drops the servers whose records are gone for certain; returns whether there were any.
    pub fn drop_gone(&mut self, now: Timestamp) -> bool {
        let last_error = self.last_error;
        let gone = self.servers.values();
        let gone = gone.filter(|it| is_gone(it, last_error, now));
        let gone: Vec<ServerRecord> = gone.map(|it| it.record.clone()).collect();
        for record in &gone {
            self.servers.remove(&record.id);
            let departure = (record.incarnation, now);
            self.departed.insert(record.id.clone(), departure);
        }
        self.departed
            .retain(|_, (_, at)| now < *at + DEPARTURE_MEMORY);
        !gone.is_empty()
    }

    /// Returns whether the incarnation of a server in a record was dropped lately.
    pub fn has_departed(&self, record: &ServerRecord) -> bool {
        let departed = self.departed.get(&record.id);
        departed.is_some_and(|(incarnation, _)| *incarnation == record.incarnation)
    }

    /// Returns the servers that take requests, in no order.
    pub fn serving(&self) -> impl Iterator<Item = &ListedServer> {
        let serving = |it: &&ListedServer| it.record.state == ServerState::Serving;
        self.servers.values().filter(serving)
    }

    /// Returns all servers that are not certainly gone.
    pub fn all(&self) -> impl Iterator<Item = &ListedServer> {
        self.servers.values()
    }

    /// Returns one server.
    pub fn get(&self, id: &str) -> Option<&ListedServer> {
        self.servers.get(id)
    }
}

/// Returns whether a missing record counts as gone. Without recent errors of the platform that is
/// so at once; one that went missing during a disturbance or shortly after it counts as gone once
/// the time to come back has passed.
fn is_gone(listed: &ListedServer, last_error: Timestamp, now: Timestamp) -> bool {
    let Some(missing) = listed.missing_since else {
        return false;
    };
    if missing >= last_error + RECORD_RETURN_TIME || last_error.is_zero() {
        return true;
    }
    now >= last_error + RECORD_RETURN_TIME
}
