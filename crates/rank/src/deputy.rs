//! The deputy of a leader: orders the gate, the engine at which a pass is held, to hold it, and
//! the leader's engine to activate the map.
//!
//! When an instance stops, its engine is unreachable too, and no other agent can find out whether an
//! order that the instance sent to its own engine was accepted. So while a pass is held no agent
//! sends orders to its own engine, except a leader that rolls back because its deputy does not
//! reply; and the deputy knows what it has ordered at the leader's engine. It knows nothing of what
//! a deputy process before it has ordered, and handles no request to that one.

use std::net::SocketAddr;

use jj_adapter::engine::OrderGuard;
use jj_news::Message;
use jj_policy::{
    map_switch::{Activation, Goal, RankOrder},
    switch_deputy::DeputyRecord,
    switch_run::{DeputyReport, RankOrderOutcome},
};
use jj_utils::{
    events,
    ids::{Incarnation, Term},
    log_event,
};

use crate::{driver, state::State};

/// Engine that receives an order: its address, and the number of orders that it must have accepted
/// so far; otherwise the order is void.
pub type Target = (SocketAddr, u64);

/// Request of a leader to its deputy.
pub struct Request {
    /// Number of the request, which the reply repeats.
    pub number: u64,
    /// Process of the deputy to which the request goes.
    pub deputy: Incarnation,
    /// Map, first pass that uses it, and the leader's term.
    pub goal: Goal,
    /// Engine that holds the pass.
    pub gate: Target,
    /// The leader's engine.
    pub leader: Target,
}

/// Orders the gate to hold the pass and the leader's engine to activate the map, and replies.
pub async fn activate(state: &State, from: SocketAddr, request: Request) {
    let goal = request.goal;
    let Some(pass) = goal.pass else {
        return;
    };
    if request.deputy != state.incarnation || state.group.borrow().is_leaving {
        log_event!(
            events::DELEGATION_REJECTED,
            number = request.number, version = goal.version, pass = pass, term = goal.term,
            deputy = request.deputy, own = state.incarnation;
            "rejected a leader's request to hold a pass"
        );
        return;
    }
    if !state.accept_term(goal.term, (from, request.number)) {
        return;
    }
    update_record(state, |known| DeputyRecord::begin(known, goal.version));
    let hold = RankOrder::Hold { pass };
    let held = send_order(state, &goal, request.gate, &hold).await;
    if !held.is_in_force() {
        return reply(state, from, request.number, held);
    }
    // Another agent may have taken the switch over in the meantime.
    if state.group.borrow().accepted_term != goal.term {
        return;
    }
    let activation = Activation {
        version: goal.version,
        pass,
    };
    update_record(state, |known| {
        let mut record = DeputyRecord::begin(known, goal.version);
        record.record_sent();
        record
    });
    let activate = RankOrder::Activate(activation);
    let activated = send_order(state, &goal, request.leader, &activate).await;
    if activated.is_in_force() {
        update_record(state, |known| {
            let mut record = DeputyRecord::begin(known, goal.version);
            record.record_active(pass);
            record
        });
    }
    reply(state, from, request.number, activated);
}

/// Sends an order to an engine; it is void unless the engine has accepted exactly the number of
/// orders in `target`.
async fn send_order(
    state: &State,
    goal: &Goal,
    target: Target,
    order: &RankOrder,
) -> RankOrderOutcome {
    let (addr, sequence) = target;
    let guard = OrderGuard {
        term: goal.term,
        sequence,
        epoch: goal.epoch,
    };
    let engine = state.engine.with_addr(addr);
    engine
        .send_order(order, guard, driver::ANSWER_TIMEOUT)
        .await
}

/// Replaces what this agent remembers of its orders.
fn update_record(state: &State, update: impl Fn(Option<DeputyRecord>) -> DeputyRecord) {
    let mut group = state.group.borrow_mut();
    group.deputy_record = Some(update(group.deputy_record));
}

/// Returns what this agent has ordered at the leader's engine, and for which switch.
pub fn report(state: &State) -> DeputyReport {
    DeputyRecord::report(state.group.borrow().deputy_record)
}

/// Answers the query of an agent that takes a switch over, and accepts its term, so that requests of
/// earlier leaders are rejected from then on.
pub fn answer_query(state: &State, from: SocketAddr, number: u64, term: Term) {
    {
        let mut group = state.group.borrow_mut();
        group.accepted_term = group.accepted_term.max(term);
    }
    reply(state, from, number, RankOrderOutcome::Accepted);
}

/// Sends a reply with this deputy's report. `outcome` is that of the last order sent for the
/// request, or `Accepted` if none was sent; the reply only says whether it is `Fenced`.
fn reply(state: &State, to: SocketAddr, number: u64, outcome: RankOrderOutcome) {
    let report = report(state);
    let group = state.own_group();
    let message = Message::DeputyReply {
        number,
        state: report.state,
        is_fenced: outcome == RankOrderOutcome::Fenced,
        version: report.version,
        group,
    };
    state.send(to, &message);
}
