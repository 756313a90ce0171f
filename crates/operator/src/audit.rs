//! Audit trail of changes: to the log, and as a bounded list of the recent ones.

use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
};

use jj_utils::{clock::unix_millis, common_derives, events::Event, ids::ConfigIndex, log_event};

/// Entries that are kept.
const KEPT_ENTRIES: usize = 256;

/// Longest text of one field that is kept, in bytes.
const MAX_FIELD_BYTES: usize = 512;

common_derives! {wire:
    /// One change of what the process does.
    #[derive(Default)]
    pub struct Change {
        /// What changed, such as `domain seoul-a`.
        pub subject: String,
        /// State before.
        pub from: String,
        /// State after.
        pub to: String,
        /// Why.
        pub reason: String,
        /// Configuration index in force at the change; 0 before the first.
        pub index: ConfigIndex,
    }
}

common_derives! {wire:
    /// One kept change.
    pub struct AuditEntry {
        /// Place in the trail, from 1; a gap before the first kept entry means older ones are gone.
        pub number: u64,
        /// Wall-clock time, in milliseconds since the Unix epoch.
        pub time_ms: u64,
        /// Number of the log event.
        pub event: u16,
        /// Name of the log event.
        pub name: String,
        /// The change.
        pub change: Change,
    }
}

/// The recent changes of one process.
#[derive(Debug, Default)]
pub struct AuditTrail {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    entries: VecDeque<AuditEntry>,
    count: u64,
}

impl AuditTrail {
    /// Logs a change as a numbered event and keeps it.
    pub fn record(&self, event: Event, change: Change) {
        let change = shortened(change);
        let Change {
            subject,
            from,
            to,
            reason,
            index,
        } = &change;
        log_event!(event, "{subject}: {from} -> {to}; {reason} (index {index})");
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.count += 1;
        let entry = AuditEntry {
            number: inner.count,
            time_ms: unix_millis(),
            event: event.code,
            name: event.name.to_owned(),
            change,
        };
        inner.entries.push_back(entry);
        if inner.entries.len() > KEPT_ENTRIES {
            inner.entries.pop_front();
        }
    }

    /// The kept changes, oldest first.
    pub fn recent(&self) -> Vec<AuditEntry> {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.entries.iter().cloned().collect()
    }
}

fn shortened(change: Change) -> Change {
    Change {
        subject: shorten(change.subject),
        from: shorten(change.from),
        to: shorten(change.to),
        reason: shorten(change.reason),
        index: change.index,
    }
}

fn shorten(mut text: String) -> String {
    if text.len() > MAX_FIELD_BYTES {
        let mut end = MAX_FIELD_BYTES;
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        text.truncate(end);
        text.push_str("...");
    }
    text
}
