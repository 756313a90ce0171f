//! Local replica of the platform's store, filled from the store itself or from peers.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use jj_adapter::{
    config, servers,
    store::{Item, ItemChange},
};
use jj_policy::{
    catalog::Catalog,
    pass_model::PassSpec,
    server_list::{Era, Revision, ServerList, ServerRecord, ServerState, StorePosition},
};
use jj_utils::{
    clock::Timestamp, collections::FastMap, common_derives, events, ids::FailureDomainId, log_event,
};
use xxhash_rust::xxh3::Xxh3;

common_derives! {wire:
    /// One store item in a [`ReplicaUpdate`].
    pub struct ItemCopy {
        /// Its key.
        pub key: String,
        /// Its value.
        pub value: Vec<u8>,
        /// Revision of its last change.
        pub revision: Revision,
    }
}

common_derives! {wire:
    /// An item that was removed from the store.
    #[derive(Eq)]
    pub struct Removal {
        /// Its key.
        pub key: String,
        /// Revision of the removal, or a later one if the removal was only noticed by a full read.
        pub revision: Revision,
    }
}

common_derives! {wire:
    /// The contents of a replica, or their changes since a revision, as sent to a peer.
    pub struct ReplicaUpdate {
        /// Revision up to which the update is complete.
        pub revision: Revision,
        /// Revision since which the changes are included; `None` if all items are.
        pub base_revision: Option<Revision>,
        /// New and changed items, or all items.
        pub items: Vec<ItemCopy>,
        /// Items that were removed since the base revision.
        pub removed: Vec<Removal>,
        /// Era of all these revisions.
        pub era: Era,
    }
}

impl ReplicaUpdate {
    /// Returns the position of the store that the update corresponds to.
    fn position(&self) -> StorePosition {
        StorePosition {
            era: self.era,
            revision: self.revision,
        }
    }
}

/// Number of latest removals that are kept for incremental updates.
const MAX_REMOVALS_KEPT: usize = 512;

/// Time for which a withdrawal of a failure domain holds that is missing after the store has come
/// back from an older copy; operators write it again.
const WITHDRAWAL_HOLD_TIME: Duration = Duration::from_secs(10);

/// Items of the store, and the servers, configuration and withdrawn failure domains derived from
/// them.
#[derive(Default)]
pub struct StoreReplica {
    items: FastMap<String, Item>,
    /// Revision at which each item last changed other than by a heartbeat.
    changed_at: FastMap<String, Revision>,
    /// Latest removals, by ascending revision.
    removed: VecDeque<Removal>,
    /// Revision after which `removed` contains all removals.
    removals_complete_since: Revision,
    /// Position of the store up to which the items are complete; `None` before the first read.
    pub position: Option<StorePosition>,
    /// Revision up to which the items may be from the older copy with which the era began; `None`
    /// in the first era of this process.
    copied_until: Option<Revision>,
    /// Withdrawn failure domains that are missing since the era began, with the time until which
    /// they hold.
    held_domains: BTreeMap<FailureDomainId, Timestamp>,
    /// Latest time at which the items are known to have matched the store.
    pub verified_at: Timestamp,
    /// Configuration in force; `None` before the first valid one.
    pub catalog: Option<Rc<Catalog>>,
    /// Listed backend servers.
    pub servers: ServerList,
    /// Failure domains that operators have withdrawn: their servers get no new requests.
    pub withdrawn_domains: BTreeSet<FailureDomainId>,
    /// Digest of the configuration version, servers and withdrawn domains, without heartbeats:
    /// replicas with equal digests have the same content.
    pub digest: u64,
}

