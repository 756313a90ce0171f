//! Orders that an agent gives for the one that carries a switch out.
//!
//! The leader of a large group has a small part of a core, and the group waits for its orders at a held
//! pass; so other agents give most of them, each for a few engines, never for its own. To the leader, an
//! order whose agent does not answer is like one that had no answer itself: it may be carried out later.

use futures_util::future;
use jj_adapter::engine::OrderGuard;
use jj_news::{BatchedOrder, Message, OrderBatch, OrderResult};
use jj_policy::{
    map_switch::{Goal, RankOrder},
    switch_run::Outcome,
};

use jj_utils::{events, log_event};

use crate::{driver, state::State};

/// Gives the orders of a batch, all at once, and tells what became of them.
pub async fn execute_batch(state: &State, batch: OrderBatch) {
    if !state.accept_term(batch.goal.term, (batch.leader, batch.number)) {
        return;
    }
    let orders = batch.orders.iter().filter(|it| it.server != state.server);
    let given = orders.map(|part| give_one(state, &batch.goal, part));
    let results = future::join_all(given).await;
    let accepted = results.iter().filter(|it| it.outcome == Outcome::Accepted);
    log_event!(
        events::ORDERS_GIVEN,
        number = batch.number, version = batch.goal.version, term = batch.goal.term,
        orders = results.len(), accepted = accepted.count(), leader = batch.leader.to_string();
        "gave orders for a switch"
    );
    let message = Message::OrderResults {
        number: batch.number,
        results,
    };
    state.send(batch.leader, &message);
}

async fn give_one(state: &State, goal: &Goal, part: &BatchedOrder) -> OrderResult {
    let guard = OrderGuard {
        term: goal.term,
        sequence: part.sequence,
        epoch: goal.epoch,
    };
    let engine = state.engine.at(part.server);
    let order = RankOrder::from(part.order);
    OrderResult {
        rank: part.rank,
        outcome: engine.order(&order, guard, driver::ANSWER_TIMEOUT).await,
    }
}
