//! Follows the published configuration: watches the manifest, fetches the documents that it names,
//! checks them, and publishes what is newer than the last accepted publication.
//!
//! The same rule applies to both sources: the configuration service, and peers that may have read a
//! newer index from a less stale replica. Peers are polled before the first read, so that a process
//! whose first read is stale doesn't fall back to an older configuration.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures_util::future::BoxFuture;
use jj_operator::{
    documents::{DOCUMENT_PREFIX, Digest, MANIFEST_KEY, Manifest},
    finding::Finding,
    published::{Bundle, Offer, Refusal, digest_of, document_digests, parse_manifest},
};
use jj_policy::call_budget::CallCause;
use jj_utils::{
    clock::{SharedClock, Timestamp},
    events,
    ids::ConfigIndex,
    log_event,
};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{
    blocking_query::{Indexed, ReadError, WatchWait, read_key},
    budget::SharedBudget,
    config_view::refuse,
};

pub use crate::config_view::{ConfigView, accept};

/// Function that fetches a publication newer than the given index from peers.
pub type NewestFromPeers =
    Arc<dyn Fn(ConfigIndex) -> BoxFuture<'static, Option<Offer>> + Send + Sync>;

/// Settings of the configuration reader.
#[derive(Debug, Clone)]
pub struct ReaderConfig {
    /// Base URL of the configuration service, without a slash at its end.
    pub base_url: String,
    /// Shortest wait of a watch; in a larger fleet it is longer, to stay within the call budget.
    pub min_wait: Duration,
    /// Longest wait of a watch.
    pub max_wait: Duration,
    /// Timeout of a poll of the peers.
    pub peer_timeout: Duration,
    /// Bytes per second allowed for watches without a change; a longer manifest is watched with
    /// longer waits.
    pub byte_rate: f64,
    /// Time between two polls of the peers.
    pub peer_interval: Duration,
}

impl Default for ReaderConfig {
    fn default() -> Self {
        Self {
            base_url: "http://127.0.0.1:8500".to_owned(),
            min_wait: Duration::from_secs(2),
            max_wait: Duration::from_secs(10),
            peer_timeout: Duration::from_secs(1),
            byte_rate: 1_024.0,
            peer_interval: Duration::from_millis(500),
        }
    }
}

/// Inputs of the configuration reader.
#[derive(Clone)]
pub struct ReaderContext {
    /// Settings.
    pub config: ReaderConfig,
    /// HTTP client for the configuration service.
    pub client: reqwest::Client,
    /// The process's clock.
    pub clock: SharedClock,
    /// Call budget of this process.
    pub budget: SharedBudget,
    /// Fetches newer publications from peers.
    pub newest_from_peers: NewestFromPeers,
    /// Stops the reader.
    pub token: CancellationToken,
}

/// Follows the configuration until the token is cancelled.
pub async fn run(context: ReaderContext, view: watch::Sender<ConfigView>) {
    let follow = async {
        poll_peers(&context, &view).await;
        let service = ServiceReader::new(&context, &view).follow();
        tokio::join!(service, follow_peers(&context, &view));
    };
    tokio::select! {
        () = follow => {}
        () = context.token.cancelled() => {}
    }
}

async fn follow_peers(context: &ReaderContext, view: &watch::Sender<ConfigView>) {
    loop {
        tokio::time::sleep(context.config.peer_interval).await;
        poll_peers(context, view).await;
    }
}

async fn poll_peers(context: &ReaderContext, view: &watch::Sender<ConfigView>) {
    let known = view.borrow().index();
    let request = (context.newest_from_peers)(known);
    let answer = tokio::time::timeout(context.config.peer_timeout, request).await;
    if let Ok(Some(offer)) = answer {
        accept(view, offer);
    }
}

/// Reader of the configuration service, without peers.
struct ServiceReader<'a> {
    context: &'a ReaderContext,
    view: &'a watch::Sender<ConfigView>,
    seen: ConfigIndex,
    /// Length of the last manifest in bytes.
    manifest_bytes: usize,
    failures: u32,
    is_stale: bool,
    fetched: BTreeMap<Digest, String>,
}

/// Longest response time of a watch that counts as answered without waiting.
const MAX_IMMEDIATE_ANSWER: Duration = Duration::from_millis(100);

impl<'a> ServiceReader<'a> {
    fn new(context: &'a ReaderContext, view: &'a watch::Sender<ConfigView>) -> Self {
        Self {
            context,
            view,
            seen: 0,
            manifest_bytes: 0,
            failures: 0,
            is_stale: false,
            fetched: BTreeMap::new(),
        }
    }

    async fn follow(mut self) {
        let mut cause = CallCause::WatchWoken;
        loop {
            self.context.budget.wait_for_config_turn(cause).await;
            cause = match self.read_manifest().await {
                Ok(cause) => cause,
                Err(error) => self.record_failure(&error),
            };
        }
    }

    /// Reads the manifest and the documents that it names; returns the cause of the next read.
    async fn read_manifest(&mut self) -> Result<CallCause, ReadError> {
        let wait = WatchWait {
            seen: self.seen,
            max_wait: self.watch_wait(),
        };
        // The first read doesn't wait, so that a starting process gets the current state.
        let wait = (self.seen > 0).then_some(wait);
        let requested_at = self.context.clock.now();
        let found = self.read(MANIFEST_KEY, wait).await?;
        let now = self.context.clock.now();
        self.record_answer();
        let max_wait = wait.map_or(Duration::ZERO, |wait| wait.max_wait);
        let unchanged_at = (requested_at + max_wait).min(now);
        let Some(found) = found else {
            self.seen = self.seen.max(1);
            self.record_confirmation(requested_at);
            return Ok(CallCause::Regular);
        };
        if found.index < self.view.borrow().index() {
            self.record_stale_read(found.index);
            return Ok(CallCause::Regular);
        }
        self.is_stale = false;
        if found.index <= self.seen {
            self.record_confirmation(unchanged_at);
            return Ok(CallCause::Regular);
        }
        let cause = match now.saturating_sub(requested_at) > MAX_IMMEDIATE_ANSWER {
            true => CallCause::WatchWoken,
            false => CallCause::Regular,
        };
        self.install_manifest(found, requested_at, cause).await
    }

