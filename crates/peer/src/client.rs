//! The entry's side of an attempt: sends it, reads its frames, and queries its outcome on a new
//! connection when the old one is lost or has gone silent.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use reqwest::{Client, ClientBuilder};
use tokio::time::Instant;

use crate::{
    attempt::{self, ATTEMPTS_PATH, AttemptError, AttemptHead, AttemptRef},
    frames::{Frame, FrameError, FrameReader},
};

/// Maximum number of idle connections per agent.
const MAX_IDLE_PER_AGENT: usize = 64;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Minimum time between two replacements of the connection pool: a suspended agent makes many
/// connections silent at once.
const MIN_REPLACE_INTERVAL: Duration = Duration::from_millis(500);

/// Path suffix that turns the path of an attempt into that of its release.
pub const RELEASE: &str = "/release";

/// Timeout of a release over one connection; two tries fit into the time for which an agent waits
/// for the release.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(400);

/// Timing of the connections between an entry and an agent.
#[derive(Debug, Clone)]
pub struct LinkConfig {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Interval at which progress frames are sent while a response has no new frames.
    pub progress_interval: Duration,
}

impl Default for LinkConfig {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            progress_interval: Duration::from_millis(500),
        }
    }
}

impl LinkConfig {
    /// Returns the time without data after which a connection counts as dead: two progress
    /// intervals.
    pub fn silence_timeout(&self) -> Duration {
        self.progress_interval * 2
    }
}

/// Why no further frame was received from an agent.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// No connection could be opened: no byte of the request was sent.
    #[error("agent is not reachable: {0}")]
    Unreachable(reqwest::Error),
    /// The connection was lost or refused after bytes were sent.
    #[error("connection to the agent was lost: {0}")]
    Lost(reqwest::Error),
    /// The agent responded with an HTTP status other than success.
    #[error("agent responded with HTTP status {0}")]
    Status(u16),
    /// No data arrived within the silence timeout.
    #[error("connection to the agent has gone silent")]
    Silent,
    /// The body ended without a final frame.
    #[error("response of the agent is truncated")]
    Truncated,
    /// The agent does not follow the protocol.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The attempt can't be encoded.
    #[error(transparent)]
    Attempt(#[from] AttemptError),
}

/// Client of every agent's traffic port.
#[derive(Debug, Clone)]
pub struct AgentClient {
    /// Reuses connections; replaced when one of them has gone silent.
    pooled: Arc<ArcSwap<Client>>,
    /// Opens a new connection for each call, since a pooled one may be silent too.
    fresh: Client,
    last_replaced: Arc<Mutex<Option<Instant>>>,
    config: LinkConfig,
}

impl AgentClient {
    /// Builds a client.
    ///
    /// # Errors
    /// When the HTTP client can't be built.
    pub fn new(config: LinkConfig) -> anyhow::Result<Self> {
        Ok(Self {
            pooled: Arc::new(ArcSwap::from_pointee(pooled_client(&config)?)),
            fresh: client_builder(&config).pool_max_idle_per_host(0).build()?,
            last_replaced: Arc::default(),
            config,
        })
    }

    /// Replaces the connection pool after a connection has gone silent, since its idle connections
    /// may be silent too. Attempts in progress keep their connections. Does nothing within
    /// [`MIN_REPLACE_INTERVAL`] of the last replacement.
    pub fn replace_connections(&self) {
        let mut last_replaced = self
            .last_replaced
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if last_replaced.is_some_and(|at| at.elapsed() < MIN_REPLACE_INTERVAL) {
            return;
        }
        *last_replaced = Some(Instant::now());
        // If no new client can be built, the old one stays; its silent connections time out.
        if let Ok(client) = pooled_client(&self.config) {
            self.pooled.store(Arc::new(client));
        }
    }

    /// Sends an attempt and returns the stream of its frames.
    ///
    /// # Errors
    /// [`LinkError::Unreachable`] when no byte was sent; after any other error the outcome is
    /// unknown.
    pub async fn send(
        &self,
        agent: SocketAddr,
        head: &AttemptHead,
        body: &Bytes,
    ) -> Result<impl Stream<Item = Result<Frame, LinkError>> + use<>, LinkError> {
        let url = format!("http://{agent}{ATTEMPTS_PATH}");
        let body = attempt::encode(head, body)?;
        self.open(self.pooled.load().post(url).body(body)).await
    }

