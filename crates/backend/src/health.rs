//! Health and load as a backend server reports them.

use std::time::Duration;

use jj_utils::common_derives;

use crate::call::BackendClient;

/// Path of the load report.
const LOAD_PATH: &str = "/load";

common_derives! {wire:
    /// Load report of a backend server; a server may leave out what it doesn't know.
    #[derive(Default)]
    #[serde(default)]
    pub struct BackendLoad {
        /// Changes with each start of the server.
        pub boot_id: String,
        /// Time since the server's start, in milliseconds.
        pub uptime_ms: u64,
        /// Requests being worked on.
        pub running: u32,
        /// Requests waiting inside the server.
        pub waiting: u32,
        /// Requests that the server can work on at once.
        pub capacity: u32,
        /// Whether the server takes itself for cold, where it says.
        pub cold: Option<bool>,
    }
}

/// Reads the load report.
///
/// # Errors
/// When the server doesn't answer in time or not with a load report.
pub async fn read_load(client: &BackendClient, limit: Duration) -> anyhow::Result<BackendLoad> {
    client.get_json(LOAD_PATH, limit).await
}
