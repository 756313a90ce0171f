//! Reads the events of a model engine's prefix cache, which arrive late and with gaps.

use std::time::Duration;

use jj_policy::prefix::{CacheChange, CacheEvent};
use jj_utils::common_derives;

use crate::call::BackendClient;

/// Path of the events at an engine.
const EVENTS_PATH: &str = "/cache-events";

common_derives! {wire:
    /// Response of an engine to a read of its events.
    struct CacheEventsWire {
        events: Vec<CacheEventWire>,
    }
}

common_derives! {wire:
    /// One event as an engine reports it.
    struct CacheEventWire {
        seq: u64,
        /// Hash of the prefix, in hexadecimal.
        prefix: String,
        /// True if the prefix was stored, false if it was evicted.
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

/// Reads the events whose number is above `after`. An event with an invalid hash is left out, which
/// shows as a gap in the numbers.
///
/// # Errors
/// When the server publishes no events or doesn't respond in time.
pub async fn read_events(
    client: &BackendClient,
    after: u64,
    timeout: Duration,
) -> anyhow::Result<Vec<CacheEvent>> {
    let path = format!("{EVENTS_PATH}?after={after}");
    let wire: CacheEventsWire = client.get_json(&path, timeout).await?;
    let events = wire.events.into_iter();
    Ok(events.filter_map(|event| event.try_into().ok()).collect())
}
