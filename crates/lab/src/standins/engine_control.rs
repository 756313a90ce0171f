//! Control API of the stand-in engine: load, cache events, orders, cancellation, and the
//! execution counts and faults that tests use.

use std::sync::Arc;

use jj_utils::{common_derives, ids::RequestId};
use poem::{
    IntoResponse, Response, handler,
    http::StatusCode,
    web::{Data, Json, Path, Query},
};

use crate::standins::{
    engine::Engine,
    faults::ControlRequest,
    ledger::Executions,
    orders::{EngineState, OrderRequest, Refusal},
    prefix_cache::CacheEvents,
};

common_derives! {wire:
    /// Answer of `GET /load`.
    pub struct LoadReport {
        /// Changes with each start.
        pub boot_id: String,
        /// Time since the start, in milliseconds.
        pub uptime_ms: u64,
        /// Requests in the batch.
        pub running: u32,
        /// Requests queued for the batch.
        pub waiting: u32,
        /// Maximum requests in the batch.
        pub capacity: u32,
        /// Whether the engine is cold.
        pub cold: bool,
        /// Used share of the prefix cache, from 0 to 1.
        pub kv_used: f64,
    }
}

common_derives! {wire:
    /// Query of `GET /cache-events`.
    #[derive(Default)]
    #[serde(default)]
    pub struct After {
        /// Sequence number of the last event that the reader has.
        pub after: u64,
    }
}

/// Handles `GET /health`.
#[handler]
pub fn health() -> StatusCode {
    StatusCode::OK
}

/// Handles `GET /load`.
#[handler]
pub fn read_load(Data(engine): Data<&Arc<Engine>>) -> Json<LoadReport> {
    let memory = engine.config.cache.entries.max(1);
    Json(LoadReport {
        boot_id: engine.boot_id().to_string(),
        uptime_ms: u64::try_from(engine.uptime().as_millis()).unwrap_or(u64::MAX),
        running: engine.slots.running(),
        waiting: u32::try_from(engine.slots.waiting()).unwrap_or(u32::MAX),
        capacity: engine.slots.capacity(),
        cold: engine.cold.is_cold(),
        kv_used: engine.cache.used() as f64 / memory as f64,
    })
}

/// Handles `GET /cache-events?after=SEQ`.
#[handler]
pub fn cache_events(
    Data(engine): Data<&Arc<Engine>>,
    Query(query): Query<After>,
) -> Json<CacheEvents> {
    Json(engine.cache.events_after(query.after))
}

/// Handles `POST /orders`: 200 with the state, 409 for an old fencing number, 422 for other
/// refusals.
#[handler]
pub fn obey(Data(engine): Data<&Arc<Engine>>, Json(order): Json<OrderRequest>) -> Response {
    match engine.orders.obey(order) {
        Ok(state) => Json(state).into_response(),
        Err(refusal @ Refusal::OldTerm { .. }) => {
            (StatusCode::CONFLICT, refusal.to_string()).into_response()
        }
        Err(refusal) => (StatusCode::UNPROCESSABLE_ENTITY, refusal.to_string()).into_response(),
    }
}

/// Handles `GET /state`.
#[handler]
pub fn read_state(Data(engine): Data<&Arc<Engine>>) -> Json<EngineState> {
    Json(engine.orders.state())
}

/// Handles `DELETE /v1/requests/<id>`: 204 if the request was cancelled, 404 if it is unknown.
#[handler]
pub fn cancel(Data(engine): Data<&Arc<Engine>>, Path(id): Path<RequestId>) -> StatusCode {
    if engine.cancel(&id) {
        StatusCode::NO_CONTENT
    } else {
        StatusCode::NOT_FOUND
    }
}

/// Handles `GET /executions`.
#[handler]
pub fn executions(Data(engine): Data<&Arc<Engine>>) -> Json<Executions> {
    Json(engine.executions())
}

/// Handles `POST /control`.
#[handler]
pub fn control(
    Data(engine): Data<&Arc<Engine>>,
    Json(request): Json<ControlRequest>,
) -> StatusCode {
    engine.control(&request);
    StatusCode::NO_CONTENT
}
