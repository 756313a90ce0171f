//! Stand-in of a plain HTTP service: echoes each request and counts what it executed.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use jj_backend::health::BackendLoad;
use jj_utils::{clock::unix_millis, common_derives};
use poem::{
    Body, Endpoint, EndpointExt, IntoResponse, Request, Response, Route, get, handler,
    http::StatusCode,
    post,
    web::{Data, Json},
};
use tokio_util::sync::CancellationToken;

use crate::{
    http::{Breaker, serve_app},
    standins::{
        cold_start::{ColdConfig, ColdStart},
        faults::{ControlRequest, Fault, Faults},
        ledger::{Executions, Ledger, Names},
    },
};

/// Timing of a stand-in service.
#[derive(Debug, Clone, Default)]
pub struct ServiceConfig {
    /// Duration of each call.
    pub delay: Duration,
    /// Behaviour while cold.
    pub cold: ColdConfig,
}

common_derives! {wire:
    /// Response to every call.
    pub struct Echo {
        /// Method of the request.
        pub method: String,
        /// Path of the request.
        pub path: String,
        /// Query of the request, without the question mark.
        pub query: String,
        /// Headers of the request.
        pub headers: BTreeMap<String, String>,
        /// Body of the request.
        pub body: String,
        /// Executions started so far, including this one.
        pub execution: u64,
    }
}

#[derive(Debug)]
struct Service {
    cold: Arc<ColdStart>,
    ledger: Ledger,
    faults: Faults,
    boot_id: u64,
    started: Instant,
}

/// Serves a stand-in service on `addr` until `cancel`.
///
/// # Errors
/// When the address cannot be served.
pub async fn serve(
    config: ServiceConfig,
    addr: SocketAddr,
    cancel: CancellationToken,
) -> anyhow::Result<()> {
    let service = Arc::new(Service {
        cold: ColdStart::new(config.cold),
        ledger: Ledger::default(),
        faults: Faults::new(config.delay),
        boot_id: unix_millis(),
        started: Instant::now(),
    });
    serve_app(app(service), addr, cancel).await
}

fn app(service: Arc<Service>) -> impl Endpoint + 'static {
    Route::new()
        .at("/health", get(health))
        .at("/executions", get(executions))
        .at("/load", get(load))
        .at("/control", post(control))
        .at("/*rest", echo)
        .at("/", echo)
        .data(service)
}

#[handler]
fn health() -> StatusCode {
    StatusCode::OK
}

#[handler]
fn executions(Data(service): Data<&Arc<Service>>) -> Json<Executions> {
    let counts = service.cold.counts();
    Json(Executions {
        cold_peak: counts.peak,
        falls: counts.falls,
        ..service.ledger.snapshot()
    })
}

/// Reports the load in the format of an engine.
#[handler]
fn load(Data(service): Data<&Arc<Service>>) -> Json<BackendLoad> {
    Json(BackendLoad {
        boot_id: service.boot_id.to_string(),
        uptime_ms: u64::try_from(service.started.elapsed().as_millis()).unwrap_or(u64::MAX),
        running: service.cold.counts().running,
        cold: Some(service.cold.is_cold()),
        ..BackendLoad::default()
    })
}

#[handler]
fn control(Data(service): Data<&Arc<Service>>, Json(request): Json<ControlRequest>) -> StatusCode {
    service.faults.update(&request);
    if let Some(time) = request.cold_ms {
        service.cold.turn_cold(Duration::from_millis(time));
    }
    StatusCode::NO_CONTENT
}

#[handler]
async fn echo(Data(service): Data<&Arc<Service>>, request: &Request, body: Bytes) -> Response {
    let fault = service.faults.take();
    if fault == Fault::Refuse {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    let Ok(_working) = service.cold.enter() else {
        return (StatusCode::INTERNAL_SERVER_ERROR, "out of memory").into_response();
    };
    let names = names(request);
    service.ledger.start(&names);
    let delay = service.faults.delay();
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    service.ledger.complete(&names);
    let answer = Json(describe(request, &body, service.ledger.started()));
    match fault {
        Fault::Freeze { .. } => std::future::pending().await,
        Fault::Reset { .. } | Fault::Truncate { .. } => broken_body(&Breaker::of(request)),
        _ => answer.into_response(),
    }
}

fn names(request: &Request) -> Names {
    let header = |name: &str| request.header(name).map(str::to_owned);
    Names {
        request: header("x-request-id"),
        key: header("idempotency-key"),
        marker: request.uri().to_string(),
    }
}

fn describe(request: &Request, body: &[u8], execution: u64) -> Echo {
    let headers = request.headers().iter().map(|(name, value)| {
        let text = String::from_utf8_lossy(value.as_bytes());
        (name.as_str().to_owned(), text.into_owned())
    });
    Echo {
        method: request.method().to_string(),
        path: request.uri().path().to_owned(),
        query: request.uri().query().unwrap_or_default().to_owned(),
        headers: headers.collect(),
        body: String::from_utf8_lossy(body).into_owned(),
        execution,
    }
}

/// Returns a response whose body fails after its first byte, and breaks its connection.
fn broken_body(breaker: &Breaker) -> Response {
    breaker.break_off();
    let broken = io::Error::from(io::ErrorKind::ConnectionReset);
    let parts = [Ok::<_, io::Error>(Bytes::from_static(b"{")), Err(broken)];
    Response::builder().body(Body::from_bytes_stream(futures_util::stream::iter(parts)))
}
