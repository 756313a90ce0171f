//! The deputy of a leader: activates a map at the leader's engine, and nowhere else.
//!
//! An instance that stops takes its engine out of reach, and nobody can ask whether an order that it
//! gave there was accepted. So no agent orders anything at its own engine while a pass is held, and
//! what was ordered at the leader's engine is known to its deputy.

use std::net::SocketAddr;

use jj_adapter::engine::{OrderGuard, OrderOutcome};
use jj_news::Message;
use jj_policy::{
    map_switch::{Activation, Goal, RankOrder},
    switch_run::DeputyState,
};
use jj_utils::ids::Term;

use crate::{driver, mesh, state::State};

/// What a leader asks for.
pub struct Request {
    /// Number of the request.
    pub number: u64,
    /// The leader's engine.
    pub server: SocketAddr,
    /// What to activate, and for whom.
    pub goal: Goal,
    /// Orders that the engine has accepted.
    pub sequence: u64,
}

/// Activates the map at the leader's engine and answers.
pub async fn activate(state: &State, from: SocketAddr, request: Request) {
    let goal = request.goal;
    let Some(pass) = goal.pass else {
        return;
    };
    let activation = Activation {
        version: goal.version,
        pass,
    };
    {
        let mut known = state.known.borrow_mut();
        if goal.term < known.term {
            return;
        }
        known.term = goal.term;
        known.deputy = Some((goal.term, DeputyState::Unknown));
    }
    let guard = OrderGuard {
        term: goal.term,
        sequence: request.sequence,
        epoch: goal.epoch,
    };
    let order = RankOrder::Activate(activation);
    let engine = state.engine.at(request.server);
    let outcome = engine.order(&order, guard, driver::ANSWER_LIMIT).await;
    let result = match outcome {
        OrderOutcome::Accepted => DeputyState::Active(activation),
        OrderOutcome::Refused | OrderOutcome::Fenced | OrderOutcome::Unknown => {
            DeputyState::Unknown
        }
    };
    state.known.borrow_mut().deputy = Some((goal.term, result));
    tell(state, from, request.number, result);
}

/// Tells one who finishes a switch what this deputy knows, and obeys no earlier leader from then on.
pub fn answer(state: &State, from: SocketAddr, number: u64, term: Term) {
    let result = {
        let mut known = state.known.borrow_mut();
        known.term = known.term.max(term);
        known
            .deputy
            .map_or(DeputyState::Nothing, |(_, state)| state)
    };
    tell(state, from, number, result);
}

fn tell(state: &State, to: SocketAddr, number: u64, result: DeputyState) {
    let message = Message::Deputy {
        number,
        state: result,
    };
    mesh::send(state, to, &message);
}
