//! HTTP client for the backend server beside an agent.

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

pub use crate::call_error::{BodyStream, CallError, REQUEST_ID_HEADER};
use crate::{
    start_check::{MayStart, StartCheckLayer},
    stream::{first_token_timeout, token_events},
};

/// Header with the index of the token at which an engine starts a stream.
pub const RESUME_HEADER: &str = "x-resume-from";

/// Header with the priority of a request in an engine.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Path below which an engine accepts cancellations of requests.
const REQUESTS_PATH: &str = "/v1/requests";

/// Maximum size of a JSON document from a backend server, in bytes.
const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// Timeout of a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Headers that apply to one connection only and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 10] = [
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

/// A response whose body is still arriving.
pub struct BackendResponse {
    /// Status and end-to-end headers.
    pub head: Head,
    /// The body.
    pub body: BodyStream,
}

/// Client of one backend server.
#[derive(Clone)]
pub struct BackendClient {
    /// Connection pool for calls; replaced when some connections have gone silent.
    calls: Arc<ArcSwap<Client>>,
    /// Connection pool for reports, orders and cancellations; replaced likewise.
    http: Arc<ArcSwap<Client>>,
    base: String,
    connect: Duration,
    may_start: MayStart,
}

impl BackendClient {
    /// Builds a client for the backend server at `base`, such as `http://127.0.0.1:8000`. A new
    /// connection for a call is not used if `may_start` returns false once it is open.
    ///
    /// # Errors
    /// When the HTTP client can't be built.
    pub fn new(base: &str, connect: Duration, may_start: MayStart) -> anyhow::Result<Self> {
        let calls = client_with_start_check(connect, &may_start)?;
        Ok(Self {
            calls: Arc::new(ArcSwap::from_pointee(calls)),
            http: Arc::new(ArcSwap::from_pointee(builder(connect).build()?)),
            base: base.trim_end_matches('/').to_owned(),
            connect,
            may_start,
        })
    }

    /// Replaces the connection pools, so that further calls open new connections: open ones may
    /// have gone silent. Calls in progress keep their connections.
    pub fn replace_connections(&self) {
        // If no new client can be built, the old one stays; its silent connections time out.
        if let Ok(calls) = client_with_start_check(self.connect, &self.may_start) {
            self.calls.store(Arc::new(calls));
        }
        if let Ok(http) = builder(self.connect).build() {
            self.http.store(Arc::new(http));
        }
    }

    /// Makes the call of an attempt and returns the response once its head has arrived.
    ///
    /// # Errors
    /// [`CallError::Unreachable`] and [`CallError::Malformed`] when no byte was sent; after any
    /// other error the request may have run.
    pub async fn call(
        &self,
        head: &AttemptHead,
        body: Bytes,
    ) -> Result<BackendResponse, CallError> {
        let sending = self.request(head)?.body(body).send();
        let first_timeout = first_token_timeout(head.deadline);
        let response = if head.call.stream {
            let sent = tokio::time::timeout(first_timeout, sending).await;
            sent.map_err(|_| {
                CallError::Truncated("no response before the first-token timeout".into())
            })?
        } else {
            sending.await
        };
        let response = response.map_err(classify)?;
        let response_head = Head {
            status: response.status().as_u16(),
            headers: end_to_end_headers(&response),
        };
        let is_token_stream = head.call.stream && response.status().is_success();
        let body = if is_token_stream {
            token_events(response, &head.id.request, head.resume, first_timeout)
        } else {
            plain_body(response)
        };
        Ok(BackendResponse {
            head: response_head,
            body,
        })
    }

    /// Cancels a request at an engine. The engine can't detect by itself that a connection has gone
    /// silent and the response is no longer needed.
    pub async fn cancel(&self, request: &RequestId) {
        let call = self
            .http
            .load()
            .delete(format!("{}{REQUESTS_PATH}/{request}", self.base));
        // A lost cancellation has no effect other than unneeded work of the engine.
        let _ = call.timeout(CANCEL_TIMEOUT).send().await;
    }

    /// Reads a JSON document from the backend server.
    ///
    /// # Errors
    /// When the server can't be reached in time or does not respond with such a document.
    pub async fn get_json<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> anyhow::Result<T> {
        let call = self
            .http
            .load()
            .get(format!("{}{path}", self.base))
            .timeout(timeout);
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
        timeout: Duration,
    ) -> Result<Response, reqwest::Error> {
        let call = self
            .http
            .load()
            .post(format!("{}{path}", self.base))
            .timeout(timeout);
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

/// Reads the JSON document of a response.
///
/// # Errors
/// When the body is interrupted, too long, or not a document of type `T`.
pub(crate) async fn read_json<T: serde::de::DeserializeOwned>(
    answer: Response,
) -> anyhow::Result<T> {
    let bytes = limited_body::collect(answer.bytes_stream(), MAX_DOCUMENT_BYTES).await?;
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

fn client_with_start_check(
    connect: Duration,
    may_start: &MayStart,
) -> Result<Client, reqwest::Error> {
    let layer = StartCheckLayer(Arc::clone(may_start));
    builder(connect).connector_layer(layer).build()
}

/// Returns true for headers that are forwarded between caller and backend server.
pub fn is_end_to_end(name: &str) -> bool {
    !HOP_BY_HOP_HEADERS
        .iter()
        .any(|hop| name.eq_ignore_ascii_case(hop))
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

fn end_to_end_headers(response: &Response) -> Vec<Header> {
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

fn plain_body(response: Response) -> BodyStream {
    response.bytes_stream().map_err(CallError::Lost).boxed()
}