    /// Queries the outcome of an attempt over a new connection and returns the stream of its frames
    /// from data frame `from` on. The query fences an attempt that the agent has not received.
    ///
    /// # Errors
    /// As [`AgentClient::send`].
    pub async fn query_outcome(
        &self,
        agent: SocketAddr,
        id: &AttemptRef,
        from: u64,
    ) -> Result<impl Stream<Item = Result<Frame, LinkError>> + use<>, LinkError> {
        let url = format!("{}?from={from}", attempt_url(agent, id));
        self.open(self.fresh.get(url)).await
    }

    /// Releases an attempt that the agent holds, so that it may start.
    ///
    /// # Errors
    /// [`LinkError::Unreachable`] when no byte was sent, so that it does not start; after any other
    /// error it may have started.
    pub async fn release(&self, agent: SocketAddr, id: &AttemptRef) -> Result<(), LinkError> {
        let url = format!("{}{RELEASE}", attempt_url(agent, id));
        let pooled = self
            .pooled
            .load()
            .post(&url)
            .timeout(RELEASE_TIMEOUT)
            .send()
            .await;
        if pooled.is_ok() {
            return Ok(());
        }
        let fresh = self.fresh.post(&url).timeout(RELEASE_TIMEOUT).send().await;
        match (pooled.map_err(classify), fresh.map_err(classify)) {
            (_, Ok(_)) | (Ok(_), _) => Ok(()),
            (Err(LinkError::Unreachable(_)), Err(error)) => Err(error),
            (Err(error), Err(_)) => Err(error),
        }
    }

    async fn open(
        &self,
        call: reqwest::RequestBuilder,
    ) -> Result<impl Stream<Item = Result<Frame, LinkError>> + use<>, LinkError> {
        let silence_timeout = self.config.silence_timeout();
        let limit = self.config.connect_timeout + silence_timeout;
        let sent = tokio::time::timeout(limit, call.send()).await;
        let response = sent.map_err(|_| LinkError::Silent)?.map_err(classify)?;
        if !response.status().is_success() {
            return Err(LinkError::Status(response.status().as_u16()));
        }
        Ok(read_frames(response, silence_timeout))
    }
}

fn client_builder(config: &LinkConfig) -> ClientBuilder {
    let builder = Client::builder().connect_timeout(config.connect_timeout);
    let builder = builder.tcp_nodelay(true).no_proxy();
    builder.redirect(reqwest::redirect::Policy::none())
}

fn pooled_client(config: &LinkConfig) -> Result<Client, reqwest::Error> {
    let builder = client_builder(config).pool_max_idle_per_host(MAX_IDLE_PER_AGENT);
    builder.pool_idle_timeout(IDLE_TIMEOUT).build()
}

fn attempt_url(agent: SocketAddr, id: &AttemptRef) -> String {
    let AttemptRef {
        request,
        attempt,
        incarnation,
    } = id;
    format!("http://{agent}{ATTEMPTS_PATH}/{request}/{attempt}/{incarnation}")
}

fn classify(error: reqwest::Error) -> LinkError {
    if error.is_connect() {
        LinkError::Unreachable(error)
    } else {
        LinkError::Lost(error)
    }
}

fn read_frames(
    response: reqwest::Response,
    silence_timeout: Duration,
) -> impl Stream<Item = Result<Frame, LinkError>> {
    async_stream::stream! {
        let mut reader = FrameReader::default();
        let mut body = response.bytes_stream();
        loop {
            match reader.next_frame() {
                Ok(Some(frame)) => {
                    if !matches!(frame, Frame::End { .. } | Frame::Failed(_)) {
                        yield Ok(frame);
                        continue;
                    }
                    // The connection can be reused only once the body has been read to its end.
                    let _ = tokio::time::timeout(silence_timeout, body.next()).await;
                    yield Ok(frame);
                    return;
                }
                Ok(None) => {}
                Err(error) => {
                    yield Err(error.into());
                    return;
                }
            }
            match tokio::time::timeout(silence_timeout, body.next()).await {
                Ok(Some(Ok(bytes))) => reader.push(&bytes),
                Ok(Some(Err(error))) => {
                    yield Err(LinkError::Lost(error));
                    return;
                }
                Ok(None) => {
                    yield Err(LinkError::Truncated);
                    return;
                }
                Err(_) => {
                    yield Err(LinkError::Silent);
                    return;
                }
            }
        }
    }
}
