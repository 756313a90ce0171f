//! Stand-in platform: configuration service, live list and weight store over HTTP, with a control
//! endpoint for tests.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base64::{Engine, engine::general_purpose::STANDARD};
use jj_platform::wire::{INDEX_HEADER, InstanceList, KeyValue};
use jj_utils::common_derives;
use poem::{
    EndpointExt, IntoEndpoint, Response, Route, Server, get, handler,
    http::StatusCode,
    listener::TcpAcceptor,
    put,
    web::{Data, Json, Path, Query},
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

pub use super::platform_state::{Calls, Control, ListName, Platform, View};

/// Longest wait of a blocking query.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Maximum concurrent reads of the weight store; more get 429.
const MAX_WEIGHT_READS: usize = 8;

/// Maximum size of a response of the weight store, in bytes.
const MAX_WEIGHT_BYTES: usize = 64 * 1024 * 1024;

common_derives! {wire:
    /// Parameters of a blocking query.
    struct BlockingQuery {
        /// Index that the caller has seen.
        index: Option<u64>,
        /// Longest wait, such as `10s` or `500ms`.
        wait: Option<String>,
    }
}

common_derives! {wire:
    /// Parameters of a read of the weight store.
    struct WeightQuery {
        /// Size of the response, in bytes.
        bytes: Option<usize>,
    }
}

/// Serves a new platform on `addr` until the token is cancelled, and also on each address of
/// `views`, which has its own live list.
///
/// # Errors
/// When an address cannot be bound.
pub async fn serve(
    addr: SocketAddr,
    views: Vec<SocketAddr>,
    token: CancellationToken,
) -> anyhow::Result<()> {
    let platform = Arc::new(Platform::default());
    let listener = TcpListener::bind(addr).await?;
    let mut served = vec![serve_list(listener, ListName::Main, &platform, &token)];
    for (number, addr) in views.into_iter().enumerate() {
        let listener = TcpListener::bind(addr).await?;
        let name = ListName::View(number);
        served.push(serve_list(listener, name, &platform, &token));
    }
    futures_util::future::try_join_all(served).await?;
    Ok(())
}

/// Serves `platform` on a bound listener until the token is cancelled.
///
/// # Errors
/// When the listener fails.
pub async fn serve_on(
    listener: TcpListener,
    platform: Arc<Platform>,
    token: CancellationToken,
) -> anyhow::Result<()> {
    serve_list(listener, ListName::Main, &platform, &token).await
}

async fn serve_list(
    listener: TcpListener,
    list: ListName,
    platform: &Arc<Platform>,
    token: &CancellationToken,
) -> anyhow::Result<()> {
    let acceptor = TcpAcceptor::from_tokio(listener)?;
    let routes = routes(Arc::clone(platform), list);
    let ended = token.clone().cancelled_owned();
    Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(routes, ended, Some(Duration::ZERO))
        .await?;
    Ok(())
}

fn routes(platform: Arc<Platform>, list: ListName) -> impl IntoEndpoint {
    let weights = Arc::new(tokio::sync::Semaphore::new(MAX_WEIGHT_READS));
    Route::new()
        .at("/v1/kv/*key", get(read_key).put(put_key))
        .at("/v1/instances", get(read_instances).put(put_instances))
        .at("/weights/*name", get(read_weights))
        .at("/control", put(put_control))
        .at("/calls", get(read_calls))
        .data(platform)
        .data(list)
        .data(weights)
}

#[handler]
async fn read_key(
    Path(key): Path<String>,
    Query(query): Query<BlockingQuery>,
    Data(platform): Data<&Arc<Platform>>,
) -> Response {
    let is_manifest = key.ends_with("manifest");
    platform.count(|calls| match is_manifest {
        true => calls.manifest += 1,
        false => calls.documents += 1,
    });
    let newest = match platform.view() {
        View::Down => return status(StatusCode::SERVICE_UNAVAILABLE),
        View::Silent => std::future::pending().await,
        View::At(newest) => newest,
    };
    let seen = query.index.unwrap_or(0);
    let changed = || {
        platform
            .read(&key, newest)
            .is_some_and(|version| version.index > seen)
    };
    wait_until(platform, &query, changed).await;
    let Some(version) = platform.read(&key, newest) else {
        let index = platform.index().min(newest).max(1);
        return indexed(index).status(StatusCode::NOT_FOUND).finish();
    };
    let value = KeyValue {
        key,
        value: STANDARD.encode(&version.value),
        modify_index: version.index,
    };
    json(version.index, &vec![value])
}

#[handler]
async fn read_instances(
    Query(query): Query<BlockingQuery>,
    Data(platform): Data<&Arc<Platform>>,
    Data(name): Data<&ListName>,
) -> Response {
    platform.count(|calls| calls.instances += 1);
    match platform.view() {
        View::Down => return status(StatusCode::SERVICE_UNAVAILABLE),
        View::Silent => std::future::pending().await,
        View::At(_) => {}
    }
    let seen = query.index.unwrap_or(0);
    wait_until(platform, &query, || platform.instances(*name).0 > seen).await;
    let (index, list) = platform.instances(*name);
    json(index, &list)
}

#[handler]
async fn read_weights(
    Path(_name): Path<String>,
    Query(query): Query<WeightQuery>,
    Data(platform): Data<&Arc<Platform>>,
    Data(slots): Data<&Arc<tokio::sync::Semaphore>>,
) -> Response {
    platform.count(|calls| calls.weights += 1);
    let Ok(_slot) = slots.try_acquire() else {
        return Response::builder()
            .status(StatusCode::TOO_MANY_REQUESTS)
            .header("retry-after", "1")
            .finish();
    };
    let size = query.bytes.unwrap_or(1024).min(MAX_WEIGHT_BYTES);
    Response::builder().body(vec![0; size])
}

#[handler]
fn put_key(
    Path(key): Path<String>,
    body: Vec<u8>,
    Data(platform): Data<&Arc<Platform>>,
) -> Response {
    let index = platform.put(&key, body);
    indexed(index).body("true")
}

#[handler]
fn put_instances(
    Json(list): Json<InstanceList>,
    Data(platform): Data<&Arc<Platform>>,
    Data(name): Data<&ListName>,
) -> StatusCode {
    let (platform, name) = (platform.clone(), *name);
    tokio::spawn(async move {
        tokio::time::sleep(platform.lag()).await;
        platform.set_instances(name, list);
    });
    StatusCode::ACCEPTED
}

#[handler]
fn put_control(Json(change): Json<Control>, Data(platform): Data<&Arc<Platform>>) -> StatusCode {
    platform.set_control(change);
    StatusCode::OK
}

#[handler]
fn read_calls(Data(platform): Data<&Arc<Platform>>) -> Json<Calls> {
    Json(platform.calls())
}

async fn wait_until(platform: &Platform, query: &BlockingQuery, changed: impl Fn() -> bool) {
    if query.index.is_none() {
        return;
    }
    let wait = parse_wait(query.wait.as_deref()).min(MAX_WAIT);
    let mut changes = platform.subscribe();
    let woken = async {
        while !changed() {
            if changes.changed().await.is_err() {
                return;
            }
        }
    };
    // After the wait the response has the current state.
    let _ = tokio::time::timeout(wait, woken).await;
}

fn parse_wait(text: Option<&str>) -> Duration {
    let text = text.unwrap_or("10s");
    if let Some(millis) = text.strip_suffix("ms") {
        return Duration::from_millis(millis.parse().unwrap_or(0));
    }
    let seconds = text.strip_suffix('s').unwrap_or(text);
    Duration::from_secs(seconds.parse().unwrap_or(0))
}

fn status(code: StatusCode) -> Response {
    Response::builder().status(code).finish()
}

fn indexed(index: u64) -> poem::ResponseBuilder {
    Response::builder().header(INDEX_HEADER, index)
}

fn json<T: serde::Serialize>(index: u64, value: &T) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    indexed(index).content_type("application/json").body(body)
}
