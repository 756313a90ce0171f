//! The entry's side of an attempt: send it, read its frames, and ask for its outcome on a new
//! connection when the old one is lost or goes silent.

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

/// Idle connections kept for each agent.
const MAX_IDLE: usize = 64;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Least time between two renewals of the kept connections: a frozen agent makes many silent.
const RENEW_PAUSE: Duration = Duration::from_millis(500);

/// Path of a release below that of its attempt.
pub const RELEASE: &str = "/release";

/// Longest wait for the answer to a release over one connection; two fit into the time for which an
/// agent waits.
const RELEASE_LIMIT: Duration = Duration::from_millis(400);

/// Timing of the link between an entry and an agent.
#[derive(Debug, Clone)]
pub struct LinkConfig {
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Interval of progress frames on a quiet stream.
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
    /// Quiet time after which a connection is taken for dead: two progress intervals.
    pub fn silence_timeout(&self) -> Duration {
        self.progress_interval * 2
    }
}

/// Why a connection to an agent gave no further frame.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// No connection could be opened: no byte of the request was sent.
    #[error("agent not reachable: {0}")]
    Unreachable(reqwest::Error),
    /// The connection was lost or refused after bytes were sent.
    #[error("connection lost: {0}")]
    Lost(reqwest::Error),
    /// The agent answered with something other than frames.
    #[error("agent answered status {0}")]
    Status(u16),
    /// The connection went silent.
    #[error("connection silent")]
    Silent,
    /// The body ended without an end marker.
    #[error("answer cut short")]
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
    /// Keeps connections; replaced when one of them has gone silent.
    pooled: Arc<ArcSwap<Client>>,
    /// Opens a new connection for each call: an open one may be silent too.
    fresh: Client,
    renewed: Arc<Mutex<Option<Instant>>>,
    config: LinkConfig,
}

impl AgentClient {
    /// Builds a client.
    ///
    /// # Errors
    /// When the HTTP client can't be built.
    pub fn new(config: LinkConfig) -> anyhow::Result<Self> {
        Ok(Self {
            pooled: Arc::new(ArcSwap::from_pointee(pooled(&config)?)),
            fresh: builder(&config).pool_max_idle_per_host(0).build()?,
            renewed: Arc::default(),
            config,
        })
    }

    /// Lets further attempts open new connections, since idle ones may be silent like the one that
    /// was found; attempts in progress keep theirs. Does nothing shortly after a renewal.
    pub fn replace_connections(&self) {
        let mut renewed = self.renewed.lock().unwrap_or_else(PoisonError::into_inner);
        if renewed.is_some_and(|at| at.elapsed() < RENEW_PAUSE) {
            return;
        }
        *renewed = Some(Instant::now());
        // A client that can't be built again leaves the old one, whose connections time out.
        if let Ok(client) = pooled(&self.config) {
            self.pooled.store(Arc::new(client));
        }
    }

    /// Sends an attempt and returns the stream of its frames.
    ///
    /// # Errors
    /// [`LinkError::Unreachable`] when no byte was sent; any other error leaves the outcome open.
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

    /// Asks over a new connection for the outcome of an attempt, from data frame `from` on. An
    /// attempt that the agent has not seen is fenced by the question.
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

    /// Lets an attempt start that the agent holds.
    ///
    /// # Errors
    /// [`LinkError::Unreachable`] when no byte was sent, so that it does not start; any other error
    /// leaves that open.
    pub async fn release(&self, agent: SocketAddr, id: &AttemptRef) -> Result<(), LinkError> {
        let url = format!("{}{RELEASE}", attempt_url(agent, id));
        let pooled = self
            .pooled
            .load()
            .post(&url)
            .timeout(RELEASE_LIMIT)
            .send()
            .await;
        if pooled.is_ok() {
            return Ok(());
        }
        let fresh = self.fresh.post(&url).timeout(RELEASE_LIMIT).send().await;
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
        let silence = self.config.silence_timeout();
        let limit = self.config.connect_timeout + silence;
        let sent = tokio::time::timeout(limit, call.send()).await;
        let response = sent.map_err(|_| LinkError::Silent)?.map_err(classify)?;
        if !response.status().is_success() {
            return Err(LinkError::Status(response.status().as_u16()));
        }
        Ok(read_frames(response, silence))
    }
}

fn builder(config: &LinkConfig) -> ClientBuilder {
    let builder = Client::builder().connect_timeout(config.connect_timeout);
    let builder = builder.tcp_nodelay(true).no_proxy();
    builder.redirect(reqwest::redirect::Policy::none())
}

fn pooled(config: &LinkConfig) -> Result<Client, reqwest::Error> {
    let builder = builder(config).pool_max_idle_per_host(MAX_IDLE);
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
    silence: Duration,
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
                    // Reading up to the end of the body lets the connection be used again.
                    let _ = tokio::time::timeout(silence, body.next()).await;
                    yield Ok(frame);
                    return;
                }
                Ok(None) => {}
                Err(error) => {
                    yield Err(error.into());
                    return;
                }
            }
            match tokio::time::timeout(silence, body.next()).await {
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
