//! One HTTP call to the backend server beside an agent.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use bytes::Bytes;
use futures_util::{StreamExt, TryStreamExt};
use jj_peer::{
    attempt::{AttemptHead, Call},
    frames::{Head, Header},
};
use jj_utils::{ids::RequestId, limited_body};
use reqwest::{Client, ClientBuilder, Method, RequestBuilder, Response};

pub use crate::call_error::{CallError, Parts, REQUEST_ID_HEADER};
use crate::{
    guard::{GuardLayer, MayStart},
    stream::{first_token_limit, token_events},
};

/// Header that asks an engine to start a stream at a token.
pub const RESUME_HEADER: &str = "x-resume-from";

/// Header with the priority for an engine.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Path below which an engine takes cancellations.
const REQUESTS_PATH: &str = "/v1/requests";

/// Longest document of a backend server, in bytes.
const LONGEST_DOCUMENT: usize = 1 << 20;

/// Longest time to wait for the answer to a cancellation.
const CANCEL_LIMIT: Duration = Duration::from_secs(1);

/// Headers that belong to one connection and are not passed on.
const HOP_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
];

/// An answer whose body is still arriving.
pub struct BackendAnswer {
    /// Status and end-to-end headers.
    pub head: Head,
    /// The body.
    pub parts: Parts,
}

/// Client of one backend server.
#[derive(Clone)]
pub struct BackendClient {
    /// Holds the connections of calls; replaced when some of them have gone silent.
    calls: Arc<ArcSwap<Client>>,
    /// Holds the connections of reports, orders and cancellations; replaced likewise.
    http: Arc<ArcSwap<Client>>,
    base: String,
    connect: Duration,
    may_start: MayStart,
}

impl BackendClient {
    /// Builds a client for the backend server at `base`, such as `http://127.0.0.1:8000`. A
    /// connection for a call that opens when `may_start` says no is not used.
    ///
    /// # Errors
    /// When the HTTP client can't be built.
    pub fn new(base: &str, connect: Duration, may_start: MayStart) -> anyhow::Result<Self> {
        let calls = guarded(connect, &may_start)?;
        Ok(Self {
            calls: Arc::new(ArcSwap::from_pointee(calls)),
            http: Arc::new(ArcSwap::from_pointee(builder(connect).build()?)),
            base: base.trim_end_matches('/').to_owned(),
            connect,
            may_start,
        })
    }

    /// Lets every further call open a new connection: those that are open may be silent. Calls in
    /// progress keep theirs.
    pub fn renew(&self) {
        // A client that can't be built again leaves the old one, whose connections time out.
        if let Ok(calls) = guarded(self.connect, &self.may_start) {
            self.calls.store(Arc::new(calls));
        }
        if let Ok(http) = builder(self.connect).build() {
            self.http.store(Arc::new(http));
        }
    }

    /// Makes the call of an attempt.
    ///
    /// # Errors
    /// [`CallError::Unreachable`] and [`CallError::Malformed`] when no byte was sent.
    pub async fn call(&self, head: &AttemptHead, body: Bytes) -> Result<BackendAnswer, CallError> {
        let sending = self.request(head)?.body(body).send();
        let first_limit = first_token_limit(head.deadline);
        let response = if head.call.stream {
            let sent = tokio::time::timeout(first_limit, sending).await;
            sent.map_err(|_| CallError::Truncated("no answer in time".into()))?
        } else {
            sending.await
        };
        let response = response.map_err(classify)?;
        let answer = Head {
            status: response.status().as_u16(),
            headers: kept_headers(&response),
        };
        let whole_stream = head.call.stream && response.status().is_success();
        let parts = if whole_stream {
            token_events(response, &head.id.request, head.resume, first_limit)
        } else {
            plain_parts(response)
        };
        Ok(BackendAnswer {
            head: answer,
            parts,
        })
    }

    /// Tells an engine that nobody waits for a request any more: over a connection that has gone
    /// silent it would not notice.
    pub async fn cancel(&self, request: &RequestId) {
        let call = self
            .http
            .load()
            .delete(format!("{}{REQUESTS_PATH}/{request}", self.base));
        // A lost cancellation costs the engine work, and nothing else.
        let _ = call.timeout(CANCEL_LIMIT).send().await;
    }

    /// Reads a JSON document from the backend server.
    ///
    /// # Errors
    /// When the server can't be reached in time or does not answer with such a document.
    pub async fn get_json<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        limit: Duration,
    ) -> anyhow::Result<T> {
        let call = self
            .http
            .load()
            .get(format!("{}{path}", self.base))
            .timeout(limit);
        read_json(call.send().await?.error_for_status()?).await
    }

    /// Posts a JSON document to the backend server and returns the response.
    ///
    /// # Errors
    /// When the server can't be reached in time.
    pub async fn post_json<T: serde::Serialize>(
        &self,
        path: &str,
        document: &T,
        limit: Duration,
    ) -> Result<Response, reqwest::Error> {
        let call = self
            .http
            .load()
            .post(format!("{}{path}", self.base))
            .timeout(limit);
        call.json(document).send().await
    }

    fn request(&self, head: &AttemptHead) -> Result<RequestBuilder, CallError> {
        let Call {
            method,
            target,
            headers,
            ..
        } = &head.call;
        let method = Method::from_bytes(method.as_bytes())
            .map_err(|error| CallError::Malformed(error.to_string()))?;
        let mut request = self
            .http
            .load()
            .request(method, format!("{}{target}", self.base));
        for header in headers.iter().filter(|header| is_end_to_end(&header.name)) {
            request = request.header(&header.name, &header.value);
        }
        request = request.header(REQUEST_ID_HEADER, &head.id.request);
        if head.call.stream {
            request = request.header(PRIORITY_HEADER, head.priority);
            request = request.header(RESUME_HEADER, head.resume);
        }
        Ok(request)
    }
}

/// Reads the document of an answer.
///
/// # Errors
/// When it breaks off, is too long or is another one.
pub(crate) async fn read_json<T: serde::de::DeserializeOwned>(
    answer: Response,
) -> anyhow::Result<T> {
    let bytes = limited_body::collect(answer.bytes_stream(), LONGEST_DOCUMENT).await?;
    Ok(serde_json::from_slice(&bytes)?)
}

fn builder(connect: Duration) -> ClientBuilder {
    Client::builder()
        .connect_timeout(connect)
        .pool_idle_timeout(Duration::from_secs(5))
        .tcp_nodelay(true)
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
}

fn guarded(connect: Duration, may_start: &MayStart) -> Result<Client, reqwest::Error> {
    let layer = GuardLayer(Arc::clone(may_start));
    builder(connect).connector_layer(layer).build()
}

/// True for headers that are passed on between caller and backend server.
pub fn is_end_to_end(name: &str) -> bool {
    !HOP_HEADERS.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

fn classify(error: reqwest::Error) -> CallError {
    if error.is_connect() {
        CallError::Unreachable(error)
    } else if error.is_builder() {
        CallError::Malformed(error.to_string())
    } else {
        CallError::Lost(error)
    }
}

fn kept_headers(response: &Response) -> Vec<Header> {
    let headers = response.headers().iter();
    let kept = headers.filter(|(name, _)| is_end_to_end(name.as_str()));
    kept.filter_map(|(name, value)| {
        let value = value.to_str().ok()?.to_owned();
        Some(Header {
            name: name.as_str().to_owned(),
            value,
        })
    })
    .collect()
}

fn plain_parts(response: Response) -> Parts {
    response.bytes_stream().map_err(CallError::Lost).boxed()
}