impl StoreReplica {
    /// Replaces all items by those of a full read; ignored if the replica is newer.
    pub fn replace_all(&mut self, now: Timestamp, position: StorePosition, items: Vec<Item>) {
        if self.position.is_some_and(|known| position < known) {
            return;
        }
        let known = self.position.replace(position);
        let is_new_era = known.is_some_and(|it| it.era < position.era);
        if known.is_none() || is_new_era {
            self.removals_complete_since = position.revision;
        }
        if is_new_era {
            self.removed.clear();
            self.changed_at.clear();
            self.copied_until = Some(position.revision);
            // Records of live servers come back as after an outage.
            self.servers.record_platform_error(now);
        }
        let items = items.into_iter().map(|it| (it.key.clone(), it));
        let before = std::mem::replace(&mut self.items, items.collect());
        if is_new_era {
            self.hold_withdrawals(now);
        } else {
            self.record_differences(before, position.revision);
        }
        for (key, item) in &self.items {
            if !self.changed_at.contains_key(key) {
                self.changed_at.insert(key.clone(), item.revision);
            }
        }
        let records = self.items.values().filter_map(|it| self.listed_record(it));
        let records: Vec<ServerRecord> = records.collect();
        if is_new_era {
            self.log_new_era(known.unwrap_or_default(), &records);
        }
        self.servers.replace_all(now, records);
        self.update_catalog();
        self.update_withdrawn_domains();
        self.update_digest();
    }

    /// Records the changes and removals between the items before a full read and those after it.
    fn record_differences(&mut self, before: FastMap<String, Item>, revision: Revision) {
        for (key, item) in before {
            match self.items.get(&key) {
                Some(new) if new.revision == item.revision => {}
                Some(new) => drop(self.changed_at.insert(key, new.revision)),
                None => self.record_removal(key, revision),
            }
        }
    }

    /// Returns the server record of an item as it is listed. One from the copy with which the era
    /// began is older than what is known: a server that was leaving goes on leaving, and one that
    /// was gone stays so, until its record is written again.
    fn listed_record(&self, item: &Item) -> Option<ServerRecord> {
        let mut record = server_record(item)?;
        if self.copied_until.is_none_or(|until| item.revision > until) {
            return Some(record);
        }
        if self.servers.has_departed(&record) {
            return None;
        }
        let known = self.servers.get(&record.id).map(|it| &it.record);
        let was_leaving = known.is_some_and(|it| {
            it.state == ServerState::Leaving && it.incarnation == record.incarnation
        });
        if was_leaving {
            record.state = ServerState::Leaving;
        }
        Some(record)
    }

    /// Keeps the withdrawn failure domains that are missing in the copy with which an era begins.
    fn hold_withdrawals(&mut self, now: Timestamp) {
        let until = now + WITHDRAWAL_HOLD_TIME;
        let listed = self.listed_withdrawals();
        let missing = self.withdrawn_domains.difference(&listed).cloned();
        let missing: Vec<FailureDomainId> = missing.collect();
        self.held_domains
            .extend(missing.into_iter().map(|it| (it, until)));
    }

    /// Logs the start of an era, with the servers of the copy.
    fn log_new_era(&self, before: StorePosition, records: &[ServerRecord]) {
        let is_known = |it: &&ServerRecord| self.servers.get(&it.id).is_some();
        let kept = records.iter().filter(is_known).count();
        metrics::counter!("jujube_store_eras_total").increment(1);
        let position = self.position.unwrap_or_default();
        log_event!(
            events::STORE_ERA_CHANGED,
            era = position.era, at = position.revision,
            era_before = before.era, at_before = before.revision,
            kept = kept, missing = self.servers.all().count() - kept,
            added = records.len() - kept, held_domains = self.held_domains.len();
            "the store has come back from an older copy"
        );
    }

    /// Applies changes that follow the replica's position; ignored if they are of another era.
    pub fn apply_changes(
        &mut self,
        now: Timestamp,
        position: StorePosition,
        changes: Vec<ItemChange>,
    ) {
        if self.position.is_some_and(|known| known.era != position.era) {
            return;
        }
        let mut has_news = false;
        for change in changes {
            has_news |= self.apply_one(now, change);
        }
        self.position = Some(position.max(self.position.unwrap_or_default()));
        if has_news {
            self.update_withdrawn_domains();
            self.update_digest();
        }
    }

