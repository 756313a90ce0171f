//! The scaffolding itself: faults are injected, and the caller's checks see each of them.

use std::time::Duration;

use googletest::prelude::*;
use jj_operator::published::Published;
use jujube_lab::{
    caller::{Call, Caller, Chat, Outcome},
    process::{free_addr, wait_until},
    publication::Publication,
    relay::{Mode, Relay},
    standins::{
        cold_start::ColdConfig,
        engine::{self, EngineConfig},
        faults::{ControlRequest, Fault},
        ledger::Executions,
        service::{self, ServiceConfig},
    },
};
use tokio_util::sync::CancellationToken;

const TOKENS: u32 = 8;
const READY: Duration = Duration::from_secs(10);

struct Backend {
    url: String,
    client: reqwest::Client,
    _cancel: tokio_util::sync::DropGuard,
}

impl Backend {
    async fn control(&self, request: &ControlRequest) -> anyhow::Result<()> {
        let url = format!("{}/control", self.url);
        self.client.post(url).json(request).send().await?;
        Ok(())
    }

    async fn order(&self, fault: Fault) -> anyhow::Result<()> {
        let next = vec![fault];
        let request = ControlRequest {
            next,
            ..ControlRequest::default()
        };
        self.control(&request).await
    }

    async fn executions(&self) -> anyhow::Result<Executions> {
        let url = format!("{}/executions", self.url);
        Ok(self.client.get(url).send().await?.json().await?)
    }
}

async fn start_engine(config: EngineConfig) -> anyhow::Result<Backend> {
    let cancel = CancellationToken::new();
    let addr = free_addr()?;
    tokio::spawn(engine::serve(config, addr, cancel.clone()));
    ready(addr, cancel).await
}

async fn start_service(config: ServiceConfig) -> anyhow::Result<Backend> {
    let cancel = CancellationToken::new();
    let addr = free_addr()?;
    tokio::spawn(service::serve(config, addr, cancel.clone()));
    ready(addr, cancel).await
}

async fn ready(addr: std::net::SocketAddr, cancel: CancellationToken) -> anyhow::Result<Backend> {
    let client = reqwest::Client::new();
    let url = format!("http://{addr}");
    wait_until("health", READY, || async {
        client.get(format!("{url}/health")).send().await.is_ok()
    })
    .await?;
    Ok(Backend {
        url,
        client,
        _cancel: cancel.drop_guard(),
    })
}

fn short_sighted() -> Caller {
    Caller::new(Duration::from_millis(200))
}

fn name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Whole(_) => "whole",
        Outcome::Refused(_) => "refused",
        Outcome::Broken(_) => "broken",
        Outcome::Wrong(_) => "wrong",
    }
}

#[gtest]
#[tokio::test]
async fn callers_see_each_fault_of_a_stream() -> anyhow::Result<()> {
    let engine = start_engine(EngineConfig::default()).await?;
    let cases = [
        (Fault::None, "whole"),
        (Fault::Double, "wrong"),
        (Fault::Truncate { after: 3 }, "broken"),
        (Fault::Reset { after: 3 }, "broken"),
        (Fault::Freeze { after: 3 }, "broken"),
        (Fault::Refuse, "refused"),
    ];
    for (fault, expected) in cases {
        engine.order(fault).await?;
        let chat = Chat::streamed(format!("{fault:?}"), TOKENS);
        let outcome = short_sighted().chat(&engine.url, &chat).await;
        expect_that!(name(&outcome), eq(expected), "{fault:?}: {outcome:?}");
    }
    let executions = engine.executions().await?;
    expect_that!(executions.started, eq(5));
    expect_that!(executions.completed, eq(2));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn callers_see_each_fault_of_a_call() -> anyhow::Result<()> {
    let service = start_service(ServiceConfig::default()).await?;
    let cases = [
        (Fault::None, "whole"),
        (Fault::Reset { after: 0 }, "broken"),
        (Fault::Freeze { after: 0 }, "broken"),
        (Fault::Refuse, "refused"),
    ];
    for (fault, expected) in cases {
        service.order(fault).await?;
        let outcome = short_sighted()
            .call(&service.url, &Call::claim("one"))
            .await;
        expect_that!(name(&outcome), eq(expected), "{fault:?}: {outcome:?}");
    }
    let marker = &service.executions().await?.by_marker["/desk/claims/new?marker=one"];
    expect_that!(marker.started, eq(3));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn engine_resumes_at_a_token() -> anyhow::Result<()> {
    let engine = start_engine(EngineConfig::default()).await?;
    let chat = Chat::streamed("resumed", TOKENS);
    let answer = engine
        .client
        .post(format!("{}/v1/completions", engine.url))
        .header("x-resume-from", "6")
        .json(&serde_json::json!({
            "model": "stand-in", "prompt": chat.prompt, "stream": true, "max_tokens": TOKENS,
        }))
        .send()
        .await?;
    let text = answer.text().await?;
    expect_that!(text.matches("data: ").count(), eq(3));
    expect_that!(text, contains_substring("\"index\":6"));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn cold_engine_falls_over_beyond_its_floor() -> anyhow::Result<()> {
    let cold = ColdConfig {
        floor: 2,
        warm_after: Duration::from_secs(60),
        ..ColdConfig::default()
    };
    let token_delay = Duration::from_millis(20);
    let engine = start_engine(EngineConfig {
        cold,
        token_delay,
        ..EngineConfig::default()
    })
    .await?;
    let caller = Caller::default();
    let chats: Vec<Chat> = (0..3)
        .map(|n| Chat::streamed(format!("cold-{n}"), TOKENS))
        .collect();
    let ended =
        futures_util::future::join_all(chats.iter().map(|chat| caller.chat(&engine.url, chat)));
    let whole = ended
        .await
        .iter()
        .filter(|outcome| name(outcome) == "whole")
        .count();
    let executions = engine.executions().await?;
    expect_that!(whole, eq(0));
    expect_that!(executions.falls, ge(1));
    expect_that!(executions.cold_peak, eq(3));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn relay_silences_open_connections_and_passes_new_ones() -> anyhow::Result<()> {
    let token_delay = Duration::from_millis(5);
    let engine = start_engine(EngineConfig {
        token_delay,
        ..EngineConfig::default()
    })
    .await?;
    let target = engine.url.trim_start_matches("http://").parse()?;
    let relay = Relay::start(free_addr()?, target, CancellationToken::new()).await?;
    let base = format!("http://{}", relay.addr());
    let caller = Caller::new(Duration::from_millis(500));
    let chat = Chat::streamed("silenced", 400);
    let (outcome, silenced) = tokio::join!(caller.chat(&base, &chat), async {
        let started = || async { engine.executions().await.is_ok_and(|all| all.started == 1) };
        wait_until("the stream to start", READY, started).await?;
        relay.set_open(Mode::Silent);
        anyhow::Ok(())
    });
    silenced?;
    expect_that!(name(&outcome), eq("broken"));
    let fresh = Caller::default()
        .chat(&base, &Chat::streamed("new", 2))
        .await;
    expect_that!(name(&fresh), eq("whole"));
    relay.set(Mode::Cut);
    let cut = Caller::default()
        .chat(&base, &Chat::streamed("cut", 2))
        .await;
    expect_that!(name(&cut), eq("broken"));
    Ok(())
}

#[gtest]
fn default_publication_is_accepted() -> anyhow::Result<()> {
    let publication = Publication::default();
    let bundle = publication.bundle()?;
    expect_that!(Published::parse(1, bundle.into()).err(), none());
    Ok(())
}
