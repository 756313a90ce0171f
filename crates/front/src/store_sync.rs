//! Keeps what is known of the store fresh: from the store itself, or from peers that read it.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use jj_adapter::store::{Store, StoreError};
use jj_direct::{
    fetch,
    pool::{Pool, PoolConfig},
};
use jj_policy::{
    reader::{self, ReaderConfig},
    server_list::Revision,
};
use jj_utils::{clock::Timestamp, events, log_event};

use jj_news::StoreNews;

use crate::{peers::Peers, shared_state::SharedState, store_replica::ReplicaUpdate};

/// Everything in the store: servers and operator's keys.
const ALL: &str = "";

/// Longest time that the store takes for an answer when it is sound, and some more.
const ANSWER_LIMIT: Duration = Duration::from_millis(700);

/// Longest wait of a watch for a change: with the pause before it and a sign of life after it, others
/// still learn of its end before they read themselves.
const WATCH_WAIT: Duration = Duration::from_millis(250);

/// Longest time for which a peer is asked.
const PEER_LIMIT: Duration = Duration::from_millis(400);

/// Longest pause between two looks at whether the store is to be read.
const LOOK: Duration = Duration::from_millis(100);

/// Path at which an entry tells peers all that it knows of the store.
pub const REPLICA_PATH: &str = "/replica";

/// Begin of its query; a revision follows, up to which the one who asks knows everything.
pub const SINCE_QUERY: &str = "since=";

/// Follows the store for as long as the process runs.
///
/// # Errors
/// When the client of the store can't be built.
pub async fn run(shared: Rc<SharedState>) -> anyhow::Result<()> {
    let config = ReaderConfig::default();
    let settings = shared.settings();
    let mut seeds = settings.seeds.iter().map(SocketAddr::ip);
    let is_seed = seeds.any(|ip| ip == settings.ip) || settings.seeds.is_empty();
    let wait = reader::first_read(&config, is_seed, shared.draw());
    let mut follower = StoreSync {
        store: Store::new(settings.store)?,
        first_read: shared.clock.now() + wait,
        config,
        failures: 0,
        not_before: Timestamp::ZERO,
        needs_range: true,
        is_down: false,
        told: 0,
        pool: Pool::new(PoolConfig::default(), shared.clock.clone()),
        shared,
    };
    loop {
        follower.step().await;
        tokio::select! {
            () = tokio::time::sleep(LOOK) => {}
            () = follower.shared.store_read_requested.notified() => {}
        }
    }
}

struct StoreSync {
    shared: Rc<SharedState>,
    store: Store,
    config: ReaderConfig,
    /// Calls to the store that failed in a row.
    failures: u32,
    /// The store is left alone until then.
    not_before: Timestamp,
    /// When a process that knows nothing reads.
    first_read: Timestamp,
    /// All items are to be read, since changes alone would leave gaps.
    needs_range: bool,
    is_down: bool,
    /// Digest of what peers were told last.
    told: u64,
    pool: Pool,
}

impl StoreSync {
    async fn step(&mut self) {
        self.ask_peer().await;
        let now = self.shared.clock.now();
        if now >= self.not_before && self.is_due(now) {
            self.read().await;
        }
        self.settle();
    }

    /// Whether it is this process's turn to read the store.
    fn is_due(&self, now: Timestamp) -> bool {
        let replica = self.shared.replica.borrow();
        if replica.revision.is_none() {
            return now >= self.first_read;
        }
        let before = self.shared.peers.borrow().count_ahead_in_read_order();
        now >= replica.verified_at + reader::due_age(&self.config, before)
    }

    async fn read(&mut self) {
        let asked = self.shared.clock.now();
        let known = self
            .shared
            .replica
            .borrow()
            .revision
            .filter(|_| !self.needs_range);
        let result = match known {
            Some(at) => self.watch(at).await,
            None => self.range().await,
        };
        match result {
            Ok(waited) => self.succeeded(asked + waited),
            Err(StoreError::Compacted) => {
                log_event!(events::STORE_COMPACTED, at = known.unwrap_or_default(); "reads all");
                self.needs_range = true;
            }
            Err(error) => self.failed(&error),
        }
    }

