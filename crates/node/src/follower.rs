//! Follows the platform's configuration and live list. Peers are a second source of configuration.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures_util::{FutureExt, StreamExt, stream::FuturesUnordered};
use jj_operator::{
    documents::Digest,
    published::{Bundle, Offer, document_digests, parse_manifest},
};
use jj_peer::control::{ControlClient, ManifestWire};
use jj_platform::{
    budget::SharedBudget,
    config_reader::{self, ConfigView, NewestFromPeers, ReaderConfig, ReaderContext},
    live_list::{self, LiveList, LiveListConfig, LiveListContext},
    wire::{InstanceList, Role},
};
use jj_policy::call_budget::CallBudget;
use jj_utils::{
    clock::SharedClock,
    collections::FastSet,
    ids::{ConfigIndex, InstanceId},
};
use jsonrpsee::http_client::HttpClient;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::control_client;

/// Texts of documents by digest.
type Documents = BTreeMap<Digest, String>;

/// Fleet size assumed until the live list is read.
const ASSUMED_FLEET_SIZE: u32 = 32;

/// Number of entries polled for their configuration in each failure domain.
const POLLED_PER_DOMAIN: usize = 2;

/// Longest time that a starting process waits for the live list before it polls peers.
const LIST_TIMEOUT: Duration = Duration::from_millis(500);

/// Inputs of [`start`].
#[derive(Clone)]
pub struct FollowContext {
    /// Base URL of the platform.
    pub platform: String,
    /// Name of this instance, which doesn't poll itself.
    pub instance: InstanceId,
    /// Process clock.
    pub clock: SharedClock,
    /// Seed of the call jitter.
    pub seed: u64,
    /// Cancels following.
    pub token: CancellationToken,
}

/// Receivers of the configuration and the live list.
#[derive(Debug, Clone)]
pub struct Follower {
    /// The configuration.
    pub config: watch::Receiver<ConfigView>,
    /// The live list.
    pub list: watch::Receiver<LiveList>,
    newest_peer_index: Arc<AtomicU64>,
}

impl Follower {
    /// Records an index that another process reported; a newer one is fetched at the next poll of
    /// the peers.
    pub fn record_peer_index(&self, index: ConfigIndex) {
        self.newest_peer_index.fetch_max(index, Ordering::Relaxed);
    }
}

/// Starts following on the current runtime.
///
/// # Errors
/// If the HTTP client can't be built.
pub fn start(context: FollowContext) -> anyhow::Result<Follower> {
    let client = reqwest::Client::builder().no_proxy().build()?;
    let budget = CallBudget::default();
    let clock = Arc::clone(&context.clock);
    let budget = SharedBudget::new(budget, ASSUMED_FLEET_SIZE, context.seed, clock);
    let (list_sender, list) = watch::channel(LiveList::default());
    let (config_sender, config) = watch::channel(ConfigView::default());
    let newest_peer_index = Arc::new(AtomicU64::new(0));

    let live = LiveListContext {
        config: LiveListConfig {
            base_url: context.platform.clone(),
            ..Default::default()
        },
        client: client.clone(),
        budget: budget.clone(),
        token: context.token.clone(),
    };
    let reader = ReaderContext {
        config: ReaderConfig {
            base_url: context.platform.clone(),
            ..Default::default()
        },
        client,
        clock: context.clock,
        budget,
        newest_from_peers: poll_peers(
            context.instance,
            list.clone(),
            config.clone(),
            Arc::clone(&newest_peer_index),
        ),
        token: context.token,
    };
    tokio::spawn(live_list::run(live, list_sender));
    tokio::spawn(config_reader::run(reader, config_sender));
    Ok(Follower {
        config,
        list,
        newest_peer_index,
    })
}

/// Returns the function that fetches a newer publication from peers in every failure domain: always
/// before the first configuration, later only if a heartbeat reported a newer index.
fn poll_peers(
    instance: InstanceId,
    list: watch::Receiver<LiveList>,
    config: watch::Receiver<ConfigView>,
    newest_peer_index: Arc<AtomicU64>,
) -> NewestFromPeers {
    Arc::new(move |known| {
        let (mut list, instance, newest_peer_index) = (
            list.clone(),
            instance.clone(),
            Arc::clone(&newest_peer_index),
        );
        let published = config.borrow().published.clone();
        async move {
            if known > 0 && newest_peer_index.load(Ordering::Relaxed) <= known {
                return None;
            }
            let has_list = list.wait_for(|list| list.index > 0);
            let _ = tokio::time::timeout(LIST_TIMEOUT, has_list).await;
            let polled = peers_to_poll(&list.borrow().list, &instance);
            let held = published.map(|published| published.bundle.documents.clone());
            fetch_newest(polled, known, held.unwrap_or_default()).await
        }
        .boxed()
    })
}

/// Returns the control addresses of up to [`POLLED_PER_DOMAIN`] entries per failure domain.
fn peers_to_poll(list: &InstanceList, own: &str) -> Vec<SocketAddr> {
    let mut counts = FastSet::default();
    let mut polled = Vec::new();
    let entries = list
        .instances
        .iter()
        .filter(|i| i.role == Role::Entry && i.id != own);
    for entry in entries {
        let slot = (0..POLLED_PER_DOMAIN).find(|slot| counts.insert((&entry.domain, *slot)));
        if slot.is_some() {
            polled.push(entry.control);
        }
    }
    polled
}

/// A manifest offered by one peer.
struct PeerOffer {
    client: HttpClient,
    manifest: ManifestWire,
}

/// Fetches the newest publication among the polled peers, without documents held here.
async fn fetch_newest(
    polled: Vec<SocketAddr>,
    known: ConfigIndex,
    held: Documents,
) -> Option<Offer> {
    let calls: FuturesUnordered<_> = polled
        .into_iter()
        .map(|addr| fetch_manifest(addr, known))
        .collect();
    let answers: Vec<Option<PeerOffer>> = calls.collect().await;
    let newest = answers
        .into_iter()
        .flatten()
        .max_by_key(|offer| offer.manifest.index)?;
    fetch_documents(newest, &held).await
}

async fn fetch_manifest(addr: SocketAddr, known: ConfigIndex) -> Option<PeerOffer> {
    let client = control_client::build_client(addr).ok()?;
    let manifest = client.manifest(known).await.ok()??;
    Some(PeerOffer { client, manifest })
}

/// Completes a manifest with the documents held here and those fetched from the peer.
async fn fetch_documents(offer: PeerOffer, held: &Documents) -> Option<Offer> {
    let ManifestWire { index, manifest } = offer.manifest;
    let named = parse_manifest(&manifest).map(|manifest| document_digests(&manifest));
    // An unreadable manifest is passed on unchanged, so that its refusal is recorded.
    let named = named.unwrap_or_default();
    let missing = named
        .iter()
        .filter(|digest| !held.contains_key(*digest))
        .cloned();
    let missing: Vec<Digest> = missing.collect();
    let mut documents = match missing.is_empty() {
        true => Documents::new(),
        false => offer.client.documents(missing).await.ok()?,
    };
    for digest in named {
        if let Some(text) = held.get(&digest) {
            documents.insert(digest, text.clone());
        }
    }
    Some(Offer {
        index,
        bundle: Bundle {
            manifest,
            documents,
        },
    })
}
