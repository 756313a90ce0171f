//! Live list and weight store against the stand-in platform.

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use jj_platform::{
    budget::SharedBudget,
    live_list::{self, LiveList, LiveListConfig, LiveListContext},
    weight_store::{WeightError, WeightStore, WeightStoreConfig, transfer_time},
    wire::{Instance, InstanceList, Role},
};
use jj_policy::call_budget::CallBudget;
use jj_utils::clock::SystemClock;
use jujube_lab::standins::platform::{Control, Platform, serve_on};
use tokio::{net::TcpListener, sync::watch};
use tokio_util::sync::CancellationToken;

/// Longest wait for a condition; a test that reaches it has failed.
const PATIENCE: Duration = Duration::from_secs(30);

struct Fixture {
    platform: Arc<Platform>,
    base: String,
    client: reqwest::Client,
    token: CancellationToken,
}

async fn start() -> Fixture {
    let platform = Arc::new(Platform::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound port");
    let token = CancellationToken::new();
    tokio::spawn(serve_on(listener, platform.clone(), token.clone()));
    let client = reqwest::Client::builder().no_proxy().build();
    Fixture {
        platform,
        base: format!("http://{addr}"),
        client: client.expect("a client"),
        token,
    }
}

fn list(count: u16) -> InstanceList {
    let instance = |number: u16| Instance {
        id: format!("agent-{number}"),
        role: Role::Agent,
        domain: "a".into(),
        service: "desk".into(),
        traffic: ([127, 0, 0, 1], number + 1).into(),
        control: ([127, 0, 0, 1], number + 1).into(),
        leaving: false,
        rank: None,
    };
    InstanceList {
        instances: (0..count).map(instance).collect(),
    }
}

fn weights(fixture: &Fixture, config: WeightStoreConfig) -> WeightStore {
    WeightStore {
        config: WeightStoreConfig {
            base_url: fixture.base.clone(),
            ..config
        },
        client: fixture.client.clone(),
        clock: SystemClock::shared(),
        token: fixture.token.clone(),
    }
}

async fn wait_for(view: &mut watch::Receiver<LiveList>, count: usize) {
    let reached = view.wait_for(|list| list.list.instances.len() == count);
    let reached = tokio::time::timeout(PATIENCE, reached).await;
    drop(
        reached
            .expect("the list in time")
            .expect("a running reader"),
    );
}

#[tokio::test]
async fn the_live_list_lags_survives_an_outage_and_tells_the_size_of_the_fleet() {
    let fixture = start().await;
    let clock = SystemClock::shared();
    let budget = SharedBudget::new(CallBudget::default(), 1, 7, clock);
    let (sender, mut view) = watch::channel(LiveList::default());
    let context = LiveListContext {
        config: LiveListConfig {
            base_url: fixture.base.clone(),
            ..LiveListConfig::default()
        },
        client: fixture.client.clone(),
        budget: budget.clone(),
        token: fixture.token.clone(),
    };
    let reader = tokio::spawn(live_list::run(context, sender));
    let put = |list: InstanceList| {
        let request = fixture.client.put(format!("{}/v1/instances", fixture.base));
        request.json(&list).send()
    };

    put(list(3)).await.unwrap();
    wait_for(&mut view, 3).await;
    let small = budget.config_interval();
    fixture.platform.set_control(Control {
        down: Some(true),
        lag_ms: Some(200),
        ..Control::default()
    });
    put(list(200)).await.unwrap();
    let calls = fixture.platform.calls().instances;
    while fixture.platform.calls().instances < calls + 2 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(view.borrow().list.instances.len(), 3);
    fixture.platform.set_control(Control {
        down: Some(false),
        ..Control::default()
    });
    wait_for(&mut view, 200).await;

    assert!(budget.config_interval() > small);
    fixture.token.cancel();
    reader.await.unwrap();
}

#[tokio::test]
async fn weights_are_read_whole_in_pieces_and_faults_are_told_apart() {
    let fixture = start().await;
    let store = weights(&fixture, WeightStoreConfig::default());

    let mut bytes = 0;
    let total = store
        .read("expert-7?bytes=3000000", |piece| {
            bytes += piece.len() as u64
        })
        .await
        .unwrap();
    assert_eq!((total, bytes), (3_000_000, 3_000_000));

    fixture.token.cancel();
    let cancelled = store.read("expert-7", |_| {}).await;
    assert!(
        matches!(cancelled, Err(WeightError::Cancelled)),
        "{cancelled:?}"
    );
}

#[gtest]
fn a_share_of_the_rate_gives_the_time_of_a_transfer() {
    let cases = [
        (0, 10, 0),
        (1_000, 1_000, 1_000),
        (1_500, 1_000, 1_500),
        (1, 0, 1_000),
    ];
    for (bytes, rate, millis) in cases {
        expect_that!(transfer_time(bytes, rate).as_millis(), eq(millis));
    }
}
