//! A caller's request that an entry has authorized.

use bytes::Bytes;
use http::request::Parts;
use jj_direct::header_codec::RequestHeaders;
use jj_policy::catalog::AuthorizedRequest;
use jj_utils::{clock::Timestamp, ids::ServiceId};

/// A request that has been received in full and authorized.
pub struct Request {
    /// Request head as received.
    pub head: Parts,
    /// Complete body.
    pub body: Bytes,
    /// Values of the headers that the load balancer interprets.
    pub facts: RequestHeaders,
    /// Matched route and client account.
    pub authorized: AuthorizedRequest,
    /// Service to which it is forwarded.
    pub service: ServiceId,
    /// Whether it is probably a retry by its caller, or resumes a stream.
    pub is_caller_retry: bool,
    /// Version of the configuration that authorized it.
    pub config_version: u64,
    /// When its head was received.
    pub arrived: Timestamp,
    /// Time after which a response is of no use to the caller.
    pub deadline: Timestamp,
}

impl Request {
    /// Returns the request id for logs, or `-` if the caller sent none.
    pub fn id(&self) -> &str {
        self.facts.id.as_deref().unwrap_or("-")
    }
}