    /// Reads all items; the time after the question for which the answer still holds.
    async fn range(&mut self) -> Result<Duration, StoreError> {
        metrics::counter!("jujube_store_calls_total", "call" => "range").increment(1);
        let answer = self.store.range(ALL, ANSWER_LIMIT).await?;
        let now = self.shared.clock.now();
        self.shared
            .replica
            .borrow_mut()
            .replace_all(now, answer.at, answer.found);
        self.needs_range = false;
        Ok(Duration::ZERO)
    }

    /// Waits for changes; the time after the question for which the answer still holds, which is all
    /// of the wait where nothing has changed.
    async fn watch(&mut self, at: Revision) -> Result<Duration, StoreError> {
        metrics::counter!("jujube_store_calls_total", "call" => "watch").increment(1);
        let answer = self.store.watch(ALL, at, WATCH_WAIT, ANSWER_LIMIT).await?;
        let now = self.shared.clock.now();
        let waited = match answer.found.is_empty() {
            true => WATCH_WAIT,
            false => Duration::ZERO,
        };
        let mut replica = self.shared.replica.borrow_mut();
        // A peer's copy may have come in meanwhile.
        if replica.revision == Some(at) {
            replica.apply_changes(now, answer.at, answer.found);
        }
        Ok(waited)
    }

    /// Takes in that the store has answered, and how it stood at that time.
    fn succeeded(&mut self, known: Timestamp) {
        let mut replica = self.shared.replica.borrow_mut();
        replica.verified_at = replica.verified_at.max(known.min(self.shared.clock.now()));
        if self.is_down {
            log_event!(events::CONFIG_SERVICE_BACK, at = replica.revision.unwrap_or_default(); "it answers");
        }
        self.is_down = false;
        self.failures = 0;
        drop(replica);
        self.tell();
    }

    /// Tells other tasks, and peers, what is new.
    fn tell(&mut self) {
        self.shared.capacity_changed.notify_one();
        let digest = self.shared.replica.borrow().digest;
        if digest != self.told {
            self.told = digest;
            self.shared.news_to_send.notify_one();
        }
    }

    fn failed(&mut self, error: &StoreError) {
        let now = self.shared.clock.now();
        self.failures += 1;
        self.not_before = now + reader::pause(&self.config, self.failures, self.shared.draw());
        if !self.is_down && self.failures > 1 {
            self.is_down = true;
            log_event!(events::CONFIG_SERVICE_DOWN, failures = self.failures; "{error}");
        }
        let mut replica = self.shared.replica.borrow_mut();
        if now > replica.verified_at + self.config.stale {
            replica.servers.disturbed(now);
        }
    }

    /// Asks a peer that knows more than this process.
    async fn ask_peer(&mut self) {
        let Some(addr) = self.better_peer() else {
            return;
        };
        match tokio::time::timeout(PEER_LIMIT, self.fetch(addr)).await {
            Ok(Ok(copy)) => {
                let now = self.shared.clock.now();
                log_event!(
                    events::STORE_NEWS,
                    peer = addr.to_string(), at = copy.revision, items = copy.items.len(),
                    removed = copy.removed.len(), whole = copy.base_revision.is_none();
                    "took what a peer knows of the store"
                );
                self.shared.replica.borrow_mut().apply_update(now, copy);
                self.tell();
            }
            Ok(Err(error)) => log::debug!("peer {addr} tells nothing: {error}"),
            Err(_) => log::debug!("peer {addr} does not answer"),
        }
    }

    async fn fetch(&self, addr: SocketAddr) -> anyhow::Result<ReplicaUpdate> {
        let at = self.shared.replica.borrow().revision.unwrap_or_default();
        let path = format!("{REPLICA_PATH}?{SINCE_QUERY}{at}");
        fetch::get(&self.pool, addr, &path, LONGEST_COPY).await
    }

    fn better_peer(&self) -> Option<SocketAddr> {
        let replica = self.shared.replica.borrow();
        let own = StoreNews {
            at: replica.revision.unwrap_or_default(),
            age_ms: 0,
            digest: replica.digest,
        };
        let ip = self
            .shared
            .peers
            .borrow()
            .pick_fresher_peer(own, self.shared.draw())?;
        Peers::listen_addr(ip, self.shared.settings().listen.control)
    }

    fn settle(&self) {
        let now = self.shared.clock.now();
        self.shared.replica.borrow_mut().drop_gone_servers(now);
    }
}

/// Longest copy of the store that a peer may send, in bytes.
const LONGEST_COPY: usize = 16 << 20;
