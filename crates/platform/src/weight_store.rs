//! Reads weights from the rate-limited weight store within this process's share of the rate.

use std::time::Duration;

use bytes::Bytes;
use jj_utils::clock::SharedClock;
use reqwest::{Client, Response, StatusCode};
use tokio_util::sync::CancellationToken;

/// Settings of weight reads.
#[derive(Debug, Clone)]
pub struct WeightStoreConfig {
    /// Base URL of the weight store, without a slash at its end.
    pub base_url: String,
    /// Bytes per second that this process may read.
    pub byte_rate: u64,
    /// Number of tries before a read fails.
    pub max_tries: u32,
    /// Wait after a rate refusal without `Retry-After`.
    pub retry_wait: Duration,
    /// Longest wait between two chunks of a response.
    pub read_timeout: Duration,
}

impl Default for WeightStoreConfig {
    fn default() -> Self {
        Self {
            base_url: "http://127.0.0.1:8500".to_owned(),
            byte_rate: 256 * 1024 * 1024,
            max_tries: 8,
            retry_wait: Duration::from_secs(1),
            read_timeout: Duration::from_secs(10),
        }
    }
}

/// Error of a weight read.
#[derive(Debug, thiserror::Error)]
pub enum WeightError {
    /// No response, or an incomplete one.
    #[error("the weight store is unreachable: {0}")]
    Unreachable(#[from] reqwest::Error),
    /// No further chunk arrived within the read timeout.
    #[error("no data from the weight store within the read timeout")]
    Silent,
    /// A response with an unexpected HTTP status.
    #[error("the weight store responded with HTTP status {0}")]
    Status(u16),
    /// Every try was refused because of the rate limit.
    #[error("the weight store refused all {0} tries because of its rate limit")]
    Limited(u32),
    /// The read was cancelled.
    #[error("cancelled")]
    Cancelled,
}

/// Reader of the weight store.
#[derive(Clone)]
pub struct WeightStore {
    /// Settings.
    pub config: WeightStoreConfig,
    /// HTTP client for the weight store.
    pub client: Client,
    /// The process's clock.
    pub clock: SharedClock,
    /// Cancels all reads.
    pub token: CancellationToken,
}

impl WeightStore {
    /// Reads `name` and passes each chunk to `on_chunk`; returns the number of bytes read.
    ///
    /// # Errors
    /// Any [`WeightError`].
    pub async fn read(&self, name: &str, on_chunk: impl FnMut(Bytes)) -> Result<u64, WeightError> {
        tokio::select! {
            result = self.read_whole(name, on_chunk) => result,
            () = self.token.cancelled() => Err(WeightError::Cancelled),
        }
    }

    async fn read_whole(
        &self,
        name: &str,
        mut on_chunk: impl FnMut(Bytes),
    ) -> Result<u64, WeightError> {
        let mut response = self.open(name).await?;
        let start = self.clock.now();
        let mut total: u64 = 0;
        loop {
            let next = tokio::time::timeout(self.config.read_timeout, response.chunk()).await;
            let Some(chunk) = next.map_err(|_| WeightError::Silent)?? else {
                return Ok(total);
            };
            total += chunk.len() as u64;
            on_chunk(chunk);
            let earliest = start + transfer_time(total, self.config.byte_rate);
            tokio::time::sleep(earliest.saturating_sub(self.clock.now())).await;
        }
    }

    async fn open(&self, name: &str) -> Result<Response, WeightError> {
        let url = format!("{}/weights/{name}", self.config.base_url);
        for _ in 0..self.config.max_tries {
            let response = self.client.get(&url).send().await?;
            match response.status() {
                StatusCode::OK => return Ok(response),
                StatusCode::TOO_MANY_REQUESTS => {
                    tokio::time::sleep(self.retry_wait_of(&response)).await;
                }
                status => return Err(WeightError::Status(status.as_u16())),
            }
        }
        Err(WeightError::Limited(self.config.max_tries))
    }

    fn retry_wait_of(&self, response: &Response) -> Duration {
        let header = response.headers().get("retry-after");
        let seconds = header.and_then(|text| text.to_str().ok()?.parse().ok());
        seconds.map_or(self.config.retry_wait, Duration::from_secs)
    }
}

/// Returns the transfer time of `bytes` at `rate` bytes per second.
pub fn transfer_time(bytes: u64, rate: u64) -> Duration {
    let seconds = bytes as f64 / rate.max(1) as f64;
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
