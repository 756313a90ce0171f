//! The engine's side doors: load, cache events, orders, and what tests ask and order.

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
        /// Requests that wait for the batch.
        pub waiting: u32,
        /// Requests that the batch takes.
        pub capacity: u32,
        /// Whether it is cold.
        pub cold: bool,
        /// Share of the cache's memory in use.
        pub kv_used: f64,
    }
}

common_derives! {wire:
    /// Query of `GET /cache-events`.
    #[derive(Default)]
    #[serde(default)]
    pub struct After {
        /// Number of the last event that the reader has.
        pub after: u64,
    }
}

/// `GET /health`.
#[handler]
pub fn health() -> StatusCode {
    StatusCode::OK
}

/// `GET /load`.
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

/// `GET /cache-events?after=SEQ`.
#[handler]
pub fn cache_events(
    Data(engine): Data<&Arc<Engine>>,
    Query(query): Query<After>,
) -> Json<CacheEvents> {
    Json(engine.cache.events_after(query.after))
}

/// `POST /orders`: 200 with the state, 409 for an old fencing number, 422 for the rest.
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

/// `GET /state`.
#[handler]
pub fn read_state(Data(engine): Data<&Arc<Engine>>) -> Json<EngineState> {
    Json(engine.orders.state())
}

/// `DELETE /v1/requests/<id>`.
#[handler]
pub fn cancel(Data(engine): Data<&Arc<Engine>>, Path(id): Path<RequestId>) -> StatusCode {
    if engine.cancel(&id) {
        StatusCode::NO_CONTENT
    } else {
        StatusCode::NOT_FOUND
    }
}

/// `GET /executions`.
#[handler]
pub fn executions(Data(engine): Data<&Arc<Engine>>) -> Json<Executions> {
    Json(engine.executions())
}

/// `POST /control`.
#[handler]
pub fn control(
    Data(engine): Data<&Arc<Engine>>,
    Json(request): Json<ControlRequest>,
) -> StatusCode {
    engine.control(&request);
    StatusCode::NO_CONTENT
}
