//! What is believed of the backend servers that the platform lists.
//!
//! An entry that vanishes while the platform is disturbed says nothing: it comes back within a
//! short time if the server lives. So absences count only once the platform has answered without
//! trouble for that long.

use std::{net::SocketAddr, time::Duration};

use jj_utils::{
    clock::Timestamp,
    collections::FastMap,
    common_derives,
    ids::{BackendServerId, FailureDomainId, ServiceId},
};

/// Number of a change in the platform's store; rises with each change.
pub type Revision = u64;

/// Start of one life of a server, in Unix milliseconds by its own clock; a later life has a larger one.
pub type ServerIncarnation = u64;

/// Time after the platform's return within which entries of living servers come back.
const RETURN_TIME: Duration = Duration::from_millis(2_000);

common_derives! {copy:
    /// What a server says of itself.
    pub enum ServerState {
        /// Takes requests.
        Serving,
        /// Will end soon; takes no new requests.
        Leaving,
    }
}

common_derives! {value:
    /// One listed server.
    pub struct ServerRecord {
        /// Its id.
        pub id: BackendServerId,
        /// Service that it belongs to.
        pub service: ServiceId,
        /// Where it takes requests.
        pub addr: SocketAddr,
        /// Its failure domain.
        pub domain: FailureDomainId,
        /// Requests that it works on at once.
        pub slots: u32,
        /// What it says of itself.
        pub state: ServerState,
        /// Time for which it stays cold, when the entry was written.
        pub cold_remaining: Duration,
        /// Start of this life of the server, where it says so.
        pub incarnation: Option<ServerIncarnation>,
    }
}

common_derives! {value:
    /// A server in use, with what was found out about its entry.
    pub struct ListedServer {
        /// The entry.
        pub record: ServerRecord,
        /// When the entry was last seen or written, by this process's clock.
        pub last_seen: Timestamp,
        /// Since when the entry is missing, where it is.
        pub missing_since: Option<Timestamp>,
        /// Until when the server is cold, by what its entry said when that last changed.
        pub cold_until: Timestamp,
    }
}

/// Servers by id.
#[derive(Debug, Clone, Default)]
pub struct ServerList {
    servers: FastMap<BackendServerId, ListedServer>,
    /// When trouble with the platform was last seen to end.
    calm_since: Timestamp,
}

impl ServerList {
    /// Takes in an entry; true when it says something new beside a sign of life.
    pub fn put(&mut self, now: Timestamp, record: ServerRecord) -> bool {
        let known = self.servers.get(&record.id);
        let is_new = known.is_none_or(|it| it.record != record || it.missing_since.is_some());
        // An entry that is written again with the same time left only shows that the server lives.
        let same = known.filter(|it| it.record.cold_remaining == record.cold_remaining);
        let same = same.filter(|it| it.record.incarnation == record.incarnation);
        let listed = ListedServer {
            cold_until: same.map_or(now + record.cold_remaining, |it| it.cold_until),
            record,
            last_seen: now,
            missing_since: None,
        };
        self.servers.insert(listed.record.id.clone(), listed);
        is_new
    }

    /// Takes in that an entry is gone.
    pub fn mark_missing(&mut self, now: Timestamp, id: &str) -> bool {
        let Some(listed) = self.servers.get_mut(id) else {
            return false;
        };
        listed.missing_since.get_or_insert(now);
        true
    }

    /// Takes in all entries that there are at one moment.
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

    /// Notes that the platform could not be asked up to now.
    pub fn record_platform_error(&mut self, now: Timestamp) {
        self.calm_since = self.calm_since.max(now);
    }

    /// Drops the servers whose absence is certain; true when there were any.
    pub fn drop_gone(&mut self, now: Timestamp) -> bool {
        let calm = self.calm_since;
        let before = self.servers.len();
        self.servers.retain(|_, listed| !is_gone(listed, calm, now));
        self.servers.len() != before
    }

    /// The servers of which new requests may go to some, in no order.
    pub fn serving(&self) -> impl Iterator<Item = &ListedServer> {
        let serving = |it: &&ListedServer| it.record.state == ServerState::Serving;
        self.servers.values().filter(serving)
    }

    /// All servers that are not certainly gone.
    pub fn all(&self) -> impl Iterator<Item = &ListedServer> {
        self.servers.values()
    }

    /// One server.
    pub fn get(&self, id: &str) -> Option<&ListedServer> {
        self.servers.get(id)
    }
}

/// An absence in calm times is certain at once; one seen within a disturbance or shortly after it
/// is certain when the entry has not come back in time.
fn is_gone(listed: &ListedServer, calm: Timestamp, now: Timestamp) -> bool {
    let Some(missing) = listed.missing_since else {
        return false;
    };
    if missing >= calm + RETURN_TIME || calm.is_zero() {
        return true;
    }
    now >= calm + RETURN_TIME
}
