//! Ids of stream events. They identify the attempt and token, so any entry can resume a stream.

use std::{fmt, str::FromStr};

use jj_caller::problem::Refusal;
use jj_peer::attempt::AttemptRef;
use jj_utils::ids::InstanceId;
use poem::http::StatusCode;

/// Separates the parts of an event id.
const SEPARATOR: char = '/';

/// Position in a stream, written as `agent/incarnation/request/attempt/index`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventId {
    /// Agent that holds the attempt's frames.
    pub agent: InstanceId,
    /// The attempt.
    pub id: AttemptRef,
    /// Token index.
    pub index: u64,
}

impl EventId {
    /// Creates the event id of one token.
    pub fn new(agent: &str, id: &AttemptRef, index: u64) -> Self {
        Self {
            agent: agent.to_owned(),
            id: id.clone(),
            index,
        }
    }
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let AttemptRef {
            request,
            attempt,
            incarnation,
        } = &self.id;
        write!(
            f,
            "{}/{incarnation}/{request}/{attempt}/{}",
            self.agent, self.index
        )
    }
}

impl FromStr for EventId {
    type Err = Refusal;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text).ok_or_else(|| {
            let detail = "last-event-id is not an event id of this service";
            Refusal::invalid(StatusCode::BAD_REQUEST, detail)
        })
    }
}

fn parse(text: &str) -> Option<EventId> {
    let mut parts = text.rsplitn(5, SEPARATOR);
    let index = parts.next()?.parse().ok()?;
    let attempt = parts.next()?.parse().ok()?;
    let request = parts.next()?;
    let incarnation = parts.next()?.parse().ok()?;
    let agent = parts.next()?.to_owned();
    let is_request = request.len() == 32 && request.bytes().all(|b| b.is_ascii_hexdigit());
    let id = AttemptRef {
        request: request.to_owned(),
        attempt,
        incarnation,
    };
    (is_request && index < u64::MAX).then_some(EventId { agent, id, index })
}
