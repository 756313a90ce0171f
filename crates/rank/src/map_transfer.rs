//! Transfers complete expert maps over HTTP to agents that have just started and so don't know the
//! map to which the changes in a task apply.
//!
//! The map of a large group is too long for a datagram, and the leader's link is narrow, so it is
//! sent over a connection and only on request.

use std::{net::IpAddr, net::SocketAddr, rc::Rc, time::Duration};

use http::StatusCode;
use jj_direct::{
    body::ResponseBody,
    fetch,
    metrics_port::{self, METRICS_PATH, text_response},
    server::Handler,
};
use jj_policy::map_switch::{Goal, MapVersion, SetMap};
use jj_utils::{events, log_event};
use metrics_exporter_prometheus::PrometheusHandle;

use crate::state::State;

/// Path prefix of maps, followed by the group's epoch and the map's version: `/map/<epoch>/<version>`.
const MAP_PATH: &str = "/map/";

/// Maximum size of an encoded map.
const MAX_MAP_BYTES: usize = 256 * 1024;

/// Timeout for fetching a map.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Returns the handler of the HTTP port, which serves maps to other agents and metrics to operators.
pub fn handler(state: Rc<State>, metrics: PrometheusHandle) -> Handler {
    Rc::new(move |arrival, _| {
        let path = arrival.uri().path();
        let response = match path.strip_prefix(MAP_PATH).map(parse_map_id) {
            Some(map_id) => map_response(&state, map_id),
            None if path == METRICS_PATH => metrics_port::metrics_response(&metrics),
            None => text_response(StatusCode::NOT_FOUND, "no such path\n"),
        };
        Box::pin(async move { response })
    })
}

/// Parses the epoch and version of a map in a path.
fn parse_map_id(text: &str) -> Option<(u64, MapVersion)> {
    let (epoch, version) = text.split_once('/')?;
    Some((epoch.parse().ok()?, version.parse().ok()?))
}

/// Returns the response to a request for a map: its content, or 404 if it is not known.
fn map_response(state: &State, map_id: Option<(u64, MapVersion)>) -> http::Response<ResponseBody> {
    let group = state.group.borrow();
    let map = map_id.and_then(|(epoch, version)| group.map(epoch, version));
    match map.and_then(|map| postcard::to_stdvec(map).ok()) {
        Some(bytes) => http::Response::new(ResponseBody::whole(bytes)),
        None => text_response(StatusCode::NOT_FOUND, "this agent does not have the map\n"),
    }
}

/// Returns the address of the HTTP port of the agent on an instance: one above its datagram port.
pub fn http_addr(state: &State, ip: IpAddr) -> SocketAddr {
    SocketAddr::new(ip, state.settings().internal_ports.0 + 1)
}

/// Fetches and stores the map of a goal from the leader at `from`. Returns false if that fails or a
/// fetch of the map is already running.
pub async fn fetch(state: &State, from: IpAddr, goal: &Goal) -> bool {
    let map_id = (goal.epoch, goal.version);
    if state.group.borrow().fetching_map == Some(map_id) {
        return false;
    }
    state.group.borrow_mut().fetching_map = Some(map_id);
    let path = format!("{MAP_PATH}{}/{}", map_id.0, map_id.1);
    let call = fetch::get::<Vec<SetMap>>(&state.pool, http_addr(state, from), &path, MAX_MAP_BYTES);
    let result = tokio::time::timeout(FETCH_TIMEOUT, call).await;
    let mut group = state.group.borrow_mut();
    group.fetching_map = None;
    match result {
        Ok(Ok(map)) => {
            group.store_map(goal.epoch, goal.version, map);
            log_event!(
                events::MAP_FETCHED,
                version = goal.version, epoch = goal.epoch, from = from.to_string();
                "fetched the complete map"
            );
            true
        }
        Ok(Err(error)) => {
            log::debug!(
                "failed to fetch version {} of the map from agent {from}: {error:#}",
                goal.version
            );
            false
        }
        Err(_) => {
            log::debug!(
                "timed out fetching version {} of the map from agent {from}",
                goal.version
            );
            false
        }
    }
}
