//! Counters and latency histograms of a process, served in the Prometheus text format.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context;
use http::{HeaderValue, Response, StatusCode, header};
use jj_utils::clock::SharedClock;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::task::spawn_local;

use crate::{
    body::ResponseBody,
    server::{self, Handler, ServerConfig, ServerStop},
    socket,
};

/// HTTP path of the metrics.
pub const METRICS_PATH: &str = "/metrics";

/// Upper bounds of the buckets of all latency histograms, in seconds: from a call within a failure
/// domain up to the longest deadline.
const LATENCY_BUCKETS_SECS: [f64; 14] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.8, 1.6, 4.0, 8.0,
];

/// Time between two clean-ups of the recorded samples.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Installs the process's metrics recorder.
///
/// # Errors
/// When a recorder is already installed.
pub fn install() -> anyhow::Result<PrometheusHandle> {
    let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS_SECS)?;
    Ok(builder.install_recorder()?)
}

/// Returns a response with the current metrics.
pub fn metrics_response(metrics: &PrometheusHandle) -> Response<ResponseBody> {
    text_response(StatusCode::OK, metrics.render())
}

/// Returns a response in plain text.
pub fn text_response(status: StatusCode, body: impl Into<bytes::Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Starts an HTTP server at an address that runs until the process ends; `config` is read for each new
/// connection.
///
/// # Errors
/// When the address can't be bound.
pub fn start(
    addr: SocketAddr,
    clock: SharedClock,
    config: impl Fn() -> ServerConfig + 'static,
    handler: Handler,
) -> anyhow::Result<()> {
    let listener = socket::listen(addr).with_context(|| format!("listen on {addr}"))?;
    let stop = ServerStop::default();
    spawn_local(server::serve(listener, clock, config, handler, stop));
    Ok(())
}

/// Runs the recorder's upkeep periodically, which bounds the memory of recorded samples; never
/// returns.
pub async fn run_upkeep(metrics: PrometheusHandle) {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        metrics.run_upkeep();
    }
}