    async fn install_manifest(
        &mut self,
        found: Indexed<String>,
        requested_at: Timestamp,
        cause: CallCause,
    ) -> Result<CallCause, ReadError> {
        let manifest = match parse_manifest(&found.value) {
            Ok(manifest) => manifest,
            Err(finding) => {
                self.refuse_manifest(&found, requested_at, finding);
                return Ok(cause);
            }
        };
        let calls = self.fetch_missing(&manifest, found.index, cause).await?;
        let documents = self.manifest_documents(&manifest);
        let index = found.index;
        self.manifest_bytes = found.value.len();
        let bundle = Bundle {
            manifest: found.value,
            documents,
        };
        accept(self.view, Offer { index, bundle });
        self.seen = index;
        self.fetched.clear();
        self.record_confirmation(requested_at);
        match calls {
            0 => Ok(cause),
            _ => Ok(CallCause::Regular),
        }
    }

    /// Fetches the documents missing from the accepted publication and earlier tries; returns the
    /// number of calls.
    async fn fetch_missing(
        &mut self,
        manifest: &Manifest,
        index: ConfigIndex,
        cause: CallCause,
    ) -> Result<u32, ReadError> {
        let mut calls = 0;
        for digest in document_digests(manifest) {
            if self.has_document(&digest) {
                continue;
            }
            let cause = match calls {
                0 => cause,
                _ => CallCause::Regular,
            };
            self.context.budget.wait_for_config_turn(cause).await;
            if self.view.borrow().index() >= index {
                return Ok(calls);
            }
            calls += 1;
            let text = self.fetch_document(&digest).await?;
            self.fetched.insert(digest, text);
        }
        Ok(calls)
    }

    async fn fetch_document(&self, digest: &str) -> Result<String, ReadError> {
        let key = format!("{DOCUMENT_PREFIX}{digest}");
        let found = self.read(&key, None).await?;
        // A replica that lacks the document now may have it at the next try.
        let found = found.ok_or_else(|| ReadError::Malformed(format!("{key} is absent")))?;
        // Altered bytes make every reader refuse the publication.
        Ok(found.value)
    }

    fn has_document(&self, digest: &str) -> bool {
        if self.fetched.contains_key(digest) {
            return true;
        }
        let view = self.view.borrow();
        let published = view.published.as_ref();
        published.is_some_and(|published| published.bundle.documents.contains_key(digest))
    }

    fn manifest_documents(&self, manifest: &Manifest) -> BTreeMap<Digest, String> {
        let view = self.view.borrow();
        let published = view.published.as_ref();
        let known = published.map(|published| &published.bundle.documents);
        let find = |digest: Digest| {
            let text = self.fetched.get(&digest);
            let text = text.or_else(|| known?.get(&digest))?.clone();
            Some((digest, text))
        };
        let digests = document_digests(manifest).into_iter();
        digests.filter_map(find).collect()
    }

    fn refuse_manifest(
        &mut self,
        found: &Indexed<String>,
        requested_at: Timestamp,
        finding: Finding,
    ) {
        self.seen = found.index;
        self.record_confirmation(requested_at);
        let refusal = Refusal {
            index: found.index,
            digest: digest_of(found.value.as_bytes()),
            findings: vec![finding],
        };
        refuse(self.view, refusal);
    }

    async fn read(
        &self,
        key: &str,
        wait: Option<WatchWait>,
    ) -> Result<Option<Indexed<String>>, ReadError> {
        metrics::counter!("jujube_config_calls_total").increment(1);
        let base = &self.context.config.base_url;
        read_key(&self.context.client, base, key, wait).await
    }

    fn watch_wait(&self) -> Duration {
        let config = &self.context.config;
        let paced = self.context.budget.config_interval() * 2;
        let bytes = Duration::try_from_secs_f64(self.manifest_bytes as f64 / config.byte_rate);
        let paced = paced.max(bytes.unwrap_or(config.max_wait));
        paced.clamp(config.min_wait, config.max_wait)
    }

    fn record_confirmation(&self, at: Timestamp) {
        self.view
            .send_modify(|view| view.confirmed_at = view.confirmed_at.max(Some(at)));
    }

    fn record_answer(&mut self) {
        if self.failures > 0 {
            log_event!(
                events::CONFIG_SERVICE_BACK,
                "the configuration service responds again"
            );
        }
        self.failures = 0;
    }

    fn record_stale_read(&mut self, index: ConfigIndex) {
        self.seen = self.view.borrow().index();
        if !self.is_stale {
            let accepted = self.seen;
            log_event!(
                events::CONFIG_STALE_READ,
                "stale read: index {index} is older than the accepted index {accepted}"
            );
        }
        self.is_stale = true;
    }

    fn record_failure(&mut self, error: &ReadError) -> CallCause {
        if self.failures == 0 {
            log_event!(
                events::CONFIG_SERVICE_DOWN,
                "read from the configuration service failed: {error}"
            );
        }
        self.failures = self.failures.saturating_add(1);
        CallCause::Failed {
            failures: self.failures,
        }
    }
}
