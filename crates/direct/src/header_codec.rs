//! Contents of request and response headers, independent of the headers' names.
//!
//! A deployment's adapter supplies a [`HeaderCodec`] that reads and writes the headers; all other
//! code uses the parsed values.

use std::time::Duration;

use http::{HeaderMap, StatusCode};
use jj_policy::rate_limits::RequestRate;
use jj_utils::{common_derives, ids::BackendServerId};

/// Position of an event in its stream; increases from event to event.
pub type EventId = u64;

common_derives! {copy:
    /// Token counts of a request for a model.
    #[derive(Default)]
    pub struct TokenUsage {
        /// Length of the prompt in tokens.
        pub prompt_tokens: u32,
        /// Maximum length of the answer in tokens.
        pub max_answer_tokens: u32,
    }
}

common_derives! {copy:
    /// Part of a prompt that other requests may share as a prefix.
    pub struct PromptPart {
        /// Id of the prefix that ends with this part.
        pub id: u64,
        /// Length of the part in tokens.
        pub tokens: u32,
    }
}

common_derives! {value:
    /// Parsed headers of a caller's request.
    #[derive(Default)]
    pub struct RequestHeaders {
        /// Id that the caller gave this attempt of the request.
        pub id: Option<String>,
        /// Time from now for which the caller waits for the response.
        pub timeout: Option<Duration>,
        /// API key of the client account.
        pub api_key: Option<String>,
        /// Last event that the caller received, when it resumes a stream.
        pub last_event_id: Option<EventId>,
        /// Token counts of a request for a model.
        pub token_usage: TokenUsage,
        /// Parts of the prompt, in order.
        pub prompt_parts: Vec<PromptPart>,
        /// The caller's estimate of the answer's length, in tokens.
        pub length_hint: Option<u32>,
    }
}

/// Values of the headers that the load balancer sets on a request to a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ForwardHeaders<'a> {
    /// Backend server that is to run the request.
    pub server: &'a str,
    /// Time left until the deadline; none if there is no deadline.
    pub time_left: Option<Duration>,
    /// Client account; none if requests need no key.
    pub account: Option<&'a str>,
    /// Last event that the caller received, when a stream is resumed.
    pub last_event_id: Option<EventId>,
    /// Priority at the engine, 0 is served first; none leaves it to the engine.
    pub priority: Option<u8>,
}

common_derives! {copy:
    /// Load that a backend server reports with a response.
    pub struct ServerLoad {
        /// Requests that the server is running.
        pub running: u32,
        /// Requests in the server's queue.
        pub waiting: u32,
        /// Maximum number of requests that the server runs concurrently.
        pub slots: u32,
    }
}

/// What a response says of the rate that its server accepts from all processes together.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum RateHeader {
    /// The response states no rate: the server accepts any.
    #[default]
    Absent,
    /// The server accepts this rate.
    Rate(RequestRate),
    /// The header has an invalid format and says nothing.
    Malformed,
}

common_derives! {value:
    /// Parsed headers of a backend server's response.
    #[derive(Default)]
    pub struct ResponseHeaders {
        /// Id of the request that this response belongs to.
        pub request_id: Option<String>,
        /// Whether the request has not run and never will.
        pub not_run: bool,
        /// Whether the request reached a server other than its target, which now has the address.
        pub is_misdirected: bool,
        /// Whether the response carries a signature of the server; the signature is not verified.
        pub is_signed: bool,
        /// Load of the server.
        pub load: Option<ServerLoad>,
        /// Server that caused a failure, if it isn't the one that responds.
        pub faulty_server: Option<BackendServerId>,
        /// Whether the server will stop soon and takes no new requests.
        pub is_leaving: bool,
        /// Time for which the sender of a refused request should send the server no requests.
        pub retry_after: Option<Duration>,
        /// Request rate that the server accepts from all processes together.
        pub rate_limit: RateHeader,
        /// Time for which the server keeps an idle connection open.
        pub keep_alive: Option<Duration>,
        /// Whether the server closes the connection after this response.
        pub closes_connection: bool,
    }
}

/// Reason why a caller's headers are invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// A header that may occur once occurs several times with different values.
    #[error("a header occurs several times with different values")]
    Ambiguous,
    /// The value of a header has an invalid format.
    #[error("the value of a header has an invalid format")]
    Malformed,
}

/// Functions that read and write the headers of one deployment.
#[derive(Debug, Clone, Copy)]
pub struct HeaderCodec {
    /// Parses a caller's headers.
    pub read_request: fn(&HeaderMap) -> Result<RequestHeaders, HeaderError>,
    /// Sets the load balancer's headers on a request to a backend server, replacing the caller's.
    pub write_request: fn(&mut HeaderMap, &ForwardHeaders<'_>),
    /// Parses a backend server's status and headers.
    pub read_response: fn(StatusCode, &HeaderMap) -> ResponseHeaders,
    /// Sets the time after which a refused caller may retry.
    pub write_retry_after: fn(&mut HeaderMap, Duration),
}