    /// Applies one change; returns whether it is more than a heartbeat.
    fn apply_one(&mut self, now: Timestamp, change: ItemChange) -> bool {
        match change {
            ItemChange::Put(item) => {
                let is_config = item.key == config::CONFIG_KEY;
                self.end_hold(&item.key);
                let has_news = match self.listed_record(&item) {
                    Some(record) => self.servers.put(now, record),
                    None => true,
                };
                if has_news {
                    self.changed_at.insert(item.key.clone(), item.revision);
                }
                self.items.insert(item.key.clone(), item);
                if is_config {
                    self.update_catalog();
                }
                has_news
            }
            ItemChange::Removed { key, revision } => {
                self.end_hold(&key);
                self.items.remove(&key);
                if let Some(id) = servers::server_id(&key) {
                    self.servers.mark_missing(now, id);
                }
                self.record_removal(key, revision);
                true
            }
        }
    }

    /// Ends the hold of a withdrawn failure domain whose key has been written or removed.
    fn end_hold(&mut self, key: &str) {
        if let Some(domain) = config::evacuated_zone(key) {
            self.held_domains.remove(domain);
        }
    }

    /// Records a removal, and drops the oldest one if there are too many.
    fn record_removal(&mut self, key: String, revision: Revision) {
        self.changed_at.remove(&key);
        self.removed.push_back(Removal { key, revision });
        if self.removed.len() > MAX_REMOVALS_KEPT
            && let Some(oldest) = self.removed.pop_front()
        {
            self.removals_complete_since = self.removals_complete_since.max(oldest.revision);
        }
    }

    /// Records that the items still matched the store at `verified_at` and at `position`; ignored if
    /// that is of another era.
    pub fn confirm(&mut self, verified_at: Timestamp, position: StorePosition) {
        if self.position.is_some_and(|known| known.era != position.era) {
            return;
        }
        self.verified_at = self.verified_at.max(verified_at);
        self.position = self.position.map(|known| known.max(position));
    }

    /// Returns the servers of a service that may get new requests.
    pub fn usable_servers(&self, service: &str) -> impl Iterator<Item = &ServerRecord> {
        let usable = self.servers.serving().map(|it| &it.record);
        usable
            .filter(move |it| it.service == service && !self.withdrawn_domains.contains(&it.domain))
    }

    /// Returns the requests a second that a cold server may get from all entries together; `None`
    /// if it is warm or its service has no such limit.
    pub fn cold_requests_per_sec(&self, now: Timestamp, id: &str) -> Option<f64> {
        let listed = self.servers.get(id).filter(|it| now < it.cold_until)?;
        let service = listed.record.service.as_str();
        let rate = self
            .catalog
            .as_ref()?
            .services
            .get(service)?
            .cold_requests_per_sec;
        (rate > 0.0).then_some(rate)
    }

    /// Returns the server at an address.
    pub fn server_at(&self, addr: SocketAddr) -> Option<&ServerRecord> {
        let mut servers = self.servers.all().map(|it| &it.record);
        servers.find(|it| it.addr == addr)
    }

    /// Returns the parameters of the passes of a service's engine group with `ranks` engines;
    /// `None` if its engines form no group.
    pub fn pass_spec(&self, service: &str, ranks: usize) -> Option<PassSpec> {
        let catalog = self.catalog.as_ref()?;
        let engine = catalog.services.get(service)?.engine.as_ref()?;
        let gap = catalog.min_gap_target(service).unwrap_or(DEFAULT_EVENT_GAP);
        PassSpec::new(engine, ranks, gap)
    }

    /// Drops servers that have been missing for so long that they are certainly gone, and
    /// withdrawals that have not been written again.
    pub fn drop_expired(&mut self, now: Timestamp) {
        let held = self.held_domains.len();
        self.held_domains.retain(|_, until| now < *until);
        let has_ended = self.held_domains.len() < held;
        if has_ended {
            self.update_withdrawn_domains();
        }
        if self.servers.drop_gone(now) || has_ended {
            self.update_digest();
        }
    }

