//! State of the stand-in platform: all versions of all values, injected faults, and call counts.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use jj_platform::wire::InstanceList;
use jj_utils::{collections::FastMap, common_derives};
use tokio::sync::watch;

common_derives! {wire:
    /// Faults that a test injects; an absent field keeps its current value.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Control {
        /// Reads of the configuration service and the live list answer 503.
        pub down: Option<bool>,
        /// Reads never answer, as on a connection whose state the network has lost.
        pub silent: Option<bool>,
        /// Reads return the values as of this index; 0 ends the fault.
        pub stale_at: Option<u64>,
        /// True makes reads return the values as of now, false ends that; overrides `stale_at`.
        pub frozen: Option<bool>,
        /// While reads are stale, only each nth read is; 0 and 1 mean every read.
        pub stale_every: Option<u64>,
        /// Delay before a new live list can be read, in milliseconds.
        pub lag_ms: Option<u64>,
    }
}

common_derives! {wire:
    /// Calls received since the start.
    #[derive(Default)]
    pub struct Calls {
        /// Reads of the manifest.
        pub manifest: u64,
        /// Reads of other keys.
        pub documents: u64,
        /// Reads of the live list.
        pub instances: u64,
        /// Reads of the weight store.
        pub weights: u64,
    }
}

impl Calls {
    /// Returns the number of reads of the configuration service.
    pub fn configuration(&self) -> u64 {
        self.manifest + self.documents
    }
}

common_derives! {value:
    /// One version of a value.
    pub struct Version {
        /// Index at which the value was put.
        pub index: u64,
        /// Bytes of the value.
        pub value: Vec<u8>,
    }
}

common_derives! {copy:
    /// Identifies one of the live lists.
    pub enum ListName {
        /// The list of the platform's own address.
        Main,
        /// The list of an additional address, by its index.
        View(usize),
    }
}

common_derives! {value:
    /// One live list and its index.
    #[derive(Default)]
    struct IndexedList {
        index: u64,
        list: InstanceList,
    }
}

/// State that one read sees.
pub enum View {
    /// The service is down.
    Down,
    /// The service never answers.
    Silent,
    /// The values as of this index.
    At(u64),
}

#[derive(Default)]
struct Inner {
    index: u64,
    history: BTreeMap<String, Vec<Version>>,
    lists: FastMap<ListName, IndexedList>,
    control: Control,
    reads: u64,
    calls: Calls,
}

/// State of the stand-in platform, shared by its handlers.
pub struct Platform {
    inner: Mutex<Inner>,
    changed: watch::Sender<u64>,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            inner: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }
}

impl Platform {
    /// Puts one value and returns its index.
    pub fn put(&self, key: &str, value: Vec<u8>) -> u64 {
        let index = self.with(|inner| {
            inner.index += 1;
            let index = inner.index;
            let versions = inner.history.entry(key.to_owned()).or_default();
            versions.push(Version { index, value });
            index
        });
        self.notify();
        index
    }

    /// Replaces one live list at once.
    pub fn set_instances(&self, name: ListName, list: InstanceList) {
        self.with(|inner| {
            let held = inner.lists.entry(name).or_default();
            held.list = list;
            held.index += 1;
        });
        self.notify();
    }

    /// Changes the injected faults.
    pub fn set_control(&self, change: Control) {
        self.with(|inner| {
            let present = inner.index;
            let control = &mut inner.control;
            control.down = change.down.or(control.down);
            control.silent = change.silent.or(control.silent);
            control.stale_every = change.stale_every.or(control.stale_every);
            control.lag_ms = change.lag_ms.or(control.lag_ms);
            control.stale_at = change.stale_at.or(control.stale_at);
            match change.frozen {
                Some(true) => control.stale_at = Some(present),
                Some(false) => control.stale_at = None,
                None => {}
            }
        });
        self.notify();
    }

    /// Returns the counts of calls received since the start.
    pub fn calls(&self) -> Calls {
        self.with(|inner| inner.calls.clone())
    }

    /// Returns the index of the latest put.
    pub fn index(&self) -> u64 {
        self.with(|inner| inner.index)
    }

    /// Returns the delay before a new live list can be read.
    pub fn lag(&self) -> Duration {
        self.with(|inner| Duration::from_millis(inner.control.lag_ms.unwrap_or(0)))
    }

    /// Counts one call.
    pub fn count(&self, add: impl FnOnce(&mut Calls)) {
        self.with(|inner| add(&mut inner.calls));
    }

    /// Counts one read and returns the state that it sees.
    pub fn view(&self) -> View {
        self.with(|inner| {
            inner.reads += 1;
            let every = inner.control.stale_every.unwrap_or(0).max(1);
            let stale = inner.control.stale_at.filter(|&index| index > 0);
            let hit = inner.reads.is_multiple_of(every);
            if inner.control.down == Some(true) {
                return View::Down;
            }
            if inner.control.silent == Some(true) {
                return View::Silent;
            }
            match stale {
                Some(index) if hit => View::At(index),
                _ => View::At(u64::MAX),
            }
        })
    }

    /// Returns the newest version of a key up to the index `newest`.
    pub fn read(&self, key: &str, newest: u64) -> Option<Version> {
        self.with(|inner| {
            let versions = inner.history.get(key)?;
            let seen = versions.iter().rfind(|version| version.index <= newest);
            seen.cloned()
        })
    }

    /// Returns one live list and its index.
    pub fn instances(&self, name: ListName) -> (u64, InstanceList) {
        let held = self.with(|inner| inner.lists.get(&name).cloned());
        let held = held.unwrap_or_default();
        (held.index, held.list)
    }

    /// Returns a receiver that is notified of every change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn with<T>(&self, work: impl FnOnce(&mut Inner) -> T) -> T {
        work(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
