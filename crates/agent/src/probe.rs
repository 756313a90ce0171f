//! Detects a restart of the backend server: polls its load report, and keeps one idle connection,
//! whose end is noticed before a new process can accept requests.

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

/// Interval between two reads of the load report.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Delay before a new idle connection is opened.
const RECONNECT_DELAY: Duration = Duration::from_millis(10);

/// Timeout for reading a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Forwards load reports to the control thread until `token` is cancelled.
pub async fn poll_reports(
    backend: BackendClient,
    control: Control,
    clock: SharedClock,
    token: CancellationToken,
) {
    let mut tick = tokio::time::interval(REPORT_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            _ = tick.tick() => {}
        }
        let requested_at = clock.now();
        // A failed read is not reported: the connections to the server show that it is down.
        if let Ok(load) = read_load(&backend, REPORT_TIMEOUT).await
            && let Some(report) = server_report(requested_at, load)
        {
            control.report_server(report);
        }
    }
}

/// Keeps an idle connection to the backend server at `addr` and reports when it ends.
pub async fn watch_idle_connection(addr: String, control: Control, token: CancellationToken) {
    while !token.is_cancelled() {
        if let Ok(mut idle) = TcpStream::connect(&addr).await {
            tokio::select! {
                () = token.cancelled() => return,
                // The server sends nothing unasked: whatever ends the read, the connection is over.
                _ = idle.read_u8() => control.report_idle_close(),
            }
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Converts a load report for admission control; `None` if it has no boot id, without which a
/// restart can't be detected.
fn server_report(requested_at: Timestamp, load: BackendLoad) -> Option<ServerReport> {
    if load.boot_id.is_empty() {
        return None;
    }
    Some(ServerReport {
        measured_at: requested_at,
        boot_id: Some(load.boot_id),
        uptime: Some(Duration::from_millis(load.uptime_ms)),
        warm: load.cold.map(|cold| !cold),
        in_flight: Some(load.running + load.waiting),
    })
}
