//! What a stand-in has executed; tests compare it with what callers were told.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use jj_utils::{clock::unix_millis, common_derives};

common_derives! {wire:
    /// Executions under one name (a request id, an idempotency key or a marker).
    #[derive(Default)]
    pub struct Execution {
        /// How often an execution was begun.
        pub started: u32,
        /// How often one was carried out to the end.
        pub completed: u32,
        /// Wall-clock time of the last start, in milliseconds since the Unix epoch.
        pub last_start_ms: u64,
    }
}

common_derives! {wire:
    /// Everything that was executed.
    #[derive(Default)]
    pub struct Executions {
        /// Executions begun in all.
        pub started: u64,
        /// Executions carried out to the end in all.
        pub completed: u64,
        /// Wall-clock time of the last start of all, in milliseconds since the Unix epoch.
        pub last_start_ms: u64,
        /// Most concurrent executions while cold.
        pub cold_peak: u32,
        /// Times that work beyond the cold floor made the backend server fall over.
        pub falls: u32,
        /// Most tokens at once that an engine was asked to hold.
        pub token_peak: u32,
        /// Requests for which an engine's memory had no room.
        pub evicted: u32,
        /// By `x-request-id`.
        pub by_request: BTreeMap<String, Execution>,
        /// By `Idempotency-Key`.
        pub by_key: BTreeMap<String, Execution>,
        /// By what the caller chose: the prompt, or the path with its query.
        pub by_marker: BTreeMap<String, Execution>,
    }
}

common_derives! {value:
    /// The names under which one execution is counted.
    #[derive(Default)]
    pub struct Names {
        /// Value of `x-request-id`.
        pub request: Option<String>,
        /// Value of `Idempotency-Key`.
        pub key: Option<String>,
        /// The prompt, or the path with its query.
        pub marker: String,
    }
}

/// Counts executions.
#[derive(Debug, Default)]
pub struct Ledger(Mutex<Executions>);

impl Ledger {
    /// Counts the start of an execution.
    pub fn start(&self, names: &Names) {
        let now = unix_millis();
        let mut all = self.lock();
        all.started += 1;
        all.last_start_ms = now;
        each(&mut all, names, |execution| {
            execution.started += 1;
            execution.last_start_ms = now;
        });
    }

    /// Counts the end of an execution.
    pub fn complete(&self, names: &Names) {
        let mut all = self.lock();
        all.completed += 1;
        each(&mut all, names, |execution| execution.completed += 1);
    }

    /// Executions begun in all.
    pub fn started(&self) -> u64 {
        self.lock().started
    }

    /// A copy of all counts.
    pub fn snapshot(&self) -> Executions {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Executions> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn each(all: &mut Executions, names: &Names, update: impl Fn(&mut Execution)) {
    if let Some(request) = &names.request {
        update(entry(&mut all.by_request, request));
    }
    if let Some(key) = &names.key {
        update(entry(&mut all.by_key, key));
    }
    update(entry(&mut all.by_marker, &names.marker));
}

fn entry<'a>(map: &'a mut BTreeMap<String, Execution>, name: &str) -> &'a mut Execution {
    map.entry(name.to_owned()).or_default()
}
