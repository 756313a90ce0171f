//! Tells whether a backend server has crashed when a request is lost at it, and what is known of the
//! state in which the request was.
//!
//! A lost connection alone says neither. A server that refuses connections without having announced
//! its end has crashed, and one that has started anew; the latter may be heard of only later.

use std::{cell::RefCell, collections::VecDeque, rc::Rc, time::Duration};

use jj_policy::{
    crash_reports::LossEvidence, head_times::HeadTimes, server_list::ServerRecord,
    server_notices::ServerAccess,
};
use jj_utils::{clock::Timestamp, collections::FastMap, ids::ServiceId};

use crate::{request::Request, shared_state::SharedState};

/// Time in which the port of a crashed server has to refuse a connection.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Time in which a process that ends closes its port after it has closed a connection; it closes its
/// sockets one after the other.
const PORT_CLOSE_TIME: Duration = Duration::from_millis(25);

/// Time after a loss at a server in which its restart explains the loss.
const RESTART_WINDOW: Duration = Duration::from_secs(5);

/// Maximum number of unexplained losses that are kept.
const MAX_LOSSES: usize = 256;

/// What shows that a server has crashed. Variant names are logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashSign {
    /// Its port refuses connections.
    PortRefuses,
    /// It has started anew.
    Restarted,
}

/// Request that was lost at a server before its response had begun.
pub struct LostRequest {
    /// The request.
    pub request: Rc<Request>,
    /// The server.
    pub server: Rc<ServerRecord>,
    /// What is known of the state in which it was.
    pub evidence: LossEvidence,
    /// When it was sent.
    pub sent_at: Timestamp,
    /// When it was lost.
    pub lost_at: Timestamp,
}

/// What an entry remembers to judge lost requests.
#[derive(Default)]
pub struct CrashDetector {
    /// Requests lost at servers that showed no sign of a crash, the oldest first.
    unexplained: RefCell<VecDeque<LostRequest>>,
    /// When the heads of the streams of each service come.
    head_times: RefCell<FastMap<ServiceId, HeadTimes>>,
}

impl CrashDetector {
    /// Records the time from the head of a stream of a service to its first event.
    pub fn record_head_lead(&self, service: &str, lead: Duration) {
        let mut times = self.head_times.borrow_mut();
        if !times.contains_key(service) {
            times.insert(service.to_owned(), HeadTimes::default());
        }
        if let Some(times) = times.get_mut(service) {
            times.record(lead);
        }
    }

    /// Returns what is known of a request that was lost before any byte of its response.
    pub fn evidence_without_head(&self, request: &Request) -> LossEvidence {
        let times = self.head_times.borrow();
        let times = times.get(&request.service);
        let heads_precede_run = times.is_some_and(HeadTimes::precedes_run);
        match request.authorized.route.kind.is_stream() && heads_precede_run {
            true => LossEvidence::Waiting,
            false => LossEvidence::Unclear,
        }
    }

    /// Keeps a request that was lost at a server that showed no sign of a crash, unless the server has
    /// announced its end.
    pub fn keep_unexplained(&self, shared: &SharedState, lost: LostRequest) {
        if is_leaving(shared, &lost.server) || !is_listed(shared, &lost.server) {
            return;
        }
        let mut unexplained = self.unexplained.borrow_mut();
        if unexplained.len() == MAX_LOSSES {
            unexplained.pop_front();
        }
        unexplained.push_back(lost);
    }

    /// Removes and returns the requests that were lost at servers that have started anew since.
    pub fn take_explained(&self, shared: &SharedState) -> Vec<LostRequest> {
        let mut unexplained = self.unexplained.borrow_mut();
        if unexplained.is_empty() {
            return Vec::new();
        }
        let now = shared.clock.now();
        unexplained.retain(|it| now < it.lost_at + RESTART_WINDOW);
        let kept = std::mem::take(&mut *unexplained).into_iter();
        let (explained, kept): (Vec<LostRequest>, Vec<LostRequest>) =
            kept.partition(|it| has_restarted(shared, &it.server));
        *unexplained = kept.into();
        explained
    }
}

/// Returns what shows that a server at which a request was lost has crashed; `None` if nothing does,
/// or if the server has announced its end.
pub async fn crash_sign(shared: &SharedState, server: &ServerRecord) -> Option<CrashSign> {
    if is_leaving(shared, server) || !is_listed(shared, server) {
        return None;
    }
    if has_restarted(shared, server) {
        return Some(CrashSign::Restarted);
    }
    match refuses_connections(shared, server).await {
        true => Some(CrashSign::PortRefuses),
        // The store may have told of a restart meanwhile.
        false => has_restarted(shared, server).then_some(CrashSign::Restarted),
    }
}

/// Returns whether the server has ended that has closed a connection, whether it had announced its end
/// or not. Its port is checked again after [`PORT_CLOSE_TIME`].
pub async fn has_ended(shared: &SharedState, server: &ServerRecord) -> bool {
    if is_later_listed(shared, server) || refuses_connections(shared, server).await {
        return true;
    }
    tokio::time::sleep(PORT_CLOSE_TIME).await;
    refuses_connections(shared, server).await || is_later_listed(shared, server)
}

/// Returns whether the port of a server refuses connections.
async fn refuses_connections(shared: &SharedState, server: &ServerRecord) -> bool {
    let check = shared.pool.is_refused(server.addr);
    let is_refused = tokio::time::timeout(CRASH_CHECK_TIMEOUT, check).await;
    is_refused.unwrap_or(false)
}

/// Returns whether a server has said itself that it is leaving.
fn is_leaving(shared: &SharedState, server: &ServerRecord) -> bool {
    let access = shared.server_access(server);
    matches!(access, ServerAccess::LastResort | ServerAccess::Closed)
}

/// Returns whether the store lists a server, or a later run of it, as serving.
fn is_listed(shared: &SharedState, server: &ServerRecord) -> bool {
    let replica = shared.replica.borrow();
    let mut serving = replica.servers.serving();
    serving.any(|it| it.record.id == server.id)
}

/// Returns whether the store lists a later run of a server that didn't announce its end.
fn has_restarted(shared: &SharedState, server: &ServerRecord) -> bool {
    is_later_listed(shared, server) && !is_leaving(shared, server)
}

/// Returns whether the store lists a later run of a server.
fn is_later_listed(shared: &SharedState, server: &ServerRecord) -> bool {
    let replica = shared.replica.borrow();
    let listed = replica.servers.get(&server.id);
    let incarnation = listed.and_then(|it| it.record.incarnation);
    incarnation > server.incarnation && server.incarnation.is_some()
}
