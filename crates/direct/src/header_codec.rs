//! What the headers of requests and answers say, apart from their names.
//!
//! A deployment's adapter supplies a [`HeaderCodec`] that reads and writes the headers; everything else
//! works with the facts.

use std::time::Duration;

use http::{HeaderMap, StatusCode};
use jj_utils::{common_derives, ids::BackendServerId};

/// Position of an event in its stream; rises from event to event.
pub type EventId = u64;

common_derives! {copy:
    /// Tokens of a request for a model.
    #[derive(Default)]
    pub struct TokenUsage {
        /// Tokens of the prompt.
        pub prompt_tokens: u32,
        /// Most tokens of the answer.
        pub max_answer_tokens: u32,
    }
}

common_derives! {copy:
    /// One part of a prompt that other requests may share.
    pub struct PromptPart {
        /// Names the part and all before it.
        pub id: u64,
        /// Its length in tokens.
        pub tokens: u32,
    }
}

common_derives! {value:
    /// What a caller's headers say.
    #[derive(Default)]
    pub struct RequestHeaders {
        /// Id of this arrival, as the caller chose it.
        pub id: Option<String>,
        /// Time that the caller waits.
        pub timeout: Option<Duration>,
        /// Key of the client account.
        pub api_key: Option<String>,
        /// Last event that the caller has, when it resumes a stream.
        pub last_event_id: Option<EventId>,
        /// Tokens of a request for a model.
        pub token_usage: TokenUsage,
        /// Parts of the prompt, in order.
        pub prompt_parts: Vec<PromptPart>,
        /// The caller's estimate of the answer's length, in tokens.
        pub length_hint: Option<u32>,
    }
}

/// What the headers towards a backend server say beside the caller's own.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ForwardHeaders<'a> {
    /// Backend server for which the request is meant.
    pub server: &'a str,
    /// Time left until the deadline; none where there is no deadline.
    pub time_left: Option<Duration>,
    /// Client account; none where requests need no key.
    pub account: Option<&'a str>,
    /// Last event that the caller has, when a stream is resumed.
    pub last_event_id: Option<EventId>,
    /// Rank at the engine, 0 first; none leaves it to the engine.
    pub priority: Option<u8>,
}

common_derives! {copy:
    /// Load that a server tells with an answer.
    pub struct ServerLoad {
        /// Requests that it works on.
        pub running: u32,
        /// Requests that wait there.
        pub waiting: u32,
        /// Requests that it can work on at once.
        pub slots: u32,
    }
}

common_derives! {value:
    /// What a backend server's headers say.
    #[derive(Default)]
    pub struct ResponseHeaders {
        /// Id of the request that is answered.
        pub request_id: Option<String>,
        /// The request has not run and never will.
        pub not_run: bool,
        /// Another server than the one meant has the address.
        pub is_misdirected: bool,
        /// The server's signature is there.
        pub is_signed: bool,
        /// Load of the server.
        pub load: Option<ServerLoad>,
        /// Server that caused a failure, where it isn't the one that answers.
        pub faulty_server: Option<BackendServerId>,
        /// The server will end soon and takes no new requests.
        pub is_leaving: bool,
        /// Time for which the server wants nothing from the one that it has turned away.
        pub retry_after: Option<Duration>,
        /// Time for which the server keeps the connection open while idle.
        pub keep_alive: Option<Duration>,
        /// The server closes the connection after this answer.
        pub closes_connection: bool,
    }
}

/// Why a caller's headers can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// A header that may stand once stands twice with different values.
    #[error("a header stands twice with different values")]
    Ambiguous,
    /// A header's value has the wrong form.
    #[error("the value of a header has the wrong form")]
    Malformed,
}

/// Reads and writes the headers of one deployment.
#[derive(Debug, Clone, Copy)]
pub struct HeaderCodec {
    /// Reads a caller's headers.
    pub read_request: fn(&HeaderMap) -> Result<RequestHeaders, HeaderError>,
    /// Replaces the headers that the system sets towards a backend server.
    pub write_request: fn(&mut HeaderMap, &ForwardHeaders<'_>),
    /// Reads a backend server's headers.
    pub read_answer: fn(StatusCode, &HeaderMap) -> ResponseHeaders,
    /// Sets the time after which a refused caller may come back.
    pub write_retry_after: fn(&mut HeaderMap, Duration),
}