    /// Returns the changes since a position, for a peer that is complete up to it, or all items if
    /// it is of another era or the removals since then are no longer known. `None` before the first
    /// read.
    pub fn update_since(&self, since: Option<StorePosition>) -> Option<ReplicaUpdate> {
        let position = self.position?;
        let since = since.filter(|it| it.era == position.era);
        let since = since.map(|it| it.revision);
        let since = since.filter(|it| *it >= self.removals_complete_since);
        let is_new = |key: &str| {
            let changed = self.changed_at.get(key).copied().unwrap_or(Revision::MAX);
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
            revision: position.revision,
            base_revision: since,
            items: items.collect(),
            removed: removed.cloned().collect(),
            era: position.era,
        })
    }

    /// Applies a peer's update. An incremental one is ignored unless it is of the same era and its
    /// revisions enclose the replica's.
    pub fn apply_update(&mut self, now: Timestamp, update: ReplicaUpdate) {
        let position = update.position();
        let items = update.items.into_iter().map(|it| Item {
            key: it.key,
            value: it.value,
            revision: it.revision,
        });
        match update.base_revision {
            None => self.replace_all(now, position, items.collect()),
            Some(since)
                if self.position.is_some_and(|at| {
                    at.era == position.era && at.revision >= since && at <= position
                }) =>
            {
                let removed = update.removed.into_iter().map(|it| ItemChange::Removed {
                    key: it.key,
                    revision: it.revision,
                });
                let items: Vec<Item> = items.collect();
                // An item that equals the one here may have differed in between, which matters to
                // peers with an older replica: its change is recorded even if nothing changes here.
                let news = items.iter().map(|it| (it.key.clone(), it.revision));
                let news: Vec<(String, Revision)> = news.collect();
                let changes = removed.chain(items.into_iter().map(ItemChange::Put));
                self.apply_changes(now, position, changes.collect());
                self.changed_at.extend(news);
            }
            // The replica has changed since the update was requested.
            Some(_) => {}
        }
    }

    /// Puts the stored configuration in force if it is valid and newer; within one run of the
    /// process its version never decreases.
    fn update_catalog(&mut self) {
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
            "new configuration in force"
        );
        self.catalog = Some(Rc::new(catalog));
    }

    /// Returns the failure domains that are withdrawn by the items.
    fn listed_withdrawals(&self) -> BTreeSet<FailureDomainId> {
        let keys = self.items.keys();
        let domains = keys.filter_map(|key| config::evacuated_zone(key));
        domains.map(str::to_owned).collect()
    }

    /// Recomputes the withdrawn failure domains, and logs which were added or removed.
    fn update_withdrawn_domains(&mut self) {
        let mut withdrawn = self.listed_withdrawals();
        withdrawn.extend(self.held_domains.keys().cloned());
        for domain in withdrawn.difference(&self.withdrawn_domains) {
            log_event!(
                events::DOMAIN_WITHDRAWN,
                domain = domain.as_str(); "failure domain withdrawn"
            );
        }
        for domain in self.withdrawn_domains.difference(&withdrawn) {
            log_event!(
                events::DOMAIN_RETURNED,
                domain = domain.as_str(); "failure domain in service again"
            );
        }
        self.withdrawn_domains = withdrawn;
    }

    /// Recomputes the digest.
    fn update_digest(&mut self) {
        let mut lines: Vec<String> = self
            .servers
            .all()
            .map(|it| {
                let record = &it.record;
                let is_cold = !record.cold_remaining.is_zero();
                format!(
                    "{} {} {:?} {:?} {is_cold} {:?} {}",
                    record.id,
                    record.addr,
                    record.state,
                    it.missing_since.is_some(),
                    record.incarnation,
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

/// Target time between two events of a stream if no route of the service declares one.
pub const DEFAULT_EVENT_GAP: Duration = Duration::from_millis(200);

/// Parses the server record in an item; `None` if the item is something else or can't be parsed.
fn server_record(item: &Item) -> Option<ServerRecord> {
    let id = servers::server_id(&item.key)?;
    match servers::parse(id, &item.value) {
        Ok(record) => Some(record),
        Err(error) => {
            log::debug!(
                "store item {} is not a valid server record: {error:#}",
                item.key
            );
            None
        }
    }
}
