//! Follows the platform: configuration and live list, with peers as a second source of the former.

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

/// Fleet size assumed until the live list tells.
const ASSUMED_FLEET_SIZE: u32 = 32;

/// Entries of each failure domain that a starting process asks.
const POLLED_PER_DOMAIN: usize = 2;

/// Longest time that a starting process waits for the live list.
const LIST_TIMEOUT: Duration = Duration::from_millis(500);

/// What following needs.
#[derive(Clone)]
pub struct FollowContext {
    /// Base URL of the platform.
    pub platform: String,
    /// Name of this instance, which is never polled.
    pub instance: InstanceId,
    /// Time.
    pub clock: SharedClock,
    /// Seed of the jitter.
    pub seed: u64,
    /// Ends the following.
    pub token: CancellationToken,
}

/// What is followed.
#[derive(Debug, Clone)]
pub struct Follower {
    /// The configuration.
    pub config: watch::Receiver<ConfigView>,
    /// The live list.
    pub list: watch::Receiver<LiveList>,
    newest_peer_index: Arc<AtomicU64>,
}

impl Follower {
    /// Notes an index that another process told; a newer one is asked for at the next look.
    pub fn record_peer_index(&self, index: ConfigIndex) {
        self.newest_peer_index.fetch_max(index, Ordering::Relaxed);
    }
}

/// Starts following on the current runtime.
///
/// # Errors
/// When the HTTP client can't be built.
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

/// Asks peers: at the start those of every domain, later only when a newer index was heard of.
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

/// Control addresses of some entries in each failure domain.
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

/// What one peer has.
struct PeerOffer {
    client: HttpClient,
    manifest: ManifestWire,
}

/// The newest publication of those polled. Only the documents that are not held here travel.
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

/// Fills a manifest up with the documents held here and those that only the peer has.
async fn fetch_documents(offer: PeerOffer, held: &Documents) -> Option<Offer> {
    let ManifestWire { index, manifest } = offer.manifest;
    let named = parse_manifest(&manifest).map(|manifest| document_digests(&manifest));
    // A manifest that can't be read is handed on as it is: its refusal is recorded like any other.
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
