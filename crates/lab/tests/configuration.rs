//! Configuration in force everywhere within seconds and never going back, with many readers in one
//! process against the stand-in platform: stale replicas, an outage, silent connections, a start
//! into a stale read, an invalid publication, two operators racing.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use futures_util::FutureExt;
use googletest::prelude::*;
use jj_operator::{
    check::{FileText, check_files},
    documents::MANIFEST_KEY,
    files::FileDefaults,
    published::{Bundle, Offer},
};
use jj_platform::{
    budget::SharedBudget,
    config_reader::{self, ConfigView, NewestFromPeers, ReaderConfig, ReaderContext},
};
use jj_policy::call_budget::CallBudget;
use jj_utils::clock::SystemClock;
use jujube_lab::{
    publish::publish,
    standins::platform::{Control, Platform, serve_on},
};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};
use tokio_util::sync::CancellationToken;

/// In force everywhere: the target of the users.
const IN_FORCE: Duration = Duration::from_secs(7);
/// Readers of one fleet: 9 entries and 19 agents today.
const READERS: usize = 28;

struct Fleet {
    platform: Arc<Platform>,
    base: String,
    client: reqwest::Client,
    token: CancellationToken,
    views: Vec<watch::Receiver<ConfigView>>,
    /// Indexes in the order in which each reader took them.
    taken: Vec<Arc<Mutex<Vec<u64>>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Fleet {
    async fn start(readers: usize) -> Self {
        let platform = Arc::new(Platform::default());
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("the fixture works");
        let base = format!(
            "http://{}",
            listener.local_addr().expect("the fixture works")
        );
        let token = CancellationToken::new();
        let served = serve_on(listener, platform.clone(), token.clone());
        let mut fleet = Self {
            platform,
            base,
            client: reqwest::Client::builder()
                .no_proxy()
                .build()
                .expect("the fixture works"),
            token,
            views: Vec::new(),
            taken: Vec::new(),
            tasks: vec![tokio::spawn(served.map(|_| ()))],
        };
        for _ in 0..readers {
            fleet.add_reader(no_peers());
        }
        fleet
    }

    /// A fleet whose readers also ask two others each.
    async fn start_with_peers(readers: usize) -> Self {
        let mut fleet = Self::start(0).await;
        let all = Peers::default();
        for place in 0..readers {
            let view = fleet.add_reader(peers(&all, [place + 1, place + 7]));
            all.lock().expect("the fixture works").push(view);
        }
        fleet
    }

    fn add_reader(&mut self, newest_from_peers: NewestFromPeers) -> watch::Receiver<ConfigView> {
        let clock = SystemClock::shared();
        let fleet = u32::try_from(READERS).expect("the fixture works");
        let seed = self.views.len() as u64;
        let (sender, receiver) = watch::channel(ConfigView::default());
        let context = ReaderContext {
            config: ReaderConfig {
                base_url: self.base.clone(),
                ..ReaderConfig::default()
            },
            client: reqwest::Client::builder()
                .no_proxy()
                .build()
                .expect("the fixture works"),
            clock: clock.clone(),
            budget: SharedBudget::new(CallBudget::default(), fleet, seed, clock),
            newest_from_peers,
            token: self.token.clone(),
        };
        self.tasks
            .push(tokio::spawn(config_reader::run(context, sender)));
        let taken = Arc::new(Mutex::new(Vec::new()));
        self.tasks
            .push(tokio::spawn(record(receiver.clone(), taken.clone())));
        self.taken.push(taken);
        self.views.push(receiver.clone());
        receiver
    }

    async fn publish(&self, bundle: &Bundle) -> u64 {
        publish(&self.client, &self.base, bundle)
            .await
            .expect("the fixture works")
    }

    /// Waits until every reader has taken `index`; false when the target time is over first.
    async fn all_have(&self, index: u64) -> bool {
        let waits = self.views.iter().map(|view| reaches(view.clone(), index));
        let all = futures_util::future::join_all(waits);
        tokio::time::timeout(IN_FORCE, all).await.is_ok()
    }

    fn indexes(&self) -> Vec<u64> {
        self.views
            .iter()
            .map(|view| view.borrow().index())
            .collect()
    }

    /// True when no reader ever took an index that is not above the one before.
    fn never_went_back(&self) -> bool {
        self.taken.iter().all(|taken| {
            taken
                .lock()
                .expect("the fixture works")
                .is_sorted_by(|before, after| before < after)
        })
    }

    async fn stop(self) {
        self.token.cancel();
        for task in self.tasks {
            task.await.expect("the fixture works");
        }
    }
}

/// Waits for `index`; the view is not kept borrowed, since that would hold up its reader.
async fn reaches(mut view: watch::Receiver<ConfigView>, index: u64) {
    let reached = view.wait_for(|view| view.index() >= index).await;
    drop(reached.expect("the fixture works"));
}

async fn record(mut view: watch::Receiver<ConfigView>, taken: Arc<Mutex<Vec<u64>>>) {
    while view.changed().await.is_ok() {
        let index = view.borrow_and_update().index();
        let mut taken = taken.lock().expect("the fixture works");
        if taken.last() != Some(&index) && index > 0 {
            taken.push(index);
        }
    }
}

fn no_peers() -> NewestFromPeers {
    Arc::new(|_| async { None }.boxed())
}

/// Readers that ask each other; a real process asks when a heartbeat tells of a newer index.
type Peers = Arc<Mutex<Vec<watch::Receiver<ConfigView>>>>;

/// The newest of what the readers at `places` have, counted round the fleet.
fn peers(all: &Peers, places: [usize; 2]) -> NewestFromPeers {
    let all = all.clone();
    Arc::new(move |known| {
        let all = all.lock().expect("the fixture works");
        let count = all.len().max(1);
        let asked = places.iter().filter_map(|place| all.get(place % count));
        let found = asked.filter_map(|view| view.borrow().published.clone());
        let published = found.max_by_key(|published| published.index);
        async move {
            let published = published.filter(|published| published.index > known)?;
            Some(published.offer())
        }
        .boxed()
    })
}

/// A publication whose desk bears `concurrency` requests.
fn bundle(concurrency: u32, domain: &str) -> Bundle {
    let service = format!(
        "service = \"desk\"\nkind = \"plain\"\nlimits = {{ concurrency = {concurrency} }}\n\
         [[routes]]\nmethod = \"GET\"\npath = \"/x\"\nidempotent = true\n"
    );
    let fleet = format!("[domains]\na = \"{domain}\"\nb = \"in-service\"\n");
    let file = |name: &str, text: String| FileText {
        name: name.to_owned(),
        bytes: text.into_bytes(),
    };
    let files = vec![file("desk", service), file("fleet", fleet)];
    check_files(files, &FileDefaults::default())
        .expect("the fixture works")
        .bundle
}

fn control(change: impl FnOnce(&mut Control)) -> Control {
    let mut control = Control::default();
    change(&mut control);
    control
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_is_in_force_everywhere_in_time_and_within_the_calls() {
    let fleet = Fleet::start(READERS).await;
    let first = fleet.publish(&bundle(10, "in-service")).await;
    assert!(fleet.all_have(first).await, "{:?}", fleet.indexes());
    let before = fleet.platform.calls();

    let second = fleet.publish(&bundle(20, "in-service")).await;
    assert!(fleet.all_have(second).await, "{:?}", fleet.indexes());
    let withdrawn = fleet.publish(&bundle(20, "withdrawn")).await;
    assert!(fleet.all_have(withdrawn).await, "{:?}", fleet.indexes());

    // One document each for the first change, none for the withdrawal, and the watches: two that
    // were answered, one that goes on, and one whose wait may have run out.
    let after = fleet.platform.calls();
    let readers = READERS as u64;
    println!("{before:?}, {after:?}");
    assert_eq!(after.documents - before.documents, readers);
    assert!(after.manifest - before.manifest <= 4 * readers, "{after:?}");
    assert!(fleet.never_went_back());
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stale_replicas_never_take_a_reader_back() {
    let fleet = Fleet::start_with_peers(READERS).await;
    let first = fleet.publish(&bundle(10, "in-service")).await;
    assert!(fleet.all_have(first).await);

    // Each second read is answered from the state of the first publication.
    fleet.platform.set_control(control(|faults| {
        faults.stale_at = Some(first);
        faults.stale_every = Some(2);
    }));
    for concurrency in [20, 30, 40] {
        let index = fleet.publish(&bundle(concurrency, "in-service")).await;
        assert!(
            fleet.all_have(index).await,
            "{index}: {:?}",
            fleet.indexes()
        );
    }

    // The naive reader takes what the service says; it has gone back by now.
    let key = format!("{}/v1/kv/{MANIFEST_KEY}", fleet.base);
    let mut naive = Vec::new();
    for _ in 0..4 {
        let answer = fleet.client.get(&key).send().await.unwrap();
        let index = answer.headers()["x-consul-index"].to_str().unwrap();
        naive.push(index.parse::<u64>().unwrap());
    }
    assert!(!naive.is_sorted(), "{naive:?}");
    assert!(fleet.never_went_back());
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn through_an_outage_the_last_publication_holds_and_the_next_is_in_time() {
    for silent in [false, true] {
        let fleet = Fleet::start(READERS).await;
        let first = fleet.publish(&bundle(10, "in-service")).await;
        assert!(fleet.all_have(first).await);
        let fault = |on: bool| {
            control(|faults| match silent {
                true => faults.silent = Some(on),
                false => faults.down = Some(on),
            })
        };

        fleet.platform.set_control(fault(true));
        let second = fleet.publish(&bundle(20, "in-service")).await;
        // Every reader has met the fault once its own call has failed.
        let calls = fleet.platform.calls().manifest;
        while fleet.platform.calls().manifest < calls + 2 * READERS as u64 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(fleet.indexes(), vec![first; READERS]);
        fleet.platform.set_control(fault(false));

        assert!(
            fleet.all_have(second).await,
            "silent {silent}: {:?}",
            fleet.indexes()
        );
        assert!(fleet.never_went_back());
        fleet.stop().await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_into_a_stale_read_takes_what_peers_have() {
    let mut fleet = Fleet::start(3).await;
    let first = fleet.publish(&bundle(10, "in-service")).await;
    assert!(fleet.all_have(first).await);
    let second = fleet.publish(&bundle(20, "withdrawn")).await;
    assert!(fleet.all_have(second).await);

    fleet
        .platform
        .set_control(control(|faults| faults.stale_at = Some(first)));
    let others: Peers = Arc::new(Mutex::new(fleet.views.clone()));
    let mut restarted = fleet.add_reader(peers(&others, [0, 1]));
    let mut alone = fleet.add_reader(no_peers());

    // The first thing that a restarted process shows is not older than what its peers have.
    let shown = restarted.wait_for(|view| view.ready).await.unwrap().index();
    let naive = alone.wait_for(|view| view.ready).await.unwrap().index();
    assert_eq!((shown, naive), (second, first));
    assert!(fleet.never_went_back());
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_invalid_publication_is_refused_by_all_alike_and_the_last_one_holds() {
    let whole = bundle(10, "in-service");
    let broken = |text: &str| {
        let mut bundle = whole.clone();
        bundle.manifest = text.to_owned();
        bundle
    };
    let withdrawn = whole.manifest.replace("in-service", "withdrawn");
    let cases = [
        (broken("{"), "manifest:1"),
        (
            broken(&whole.manifest.replace("\"format\": 1", "\"format\": 2")),
            "format 2 is not known",
        ),
        (broken(&withdrawn), "every failure domain is withdrawn"),
    ];
    let fleet = Fleet::start(6).await;
    let first = fleet.publish(&whole).await;
    assert!(fleet.all_have(first).await);

    for (bundle, reason) in &cases {
        let refused = fleet.publish(bundle).await;
        let mut texts = Vec::new();
        for view in &mut fleet.views.clone() {
            let is_refused = |view: &ConfigView| {
                view.refused
                    .as_ref()
                    .is_some_and(|refusal| refusal.index == refused)
            };
            let wait = tokio::time::timeout(IN_FORCE, view.wait_for(is_refused));
            let view = wait.await.unwrap().unwrap();
            texts.push(view.refused.as_ref().unwrap().to_string());
            assert_eq!(view.index(), first);
        }
        assert!(texts[0].contains(reason), "{}", texts[0]);
        assert!(texts.iter().all(|text| *text == texts[0]), "{texts:?}");
    }

    let next = fleet.publish(&bundle(20, "in-service")).await;
    assert!(fleet.all_have(next).await);
    assert!(
        fleet
            .views
            .iter()
            .all(|view| view.borrow().refused.is_none())
    );
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_operators_racing_leave_one_whole_publication() {
    let fleet = Fleet::start(READERS).await;
    let (one, two) = (bundle(10, "in-service"), bundle(20, "withdrawn"));

    let mut last = 0;
    for _ in 0..5 {
        let (first, second) = tokio::join!(fleet.publish(&one), fleet.publish(&two));
        last = first.max(second);
    }

    assert!(fleet.all_have(last).await, "{:?}", fleet.indexes());
    let mut digests = Vec::new();
    for view in &fleet.views {
        let published = view.borrow().published.clone().unwrap();
        // Never the limits of one operator with the domains of the other.
        let whole =
            published.bundle.manifest == one.manifest || published.bundle.manifest == two.manifest;
        assert!(whole);
        digests.push(published.digest.clone());
    }
    assert!(digests.iter().all(|digest| *digest == digests[0]));
    assert!(fleet.never_went_back());
    fleet.stop().await;
}

#[gtest]
fn an_offer_that_is_older_the_same_or_invalid_changes_nothing() {
    let view = watch::Sender::new(ConfigView::default());
    let offer = |index, bundle| Offer { index, bundle };
    let mut broken = bundle(30, "in-service");
    broken.documents.clear();

    config_reader::accept(&view, offer(7, bundle(10, "in-service")));
    let cases = [
        (6, bundle(20, "in-service")),
        (7, bundle(20, "in-service")),
        (8, broken),
    ];
    for (index, bundle) in cases {
        config_reader::accept(&view, offer(index, bundle));

        let published = view.borrow().published.clone().unwrap();
        expect_that!(published.index, eq(7));
        expect_that!(published.services["desk"].limits.concurrency, eq(10));
    }
    expect_that!(view.borrow().refused.is_some(), eq(true));
}
