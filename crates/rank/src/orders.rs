//! Sends batches of orders to engines on behalf of the agent that runs a switch.
//!
//! The leader of a large group has a small part of a core, and the group waits for its orders at a
//! held pass. So other agents send most of them, each to a few engines and never to its own. If such
//! an agent does not answer, its orders may still be executed later, like any unanswered order.

use futures_util::future;
use jj_adapter::engine::OrderGuard;
use jj_news::{BatchedOrder, Message, OrderBatch, OrderResult};
use jj_policy::{
    map_switch::{Goal, RankOrder},
    switch_run::RankOrderOutcome,
};

use jj_utils::{events, log_event};

use crate::{driver, state::State};

/// Sends the orders of a batch concurrently and reports their outcomes to the leader.
pub async fn execute_batch(state: &State, batch: OrderBatch) {
    if !state.accept_term(batch.goal.term, (batch.leader, batch.number)) {
        return;
    }
    let orders = batch.orders.iter().filter(|it| it.server != state.server);
    let calls = orders.map(|order| send_order(state, &batch.goal, order));
    let results = future::join_all(calls).await;
    let accepted = results
        .iter()
        .filter(|it| it.outcome == RankOrderOutcome::Accepted);
    log_event!(
        events::ORDERS_GIVEN,
        number = batch.number, version = batch.goal.version, term = batch.goal.term,
        orders = results.len(), accepted = accepted.count(), leader = batch.leader.to_string();
        "sent a batch of orders for a switch"
    );
    let message = Message::OrderResults {
        number: batch.number,
        results,
        group: batch.group,
    };
    state.send(batch.leader, &message);
}

/// Sends one order to its engine.
async fn send_order(state: &State, goal: &Goal, batched: &BatchedOrder) -> OrderResult {
    let guard = OrderGuard {
        term: goal.term,
        sequence: batched.sequence,
        epoch: goal.epoch,
    };
    let engine = state.engine.with_addr(batched.server);
    let order = RankOrder::from(batched.order);
    OrderResult {
        rank: batched.rank,
        outcome: engine
            .send_order(&order, guard, driver::ANSWER_TIMEOUT)
            .await,
    }
}
