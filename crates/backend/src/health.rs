//! Load and state that a backend server reports.

use std::time::Duration;

use jj_utils::common_derives;

use crate::call::BackendClient;

/// Path of the load report.
const LOAD_PATH: &str = "/load";

common_derives! {wire:
    /// Load report of a backend server; a server may omit fields that it doesn't know.
    #[derive(Default)]
    #[serde(default)]
    pub struct BackendLoad {
        /// Id of the server process, which changes with each start.
        pub boot_id: String,
        /// Time since the server's start, in milliseconds.
        pub uptime_ms: u64,
        /// Number of requests being processed.
        pub running: u32,
        /// Number of requests waiting inside the server.
        pub waiting: u32,
        /// Maximum number of requests that the server processes at once.
        pub capacity: u32,
        /// Whether the server considers itself cold, if reported.
        pub cold: Option<bool>,
    }
}

/// Reads the load report.
///
/// # Errors
/// When the server doesn't respond in time with a load report.
pub async fn read_load(client: &BackendClient, timeout: Duration) -> anyhow::Result<BackendLoad> {
    client.get_json(LOAD_PATH, timeout).await
}
