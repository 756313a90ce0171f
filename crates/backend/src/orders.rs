//! Orders to the engine of one rank.

use std::time::Duration;

use jj_peer::group::{EngineOrder, EngineRefusal, EngineViewWire, GroupReport};
use reqwest::StatusCode;

use crate::call::{self, BackendClient};

/// Path that takes orders.
const ORDERS_PATH: &str = "/group/orders";

/// Path of the report on experts.
const REPORT_PATH: &str = "/group/report";

/// Longest wait for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// What an engine made of an order.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum OrderOutcome {
    /// Carried out.
    Done(EngineViewWire),
    /// Refused.
    Refused(EngineRefusal),
    /// No answer: it may be carried out until its deadline.
    Unknown,
}

/// Gives an order and waits for its outcome for at most `limit`.
pub async fn send_order(
    engine: &BackendClient,
    order: &EngineOrder,
    limit: Duration,
) -> OrderOutcome {
    let Ok(answer) = engine.post_json(ORDERS_PATH, order, limit).await else {
        return OrderOutcome::Unknown;
    };
    match answer.status() {
        StatusCode::OK => match call::read_json(answer).await {
            Ok(view) => OrderOutcome::Done(view),
            Err(_) => OrderOutcome::Unknown,
        },
        StatusCode::CONFLICT => match call::read_json(answer).await {
            Ok(refusal) => OrderOutcome::Refused(refusal),
            Err(_) => OrderOutcome::Unknown,
        },
        _ => OrderOutcome::Unknown,
    }
}

/// Reads what the engine reports of its group.
///
/// # Errors
/// When the engine doesn't answer in time with a report.
pub async fn read_group_report(engine: &BackendClient) -> anyhow::Result<GroupReport> {
    engine.get_json(REPORT_PATH, REPORT_TIMEOUT).await
}
