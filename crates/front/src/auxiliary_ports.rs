//! HTTP handler of an entry's auxiliary ports: readiness, directory, control and metrics.

use std::{net::SocketAddr, rc::Rc};

use http::{HeaderValue, Response, StatusCode, header};
use jj_adapter::directory;
use jj_direct::{
    body::ResponseBody,
    metrics_port::{self, METRICS_PATH, text_response},
    server::{Handler, IncomingRequest},
};
use jj_policy::{gossip::EntryState, server_list::StorePosition};
use metrics_exporter_prometheus::PrometheusHandle;

use crate::{
    peers::Peers,
    shared_state::SharedState,
    store_sync::{ERA_QUERY, REPLICA_PATH, SINCE_QUERY},
};

/// Returns the handler of all auxiliary ports; every path is served on each of them.
pub fn handler(shared: Rc<SharedState>, metrics: PrometheusHandle) -> Handler {
    Rc::new(move |arrival, _| {
        let response = respond(&shared, &metrics, &arrival);
        Box::pin(async move { response })
    })
}

/// Handles one request by its path.
fn respond(
    shared: &Rc<SharedState>,
    metrics: &PrometheusHandle,
    arrival: &IncomingRequest,
) -> Response<ResponseBody> {
    match arrival.uri().path() {
        directory::READY_PATH => readiness(shared),
        directory::RESOLVE_PATH => resolve(shared, arrival.uri().query()),
        REPLICA_PATH => replica(shared, arrival.uri().query()),
        METRICS_PATH => metrics_port::metrics_response(metrics),
        _ => text_response(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

/// Returns 200 if this entry accepts requests, else 503.
fn readiness(shared: &Rc<SharedState>) -> Response<ResponseBody> {
    match shared.entry_state.get() {
        EntryState::Ready => text_response(StatusCode::OK, "ready\n"),
        state => text_response(
            StatusCode::SERVICE_UNAVAILABLE,
            format!("not ready: {state:?}\n"),
        ),
    }
}

/// Lifetime of addresses as a fraction of the longest one allowed: some callers keep them for longer,
/// and an entry that shuts down accepts only what it can finish.
const ADDRESS_LIFETIME_FRACTION: f64 = 0.3;

/// Returns the addresses of entries that accept requests.
fn resolve(shared: &Rc<SharedState>, query: Option<&str>) -> Response<ResponseBody> {
    let addresses = addresses(shared, query);
    if addresses.is_empty() {
        let reason = "no entry takes requests\n";
        return text_response(StatusCode::SERVICE_UNAVAILABLE, reason);
    }
    let longest = shared.settings().objectives.max_address_ttl;
    let lifetime = longest.mul_f64(ADDRESS_LIFETIME_FRACTION);
    let body = directory::resolve_body(addresses, lifetime);
    let mut response = Response::new(ResponseBody::whole(body));
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Returns the addresses for callers' requests of all live entries that accept them, up to
/// [`directory::MAX_ADDRESSES`].
fn addresses(shared: &Rc<SharedState>, _query: Option<&str>) -> Vec<SocketAddr> {
    let settings = shared.settings();
    let peers = shared.peers.borrow();
    let ready = peers.ready_ips();
    let ready = ready.filter_map(|ip| Peers::listen_addr(ip, settings.listen.traffic));
    let mut addresses: Vec<SocketAddr> = ready.collect();
    if shared.entry_state.get() == EntryState::Ready {
        addresses.extend(settings.listen.traffic);
    }
    addresses.truncate(directory::MAX_ADDRESSES);
    addresses
}

/// Returns the position of the store in the query of a request for this entry's replica.
fn position_in(query: &str) -> Option<StorePosition> {
    let (revision, era) = query.strip_prefix(SINCE_QUERY)?.split_once(ERA_QUERY)?;
    Some(StorePosition {
        era: era.parse().ok()?,
        revision: revision.parse().ok()?,
    })
}

/// Returns the update of this entry's replica since the position in the query.
fn replica(shared: &Rc<SharedState>, query: Option<&str>) -> Response<ResponseBody> {
    let since = query.and_then(position_in);
    let update = shared.replica.borrow().update_since(since);
    match update.and_then(|update| postcard::to_stdvec(&update).ok()) {
        Some(bytes) => Response::new(ResponseBody::whole(bytes)),
        None => text_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "this entry has no replica of the store yet\n",
        ),
    }
}
