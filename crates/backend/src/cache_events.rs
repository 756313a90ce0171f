//! Events of a model engine's prefix cache, which come late and with gaps.

use std::time::Duration;

use jj_policy::prefix::{CacheChange, CacheEvent};
use jj_utils::common_derives;

use crate::call::BackendClient;

/// Path of the events.
const EVENTS_PATH: &str = "/cache-events";

common_derives! {wire:
    /// Answer of an engine.
    struct CacheEventsWire {
        events: Vec<CacheEventWire>,
    }
}

common_derives! {wire:
    /// One event as an engine tells it.
    struct CacheEventWire {
        seq: u64,
        /// Hash of the prefix, in hex.
        prefix: String,
        /// Stored, or else evicted.
        added: bool,
    }
}

impl TryFrom<CacheEventWire> for CacheEvent {
    type Error = std::num::ParseIntError;

    fn try_from(wire: CacheEventWire) -> Result<Self, Self::Error> {
        let prefix = u64::from_str_radix(&wire.prefix, 16)?;
        let change = match wire.added {
            true => CacheChange::Stored(prefix),
            false => CacheChange::Evicted(prefix),
        };
        Ok(Self {
            seq: wire.seq,
            change,
        })
    }
}

/// Reads the events whose number is above `after`; one that can't be read is left out, which shows
/// as a gap.
///
/// # Errors
/// When the server has no such events or doesn't answer in time.
pub async fn read_events(
    client: &BackendClient,
    after: u64,
    limit: Duration,
) -> anyhow::Result<Vec<CacheEvent>> {
    let path = format!("{EVENTS_PATH}?after={after}");
    let wire: CacheEventsWire = client.get_json(&path, limit).await?;
    let events = wire.events.into_iter();
    Ok(events.filter_map(|event| event.try_into().ok()).collect())
}
