//! A caller's request on its way through an entry.

use bytes::Bytes;
use http::request::Parts;
use jj_direct::dialect::RequestFacts;
use jj_policy::catalog::Admitted;
use jj_utils::{clock::Timestamp, ids::ServiceId};

/// A caller's request, whole and allowed.
pub struct Request {
    /// Head as it arrived.
    pub head: Parts,
    /// Body.
    pub body: Bytes,
    /// What the headers say.
    pub facts: RequestFacts,
    /// Its route and account.
    pub authorized: Admitted,
    /// Service that takes it.
    pub service: ServiceId,
    /// Whether its caller has come with it before.
    pub is_caller_retry: bool,
    /// Version of the configuration that admitted it.
    pub config_version: u64,
    /// When it arrived.
    pub arrived: Timestamp,
    /// When its answer is worth nothing any more.
    pub deadline: Timestamp,
}

impl Request {
    /// Id of this arrival, for logs.
    pub fn id(&self) -> &str {
        self.facts.id.as_deref().unwrap_or("-")
    }
}
