//! Keeps to the request rates that servers accept from all entries together.

use std::rc::Rc;

use jj_direct::header_codec::RateHeader;
use jj_policy::{
    rate_limits::{NewsEffect, RateStatement, RequestRate},
    rate_share::{self, EntryShare, RequestTimes, SharedRate},
    server_list::ServerRecord,
};
use jj_utils::{clock::Timestamp, events, log_event};

use crate::{load_tracker::LoadTracker, shared_state::SharedState, store_replica::StoreReplica};

/// Records the rate that a server has stated in the response to a request sent at `sent`.
pub fn record_response(
    shared: &SharedState,
    server: &ServerRecord,
    sent: Timestamp,
    header: RateHeader,
) {
    let limit = match header {
        RateHeader::Absent => None,
        RateHeader::Rate(limit) => Some(limit),
        RateHeader::Malformed => return,
    };
    let now = shared.clock.now();
    let mut loads = shared.loads.borrow_mut();
    let limits = &mut loads.rate_limits;
    let before = limits.limit(&server.id, server.incarnation);
    if limits.record(now, sent, &server.id, server.incarnation, limit) {
        drop(loads);
        announce_change(shared, &server.id, before, "the server itself");
    }
}

/// Applies what another entry tells of a server's rate; returns what that entry needs to know, if it
/// knows less. `by` names the entry in the log.
pub fn apply_news(shared: &SharedState, told: &RateStatement, by: &str) -> Option<RateStatement> {
    let now = shared.clock.now();
    let mut loads = shared.loads.borrow_mut();
    let limits = &mut loads.rate_limits;
    let before = limits.limit(&told.server, told.incarnation);
    match limits.apply(now, told) {
        NewsEffect::Changed => {
            drop(loads);
            announce_change(shared, &told.server, before, by);
            None
        }
        NewsEffect::Known => None,
        NewsEffect::Outdated => limits.statement(now, &told.server),
    }
}

/// Returns what other entries need to know of the servers' rates.
pub fn news(shared: &SharedState) -> Vec<RateStatement> {
    let now = shared.clock.now();
    shared.loads.borrow().rate_limits.news(now)
}

/// Logs that the limit of a server has changed, and has it sent to other entries.
fn announce_change(shared: &SharedState, server: &str, before: Option<RequestRate>, by: &str) {
    let now = shared.clock.now();
    let loads = shared.loads.borrow();
    let Some(statement) = loads.rate_limits.statement(now, server) else {
        return;
    };
    metrics::gauge!("jujube_rate_limited_servers").set(loads.rate_limits.count() as f64);
    log_event!(
        events::SERVER_RATE_LIMIT,
        server = server, life = statement.incarnation.unwrap_or_default(),
        limit = rate_text(statement.limit), before = rate_text(before), by = by;
        "the rate that a server accepts has changed"
    );
    drop(loads);
    shared.unsent_rates.borrow_mut().push(statement);
    shared.news_to_send.notify_one();
    shared.capacity_changed.notify_one();
}

/// Returns a rate limit as text for the log.
fn rate_text(limit: Option<RequestRate>) -> String {
    limit.map_or_else(|| "none".to_owned(), |it| format!("{it:.2}"))
}

/// Returns how many requests this process may send to a server now; `None` if it accepts any rate.
pub fn allowance(
    shared: &Rc<SharedState>,
    replica: &StoreReplica,
    loads: &mut LoadTracker,
    server: &ServerRecord,
) -> Option<u32> {
    let now = shared.clock.now();
    let id = &server.id;
    let share_of = |rate: SharedRate| entry_share(shared, rate, id);
    let cold = replica.cold_requests_per_sec(now, id).map(|rate| {
        let objectives = &shared.settings().objectives;
        SharedRate::of_cold_server(rate, objectives.cold_overage, objectives.cold_slack)
    });
    let limit = loads.rate_limits.limit(id, server.incarnation);
    let limit = limit.map(SharedRate::of_limit);
    let rates = [
        (cold, &mut loads.cold_allowances),
        (limit, &mut loads.limit_allowances),
    ];
    let allowances = rates.into_iter().filter_map(|(rate, allowances)| {
        let Some(rate) = rate else {
            allowances.clear(id);
            return None;
        };
        Some(allowances.available(now, id, rate, shared.draw(), share_of))
    });
    allowances.min()
}

/// Returns this process's share of a rate that a server accepts.
fn entry_share(shared: &SharedState, rate: SharedRate, server: &str) -> EntryShare {
    let peers = shared.peers.borrow();
    let gossip = &peers.gossip;
    rate_share::entry_share(rate, server, gossip.ip(), gossip.known_ips())
}

/// Returns when this process may send requests to a server that states a limit; `Some` without times
/// if it may send none, and `None` if the server states no limit.
pub fn request_times(
    loads: &LoadTracker,
    now: Timestamp,
    server: &ServerRecord,
) -> Option<Option<RequestTimes>> {
    loads.rate_limits.limit(&server.id, server.incarnation)?;
    Some(loads.limit_allowances.next_times(now, &server.id))
}
