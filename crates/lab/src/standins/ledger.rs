//! Counts of a stand-in's executions; tests compare them with the outcomes that callers received.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use jj_utils::{clock::unix_millis, common_derives};

common_derives! {wire:
    /// Executions counted under one request id, idempotency key or marker.
    #[derive(Default)]
    pub struct Execution {
        /// Executions started.
        pub started: u32,
        /// Executions completed.
        pub completed: u32,
        /// Wall-clock time of the last start, in milliseconds since the Unix epoch.
        pub last_start_ms: u64,
    }
}

common_derives! {wire:
    /// All executions of a stand-in.
    #[derive(Default)]
    pub struct Executions {
        /// Executions started in total.
        pub started: u64,
        /// Executions completed in total.
        pub completed: u64,
        /// Wall-clock time of the most recent start, in milliseconds since the Unix epoch.
        pub last_start_ms: u64,
        /// Highest number of concurrent executions while cold.
        pub cold_peak: u32,
        /// Overloads of the backend server by requests beyond the cold floor.
        pub falls: u32,
        /// Highest total of KV cache tokens so far, including requests that were refused; engines
        /// only.
        pub token_peak: u32,
        /// Requests refused because the KV cache was full; engines only.
        pub evicted: u32,
        /// Prompts whose prefix was cached; engines only.
        #[serde(default)]
        pub cache_hits: u64,
        /// By `x-request-id`.
        pub by_request: BTreeMap<String, Execution>,
        /// By `Idempotency-Key`.
        pub by_key: BTreeMap<String, Execution>,
        /// By marker: the prompt, or the path with its query.
        pub by_marker: BTreeMap<String, Execution>,
    }
}

common_derives! {value:
    /// Identifiers under which one execution is counted.
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

/// Counts the executions of a stand-in.
#[derive(Debug, Default)]
pub struct Ledger(Mutex<Executions>);

impl Ledger {
    /// Counts the start of an execution.
    pub fn start(&self, names: &Names) {
        let now = unix_millis();
        let mut all = self.lock();
        all.started += 1;
        all.last_start_ms = now;
        update_entries(&mut all, names, |execution| {
            execution.started += 1;
            execution.last_start_ms = now;
        });
    }

    /// Counts the end of an execution.
    pub fn complete(&self, names: &Names) {
        let mut all = self.lock();
        all.completed += 1;
        update_entries(&mut all, names, |execution| execution.completed += 1);
    }

    /// Returns the number of executions started.
    pub fn started(&self) -> u64 {
        self.lock().started
    }

    /// Returns a copy of all counts.
    pub fn snapshot(&self) -> Executions {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Executions> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn update_entries(all: &mut Executions, names: &Names, update: impl Fn(&mut Execution)) {
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
