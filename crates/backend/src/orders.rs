//! Sends orders to the engine of one rank and reads its reports.

use std::time::Duration;

use jj_peer::group::{EngineOrder, EngineRefusal, EngineViewWire, GroupReport};
use reqwest::StatusCode;

use crate::call::{self, BackendClient};

/// Path at which an engine accepts orders.
const ORDERS_PATH: &str = "/group/orders";

/// Path of the report on the expert map and the tokens per expert.
const REPORT_PATH: &str = "/group/report";

/// Timeout for reading a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Outcome of an order to an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum OrderOutcome {
    /// Executed; contains the state of the engine.
    Done(EngineViewWire),
    /// Refused; contains the newer term if that is the reason.
    Refused(EngineRefusal),
    /// No usable response: the engine may execute the order until the deadline of the order.
    Unknown,
}

/// Sends an order and waits for its outcome for at most `timeout`.
pub async fn send_order(
    engine: &BackendClient,
    order: &EngineOrder,
    timeout: Duration,
) -> OrderOutcome {
    let Ok(answer) = engine.post_json(ORDERS_PATH, order, timeout).await else {
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

/// Reads the report of an engine about its group.
///
/// # Errors
/// When the engine doesn't respond in time with a report.
pub async fn read_group_report(engine: &BackendClient) -> anyhow::Result<GroupReport> {
    engine.get_json(REPORT_PATH, REPORT_TIMEOUT).await
}
