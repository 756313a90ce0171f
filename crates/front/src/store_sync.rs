//! Keeps the replica of the store current, from the store itself or from peers that have read it.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use jj_adapter::store::{StoreClient, StoreError};
use jj_direct::{
    fetch,
    pool::{Pool, PoolConfig},
};
use jj_policy::{
    server_list::StorePosition,
    store_reader::{self, ReaderConfig},
};
use jj_utils::{clock::Timestamp, events, log_event};

use crate::{
    peers::{Peers, ReplicaStatus},
    prompt_guard,
    shared_state::SharedState,
    store_replica::{ReplicaUpdate, StoreReplica},
};

/// Key prefix that matches the whole store: servers and operators' keys.
const ALL_KEYS: &str = "";

/// Timeout of a store call; a healthy store responds within less.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest time that a watch call waits for a change. Together with the age of the replica when
/// the call begins and a heartbeat after it, this is short enough for peers to receive the result
/// before their own read is due.
const WATCH_WAIT: Duration = Duration::from_millis(250);

/// Timeout of a request to a peer for its replica.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest pause between two checks whether a read of the store is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// HTTP path at which an entry serves its replica to peers.
pub const REPLICA_PATH: &str = "/replica";

/// Start of that path's query string; followed by the revision up to which the requester's replica
/// is complete and [`ERA_QUERY`].
pub const SINCE_QUERY: &str = "since=";

/// Part of that query string before the era of the revision.
pub const ERA_QUERY: &str = "&era=";

/// Keeps the replica current for as long as the process runs.
///
/// # Errors
/// When the store client can't be built.
pub async fn run(shared: Rc<SharedState>) -> anyhow::Result<()> {
    let config = ReaderConfig::default();
    let settings = shared.settings();
    let mut seeds = settings.seeds.iter().map(SocketAddr::ip);
    let is_seed = seeds.any(|ip| ip == settings.ip) || settings.seeds.is_empty();
    let wait = store_reader::startup_delay(&config, is_seed, shared.draw());
    let mut sync = StoreSync {
        store: StoreClient::new(settings.store_addr)?,
        first_read_at: shared.clock.now() + wait,
        config,
        failures: 0,
        not_before: Timestamp::ZERO,
        needs_full_read: true,
        is_down: false,
        announced_digest: 0,
        pool: Pool::new(PoolConfig::default(), shared.clock.clone()),
        shared,
    };
    loop {
        sync.step().await;
        tokio::select! {
            () = tokio::time::sleep(sync.pause()) => {}
            () = sync.shared.store_read_requested.notified() => {}
        }
    }
}

/// Task state of the synchronization with the store.
struct StoreSync {
    shared: Rc<SharedState>,
    store: StoreClient,
    config: ReaderConfig,
    /// Number of successive failed store calls.
    failures: u32,
    /// Time before which the store is not called again after a failure.
    not_before: Timestamp,
    /// Time of the first read while the replica is empty.
    first_read_at: Timestamp,
    /// Whether the next read has to fetch all items, since changes alone would leave gaps: at the
    /// start and after a compaction of the store.
    needs_full_read: bool,
    /// Whether the store was reported as down in the log.
    is_down: bool,
    /// Digest of the replica when the datagram task was last notified of a change.
    announced_digest: u64,
    pool: Pool,
}

impl StoreSync {
    /// Fetches newer data from a peer, then reads the store if that is still due.
    async fn step(&mut self) {
        self.update_from_peer().await;
        let now = self.shared.clock.now();
        if now >= self.not_before && self.is_due(now) {
            self.read().await;
        }
        self.drop_expired();
    }

    /// Returns the time until the next check whether a read is due: at the end of a backoff, if that is
    /// soon.
    fn pause(&self) -> Duration {
        let backoff = self.not_before.checked_sub(self.shared.clock.now());
        let backoff = backoff.filter(|it| !it.is_zero());
        backoff.unwrap_or(CHECK_INTERVAL).min(CHECK_INTERVAL)
    }

    /// Returns whether the replica is so old that this process should read the store. The age
    /// from which it reads grows with its position among the live entries, so that usually one
    /// entry reads for all.
    fn is_due(&self, now: Timestamp) -> bool {
        let replica = self.shared.replica.borrow();
        if replica.position.is_none() {
            return now >= self.first_read_at;
        }
        let before = self.shared.peers.borrow().count_ahead_in_read_order();
        now >= replica.verified_at + store_reader::read_age(&self.config, before)
    }

    /// Reads the store: changes if the replica is complete up to a revision, else all items, also at once
    /// if the changes since that revision can't be had.
    async fn read(&mut self) {
        let mut started_at = self.shared.clock.now();
        let known = self
            .shared
            .replica
            .borrow()
            .position
            .filter(|_| !self.needs_full_read);
        let mut result = match known {
            Some(position) => self.watch(position).await,
            None => self.read_all().await,
        };
        if matches!(&result, Err(StoreError::Compacted)) {
            log_event!(
                events::STORE_COMPACTED,
                at = known.unwrap_or_default().revision;
                "store has compacted the revision; reading all items"
            );
        }
        if matches!(&result, Err(StoreError::Compacted | StoreError::EraChanged)) {
            self.needs_full_read = true;
            started_at = self.shared.clock.now();
            result = self.read_all().await;
        }
        match result {
            Ok(waited) => self.record_success(started_at + waited),
            Err(error) => self.record_failure(&error),
        }
    }

