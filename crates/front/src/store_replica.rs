//! What the platform's store says, as this process knows it from the store itself or from peers.

use std::{
    collections::{BTreeSet, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use jj_adapter::{
    config, servers,
    store::{Change, Item},
};
use jj_policy::{
    catalog::Catalog,
    pass_model::PassSpec,
    server_list::{Revision, ServerList, ServerRecord},
};
use jj_utils::{
    clock::Timestamp,
    collections::FastMap,
    common_derives, events,
    ids::{FailureDomainId, ServiceId},
    log_event,
};
use xxhash_rust::xxh3::Xxh3;

common_derives! {wire:
    /// One item as peers pass it on.
    pub struct ItemCopy {
        /// Its key.
        pub key: String,
        /// Its bytes.
        pub value: Vec<u8>,
        /// Revision of its last change.
        pub revision: Revision,
    }
}

common_derives! {wire:
    /// An item that is gone.
    #[derive(Eq)]
    pub struct Removal {
        /// Its key.
        pub key: String,
        /// Revision of the removal, or a later one.
        pub revision: Revision,
    }
}

common_derives! {wire:
    /// What a process knows of the store.
    pub struct ReplicaUpdate {
        /// Revision up to which it is complete.
        pub revision: Revision,
        /// Revision after which the items have changed; all items where there is none.
        pub base_revision: Option<Revision>,
        /// Items.
        pub items: Vec<ItemCopy>,
        /// Keys of items that were removed since then.
        pub removed: Vec<Removal>,
    }
}

/// Removed items that are remembered.
const REMOVALS_KEPT: usize = 512;

/// Items of the store, and what follows from them.
#[derive(Default)]
pub struct StoreReplica {
    items: FastMap<String, Item>,
    /// Revision at which each item last said something new beside a sign of life.
    news: FastMap<String, Revision>,
    /// Items that were removed, in the order of their revisions.
    removed: VecDeque<Removal>,
    /// Revision after which all removals are known.
    floor: Revision,
    /// Revision up to which the items are complete; none before the first read.
    pub revision: Option<Revision>,
    /// When the store was asked for it, at the earliest.
    pub verified_at: Timestamp,
    /// Configuration in force; none before the first one.
    pub catalog: Option<Rc<Catalog>>,
    /// Servers.
    pub servers: ServerList,
    /// Failure domains to which nothing new is to be sent.
    pub withdrawn_domains: BTreeSet<FailureDomainId>,
    /// Digest of all this, apart from signs of life.
    pub digest: u64,
}

impl StoreReplica {
    /// Takes in all items of one moment; older ones than those known are ignored.
    pub fn replace_all(&mut self, now: Timestamp, at: Revision, items: Vec<Item>) {
        if self.revision.is_some_and(|known| at < known) {
            return;
        }
        self.floor = if self.revision.is_none() {
            at
        } else {
            self.floor
        };
        let items = items.into_iter().map(|it| (it.key.clone(), it));
        let before = std::mem::replace(&mut self.items, items.collect());
        for (key, item) in before {
            match self.items.get(&key) {
                Some(new) if new.revision == item.revision => {}
                Some(new) => drop(self.news.insert(key, new.revision)),
                None => self.note_removal(key, at),
            }
        }
        for (key, item) in &self.items {
            if !self.news.contains_key(key) {
                self.news.insert(key.clone(), item.revision);
            }
        }
        self.revision = Some(at);
        let records = self.items.values().filter_map(server_record);
        self.servers.replace(now, records.collect());
        self.take_catalog();
        self.take_evacuated();
        self.update_digest();
    }

    /// Takes in changes that follow on what is known.
    pub fn apply_changes(&mut self, now: Timestamp, at: Revision, changes: Vec<Change>) {
        let mut has_news = false;
        for change in changes {
            has_news |= self.apply_one(now, change);
        }
        self.revision = Some(at.max(self.revision.unwrap_or_default()));
        if has_news {
            self.take_evacuated();
            self.update_digest();
        }
    }

    fn apply_one(&mut self, now: Timestamp, change: Change) -> bool {
        match change {
            Change::Put(item) => {
                let is_config = item.key == config::CONFIG_KEY;
                let has_news = match server_record(&item) {
                    Some(record) => self.servers.put(now, record),
                    None => true,
                };
                if has_news {
                    self.news.insert(item.key.clone(), item.revision);
                }
                self.items.insert(item.key.clone(), item);
                if is_config {
                    self.take_catalog();
                }
                has_news
            }
            Change::Removed { key, revision } => {
                self.items.remove(&key);
                if let Some(id) = servers::id(&key) {
                    self.servers.remove(now, id);
                }
                self.note_removal(key, revision);
                true
            }
        }
    }

    fn note_removal(&mut self, key: String, revision: Revision) {
        self.news.remove(&key);
        self.removed.push_back(Removal { key, revision });
        if self.removed.len() > REMOVALS_KEPT
            && let Some(oldest) = self.removed.pop_front()
        {
            self.floor = self.floor.max(oldest.revision);
        }
    }

    /// Takes in that the store was asked later, or has moved on, and what is known still holds.
    pub fn confirm(&mut self, asked: Timestamp, at: Revision) {
        self.verified_at = self.verified_at.max(asked);
        self.revision = self.revision.map(|known| known.max(at));
    }

    /// Servers of a service to which new requests may go.
    pub fn usable_servers(&self, service: &str) -> impl Iterator<Item = &ServerRecord> {
        let usable = self.servers.usable().map(|it| &it.record);
        usable
            .filter(move |it| it.service == service && !self.withdrawn_domains.contains(&it.domain))
    }

    /// Requests a second that a server bears over all processes; none once it is warm.
    pub fn cold_requests_per_sec(&self, now: Timestamp, id: &str) -> Option<f64> {
        let listed = self.servers.get(id).filter(|it| now < it.cold_until)?;
        let service = listed.record.service.as_str();
        let rate = self.catalog.as_ref()?.services.get(service)?.cold_rate;
        (rate > 0.0).then_some(rate)
    }

    /// Service of the server at an address.
    pub fn service_at(&self, addr: SocketAddr) -> Option<ServiceId> {
        let mut servers = self.servers.all().map(|it| &it.record);
        let server = servers.find(|it| it.addr == addr)?;
        Some(server.service.clone())
    }

    /// The passes of a service's engines, of which so many work together; none where they form no
    /// group.
    pub fn pass_spec(&self, service: &str, ranks: usize) -> Option<PassSpec> {
        let catalog = self.catalog.as_ref()?;
        let engine = catalog.services.get(service)?.engine.as_ref()?;
        let gap = catalog.gap(service).unwrap_or(DEFAULT_EVENT_GAP);
        PassSpec::new(engine, ranks, gap)
    }

    /// Drops the servers that are certainly gone.
    pub fn drop_gone_servers(&mut self, now: Timestamp) {
        if self.servers.settle(now) {
            self.update_digest();
        }
    }

    /// What has changed since a revision, for a peer that knows everything up to it; all of it where
    /// that is too long ago. None before the first read.
    pub fn update_since(&self, since: Option<Revision>) -> Option<ReplicaUpdate> {
        let since = since.filter(|it| *it >= self.floor);
        let is_new = |key: &str| {
            let changed = self.news.get(key).copied().unwrap_or(Revision::MAX);
            since.is_none_or(|since| changed > since)
        };
        let items = self.items.values().filter(|item| is_new(&item.key));
        let items = items.map(|item| ItemCopy {
            key: item.key.clone(),
            value: item.value.clone(),
            revision: item.revision,
        });
        let removed = self.removed.iter();
        let removed = removed.filter(|it| since.is_some_and(|since| it.revision > since));
        Some(ReplicaUpdate {
            revision: self.revision?,
            base_revision: since,
            items: items.collect(),
            removed: removed.cloned().collect(),
        })
    }

    /// Takes in what a peer knows.
    pub fn apply_update(&mut self, now: Timestamp, copy: ReplicaUpdate) {
        let items = copy.items.into_iter().map(|it| Item {
            key: it.key,
            value: it.value,
            revision: it.revision,
        });
        match copy.base_revision {
            None => self.replace_all(now, copy.revision, items.collect()),
            Some(since)
                if self
                    .revision
                    .is_some_and(|at| at >= since && at <= copy.revision) =>
            {
                let removed = copy.removed.into_iter().map(|it| Change::Removed {
                    key: it.key,
                    revision: it.revision,
                });
                let items: Vec<Item> = items.collect();
                // One that is as before may have been different meanwhile, for those who know less.
                let news = items.iter().map(|it| (it.key.clone(), it.revision));
                let news: Vec<(String, Revision)> = news.collect();
                let changes = removed.chain(items.into_iter().map(Change::Put));
                self.apply_changes(now, copy.revision, changes.collect());
                self.news.extend(news);
            }
            // The store was read meanwhile.
            Some(_) => {}
        }
    }

    /// Puts a newer configuration in force; the version never falls within one life.
    fn take_catalog(&mut self) {
        let Some(item) = self.items.get(config::CONFIG_KEY) else {
            return;
        };
        let catalog = match config::parse(&item.value) {
            Ok(catalog) => catalog,
            Err(error) => {
                log_event!(events::CONFIG_REFUSED, revision = item.revision; "{error:#}");
                return;
            }
        };
        let known = self.catalog.as_ref().map(|it| it.version);
        if known.is_some_and(|known| catalog.version <= known) {
            return;
        }
        log_event!(
            events::CONFIG_ACCEPTED,
            version = catalog.version, before = known.unwrap_or_default(),
            revision = item.revision, routes = catalog.routes.len();
            "a configuration is in force"
        );
        self.catalog = Some(Rc::new(catalog));
    }

    fn take_evacuated(&mut self) {
        let zones = self.items.keys().filter_map(|key| config::evacuated(key));
        let evacuated: BTreeSet<FailureDomainId> = zones.map(str::to_owned).collect();
        for domain in evacuated.difference(&self.withdrawn_domains) {
            log_event!(events::DOMAIN_WITHDRAWN, domain = domain.as_str(); "withdrawn");
        }
        for domain in self.withdrawn_domains.difference(&evacuated) {
            log_event!(events::DOMAIN_RETURNED, domain = domain.as_str(); "in service again");
        }
        self.withdrawn_domains = evacuated;
    }

    fn update_digest(&mut self) {
        let mut lines: Vec<String> = self
            .servers
            .all()
            .map(|it| {
                let record = &it.record;
                let is_cold = !record.cold_left.is_zero();
                format!(
                    "{} {} {:?} {:?} {is_cold} {:?} {}",
                    record.id,
                    record.addr,
                    record.state,
                    it.missing.is_some(),
                    record.born,
                    record.slots
                )
            })
            .collect();
        lines.extend(self.withdrawn_domains.iter().cloned());
        lines.sort_unstable();
        let mut hash = Xxh3::new();
        hash.update(
            &self
                .catalog
                .as_ref()
                .map_or(0, |it| it.version)
                .to_le_bytes(),
        );
        for line in &lines {
            hash.update(line.as_bytes());
        }
        self.digest = hash.digest();
    }
}

/// Pause between events that is aimed at where no route declares one.
pub const DEFAULT_EVENT_GAP: Duration = Duration::from_millis(200);

/// The server that an item is about; one that can't be read names no server.
fn server_record(item: &Item) -> Option<ServerRecord> {
    let id = servers::id(&item.key)?;
    match servers::parse(id, &item.value) {
        Ok(record) => Some(record),
        Err(error) => {
            log::debug!("entry {} names no server: {error:#}", item.key);
            None
        }
    }
}
