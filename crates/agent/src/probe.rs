//! Watches the backend server for a restart: reads its own report, and keeps one idle connection
//! whose end is seen before a new process can take requests.

use std::time::Duration;

use jj_backend::{
    call::BackendClient,
    health::{BackendLoad, read_load},
};
use jj_policy::admission::ServerReport;
use jj_utils::clock::{SharedClock, Timestamp};
use tokio::{io::AsyncReadExt, net::TcpStream, time::MissedTickBehavior};
use tokio_util::sync::CancellationToken;

use crate::permit::Control;

/// Interval of reading the report.
const INTERVAL: Duration = Duration::from_millis(100);

/// Pause before a new idle connection.
const RECONNECT: Duration = Duration::from_millis(10);

/// Longest wait for a report.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Passes reports on until `token` is cancelled.
pub async fn run(
    backend: BackendClient,
    control: Control,
    clock: SharedClock,
    token: CancellationToken,
) {
    let mut tick = tokio::time::interval(INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            _ = tick.tick() => {}
        }
        let asked = clock.now();
        // A server that does not answer makes no report; its connections tell of it.
        if let Ok(load) = read_load(&backend, TIMEOUT).await
            && let Some(report) = report(asked, load)
        {
            control.report(report);
        }
    }
}

/// Keeps an idle connection to the backend server at `addr`, and tells when it ends.
pub async fn watch(addr: String, control: Control, token: CancellationToken) {
    while !token.is_cancelled() {
        if let Ok(mut idle) = TcpStream::connect(&addr).await {
            tokio::select! {
                () = token.cancelled() => return,
                // The server has nothing to say: whatever ends the wait is the connection's end.
                _ = idle.read_u8() => control.closed(),
            }
        }
        tokio::time::sleep(RECONNECT).await;
    }
}

/// The report as the gate reads it; a server that names no boot reports nothing of use.
fn report(asked: Timestamp, load: BackendLoad) -> Option<ServerReport> {
    if load.boot_id.is_empty() {
        return None;
    }
    Some(ServerReport {
        measured_at: asked,
        boot_id: Some(load.boot_id),
        uptime: Some(Duration::from_millis(load.uptime_ms)),
        warm: load.cold.map(|cold| !cold),
        in_flight: Some(load.running + load.waiting),
    })
}