    /// Reads all items. Returns the time from the start of the call to the last moment at which the
    /// result is known to have been current.
    async fn read_all(&mut self) -> Result<Duration, StoreError> {
        metrics::counter!("jujube_store_calls_total", "call" => "range").increment(1);
        let answer = self.store.range(ALL_KEYS, STORE_TIMEOUT).await?;
        let now = self.shared.clock.now();
        let mut replica = self.shared.replica.borrow_mut();
        check_era(&replica, answer.position)?;
        replica.replace_all(now, answer.position, answer.entries);
        self.needs_full_read = false;
        Ok(Duration::ZERO)
    }

    /// Waits for changes after a position. Returns the time from the start of the call to the last
    /// moment at which the result is known to have been current: the whole wait if nothing has
    /// changed.
    async fn watch(&mut self, after: StorePosition) -> Result<Duration, StoreError> {
        metrics::counter!("jujube_store_calls_total", "call" => "watch").increment(1);
        let answer = self
            .store
            .watch(ALL_KEYS, after.revision, WATCH_WAIT, STORE_TIMEOUT)
            .await?;
        let now = self.shared.clock.now();
        let waited = match answer.entries.is_empty() {
            true => WATCH_WAIT,
            false => Duration::ZERO,
        };
        let mut replica = self.shared.replica.borrow_mut();
        check_era(&replica, answer.position)?;
        if answer.position.era > after.era {
            return Err(StoreError::EraChanged);
        }
        // An update from a peer may have been applied meanwhile.
        if replica.position == Some(after) {
            replica.apply_changes(now, answer.position, answer.entries);
        }
        Ok(waited)
    }

    /// Records a successful store call, whose result was current at `current_at`.
    fn record_success(&mut self, current_at: Timestamp) {
        let mut replica = self.shared.replica.borrow_mut();
        replica.verified_at = replica
            .verified_at
            .max(current_at.min(self.shared.clock.now()));
        if self.is_down {
            log_event!(
                events::CONFIG_SERVICE_BACK,
                at = replica.position.unwrap_or_default().revision; "store responds again"
            );
        }
        self.is_down = false;
        self.failures = 0;
        drop(replica);
        self.notify_tasks();
    }

    /// Notifies the dispatcher, and the datagram task if the replica has changed.
    fn notify_tasks(&mut self) {
        self.shared.capacity_changed.notify_one();
        prompt_guard::record_explained(&self.shared);
        let digest = self.shared.replica.borrow().digest;
        if digest != self.announced_digest {
            self.announced_digest = digest;
            self.shared.news_to_send.notify_one();
        }
    }

    /// Records a failed store call and sets the time of the next one. Once the replica is stale,
    /// the outage is recorded in the server list, so that missing servers aren't taken for gone too
    /// early.
    fn record_failure(&mut self, error: &StoreError) {
        let now = self.shared.clock.now();
        self.failures += 1;
        self.not_before =
            now + store_reader::backoff(&self.config, self.failures, self.shared.draw());
        if !self.is_down && self.failures > 1 {
            self.is_down = true;
            log_event!(
                events::CONFIG_SERVICE_DOWN,
                failures = self.failures; "store calls fail: {error}"
            );
        }
        let mut replica = self.shared.replica.borrow_mut();
        if now > replica.verified_at + self.config.outage_age {
            replica.servers.record_platform_error(now);
        }
    }

    /// Fetches an update from a peer with a newer replica, if there is one, and applies it.
    async fn update_from_peer(&mut self) {
        let Some(addr) = self.fresher_peer() else {
            return;
        };
        match tokio::time::timeout(PEER_TIMEOUT, self.fetch_update(addr)).await {
            Ok(Ok(update)) => {
                let now = self.shared.clock.now();
                log_event!(
                    events::STORE_NEWS,
                    peer = addr.to_string(), at = update.revision, items = update.items.len(),
                    removed = update.removed.len(), whole = update.base_revision.is_none();
                    "received a store update from a peer"
                );
                self.shared.replica.borrow_mut().apply_update(now, update);
                self.notify_tasks();
            }
            Ok(Err(error)) => log::debug!("store update from peer {addr} failed: {error}"),
            Err(_) => log::debug!("store update from peer {addr} timed out"),
        }
    }

    /// Fetches the changes since this replica's revision from a peer.
    async fn fetch_update(&self, addr: SocketAddr) -> anyhow::Result<ReplicaUpdate> {
        let position = self.shared.replica.borrow().position.unwrap_or_default();
        let StorePosition { era, revision } = position;
        let path = format!("{REPLICA_PATH}?{SINCE_QUERY}{revision}{ERA_QUERY}{era}");
        fetch::get(&self.pool, addr, &path, MAX_UPDATE_BYTES).await
    }

    /// Returns the address of a peer with a newer replica.
    fn fresher_peer(&self) -> Option<SocketAddr> {
        let replica = self.shared.replica.borrow();
        let own = ReplicaStatus {
            position: replica.position.unwrap_or_default(),
            digest: replica.digest,
        };
        let ip = self
            .shared
            .peers
            .borrow()
            .pick_fresher_peer(own, self.shared.draw())?;
        Peers::listen_addr(ip, self.shared.settings().listen.control)
    }

    /// Drops what the replica keeps for a time only.
    fn drop_expired(&self) {
        let now = self.shared.clock.now();
        self.shared.replica.borrow_mut().drop_expired(now);
    }
}

/// Checks that a response of the store is not of an earlier era than the replica.
fn check_era(replica: &StoreReplica, position: StorePosition) -> Result<(), StoreError> {
    let known = replica.position.unwrap_or_default().era;
    match position.era < known {
        true => Err(StoreError::EarlierEra {
            era: position.era,
            known,
        }),
        false => Ok(()),
    }
}

/// Longest update that is accepted from a peer, in bytes.
const MAX_UPDATE_BYTES: usize = 16 << 20;
