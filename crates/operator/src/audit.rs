//! Audit trail of state changes: written to the log and kept in a bounded list.

use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
};

use jj_utils::{clock::unix_millis, common_derives, events::Event, ids::ConfigIndex, log_event};

/// Number of entries kept.
const MAX_ENTRIES: usize = 256;

/// Longest text kept per field, in bytes; longer text is truncated.
const MAX_FIELD_BYTES: usize = 512;

common_derives! {wire:
    /// One state change of the process.
    #[derive(Default)]
    pub struct Change {
        /// Object that changed, such as `domain seoul-a`.
        pub subject: String,
        /// State before.
        pub from: String,
        /// State after.
        pub to: String,
        /// Cause of the change.
        pub reason: String,
        /// Configuration index in force at the change; 0 before the first.
        pub index: ConfigIndex,
    }
}

common_derives! {wire:
    /// A change in the audit trail.
    pub struct AuditEntry {
        /// Sequence number, from 1; older entries were dropped if the first kept one is higher.
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

/// Audit trail with the recent changes of one process.
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
    /// Logs a change as an event and adds it to the trail.
    pub fn record(&self, event: Event, change: Change) {
        let change = truncate_fields(change);
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
        if inner.entries.len() > MAX_ENTRIES {
            inner.entries.pop_front();
        }
    }

    /// Returns the kept changes, oldest first.
    pub fn recent(&self) -> Vec<AuditEntry> {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.entries.iter().cloned().collect()
    }
}

fn truncate_fields(change: Change) -> Change {
    Change {
        subject: truncate_text(change.subject),
        from: truncate_text(change.from),
        to: truncate_text(change.to),
        reason: truncate_text(change.reason),
        index: change.index,
    }
}

fn truncate_text(mut text: String) -> String {
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
