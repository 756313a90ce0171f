//! A caller's request that an entry has authorized.

use http::request::Parts;
use jj_direct::{body_budget::StoredBody, header_codec::RequestHeaders};
use jj_policy::{
    catalog::AuthorizedRequest,
    crash_reports::{self, PartId, RequestPart},
};
use jj_utils::{clock::Timestamp, ids::ServiceId};
use xxhash_rust::xxh3::Xxh3;

/// Number of prompt parts up to which a log line names them.
const MAX_LOGGED_PARTS: usize = 8;

/// A request that has been received in full and authorized.
pub struct Request {
    /// Request head as received.
    pub head: Parts,
    /// Complete body.
    pub body: StoredBody,
    /// Values of the headers that the load balancer interprets.
    pub facts: RequestHeaders,
    /// Parts of its prompt that other requests may share, and the request as a whole, whose part is
    /// its fingerprint.
    pub parts: Vec<RequestPart>,
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

    /// Returns the fingerprint for logs, in hexadecimal.
    pub fn fingerprint_text(&self) -> String {
        let whole = self.parts.iter().filter(|it| it.is_whole_request());
        parts_text(whole.map(|it| it.part))
    }

    /// Returns the ids of the first [`MAX_LOGGED_PARTS`] shared parts for logs, in hexadecimal.
    pub fn shared_parts_text(&self) -> String {
        let shared = self.parts.iter().filter(|it| !it.is_whole_request());
        parts_text(shared.map(|it| it.part))
    }
}

/// Returns the parts of a request of a client account that may crash a server: the parts of its
/// prompt that other requests may share, which are all but the last one, and its fingerprint.
pub fn parts(
    head: &Parts,
    facts: &RequestHeaders,
    account: Option<&str>,
    body: &StoredBody,
) -> Vec<RequestPart> {
    let prompt = &facts.prompt_parts;
    let shared = &prompt[..prompt.len().saturating_sub(1)];
    let shared = shared.iter().map(|it| it.id);
    crash_reports::request_parts(shared, Some(fingerprint(head, account, body)))
}

/// Returns the fingerprint of a request: equal for two with the same method, path, client account
/// and body, whatever their ids.
fn fingerprint(head: &Parts, account: Option<&str>, body: &StoredBody) -> PartId {
    let target = head.uri.path_and_query().map_or("/", |it| it.as_str());
    let fields = [
        head.method.as_str().as_bytes(),
        target.as_bytes(),
        account.unwrap_or_default().as_bytes(),
    ];
    let mut hash = Xxh3::new();
    for field in fields {
        // The length keeps fields apart.
        hash.update(&(field.len() as u64).to_le_bytes());
        hash.update(field);
    }
    hash.update(&(body.len() as u64).to_le_bytes());
    for segment in body.segments() {
        hash.update(segment);
    }
    hash.digest()
}

/// Returns the first [`MAX_LOGGED_PARTS`] parts for logs, in hexadecimal.
pub fn parts_text(parts: impl IntoIterator<Item = PartId>) -> String {
    let parts = parts.into_iter().take(MAX_LOGGED_PARTS);
    let ids: Vec<String> = parts.map(|it| format!("{it:x}")).collect();
    ids.join(",")
}
