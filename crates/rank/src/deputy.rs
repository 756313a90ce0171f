//! The deputy of a leader: holds a pass at the gate, and activates a map at the leader's engine.
//!
//! An instance that stops takes its engine out of reach, and nobody can ask whether an order that it
//! gave there was accepted. So no agent orders anything at its own engine while a pass is held, and
//! what was ordered at the leader's engine is known to its deputy.

use std::net::SocketAddr;

use jj_adapter::engine::OrderGuard;
use jj_news::Message;
use jj_policy::{
    map_switch::{Activation, Goal, RankOrder},
    switch_run::{DeputyState, Outcome},
};
use jj_utils::ids::Term;

use crate::{driver, state::State};

/// An engine, and the orders that it has to have accepted for the next one not to be void.
pub type Target = (SocketAddr, u64);

/// What a leader asks for.
pub struct Request {
    /// Number of the request.
    pub number: u64,
    /// What to activate, from which pass on, and for whom.
    pub goal: Goal,
    /// The engine that holds.
    pub gate: Target,
    /// The leader's engine.
    pub leader: Target,
}

/// Holds the pass, activates the map at the leader's engine and answers.
pub async fn activate(state: &State, from: SocketAddr, request: Request) {
    let goal = request.goal;
    let Some(pass) = goal.pass else {
        return;
    };
    if !state.accept_term(goal.term, (from, request.number)) {
        return;
    }
    let hold = RankOrder::Hold { pass };
    let held = order(state, &goal, request.gate, &hold).await;
    if held != Outcome::Accepted {
        return tell(state, from, request.number, held);
    }
    // Another agent may have asked to finish the switch meanwhile.
    if state.group.borrow().accepted_term != goal.term {
        return;
    }
    let activation = Activation {
        version: goal.version,
        pass,
    };
    note(state, &goal, DeputyState::Unknown);
    let activate = RankOrder::Activate(activation);
    let activated = order(state, &goal, request.leader, &activate).await;
    if activated == Outcome::Accepted {
        note(state, &goal, DeputyState::Active(activation));
    }
    tell(state, from, request.number, activated);
}

async fn order(state: &State, goal: &Goal, target: Target, order: &RankOrder) -> Outcome {
    let (addr, sequence) = target;
    let guard = OrderGuard {
        term: goal.term,
        sequence,
        epoch: goal.epoch,
    };
    let engine = state.engine.at(addr);
    engine.order(order, guard, driver::ANSWER_TIMEOUT).await
}

fn note(state: &State, goal: &Goal, result: DeputyState) {
    state.group.borrow_mut().deputy_state = Some((goal.term, result));
}

/// What this deputy knows of the leader's engine.
pub fn leader_engine_state(state: &State) -> DeputyState {
    let group = state.group.borrow();
    group
        .deputy_state
        .map_or(DeputyState::Nothing, |(_, state)| state)
}

/// Tells one who finishes a switch what this deputy knows, and obeys no earlier leader from then on.
pub fn answer_query(state: &State, from: SocketAddr, number: u64, term: Term) {
    {
        let mut group = state.group.borrow_mut();
        group.accepted_term = group.accepted_term.max(term);
    }
    tell(state, from, number, Outcome::Accepted);
}

/// Tells what this deputy knows, after the last of its orders has come to something.
fn tell(state: &State, to: SocketAddr, number: u64, last: Outcome) {
    let message = Message::DeputyReply {
        number,
        state: leader_engine_state(state),
        is_fenced: last == Outcome::Fenced,
    };
    state.send(to, &message);
}
