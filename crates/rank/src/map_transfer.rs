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
use jj_policy::{
    group_members::{GroupTag, UNKNOWN_GROUP},
    map_switch::{Goal, MapVersion, SetMap},
};
use jj_utils::{events, log_event};
use metrics_exporter_prometheus::PrometheusHandle;

use crate::state::State;

/// Path prefix of maps, followed by the group, its epoch and the map's version:
/// `/map/<group>/<epoch>/<version>`. Agents of the build before leave the group out.
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

/// Identifier of a map.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct MapId {
    /// The group; [`UNKNOWN_GROUP`] from an agent that names none.
    group: GroupTag,
    /// Epoch of the group.
    epoch: u64,
    /// Version of the map.
    version: MapVersion,
}

/// Parses the group, epoch and version of a map in a path.
fn parse_map_id(text: &str) -> Option<MapId> {
    let numbers: Vec<u64> = text
        .split('/')
        .map(|it| it.parse().ok())
        .collect::<Option<_>>()?;
    let (group, epoch, version) = match numbers[..] {
        [epoch, version] => (UNKNOWN_GROUP, epoch, version),
        [group, epoch, version] => (group, epoch, version),
        _ => return None,
    };
    Some(MapId {
        group,
        epoch,
        version,
    })
}

/// Returns the path of a map at the agent that has it.
fn path_of(id: MapId) -> String {
    match id.group {
        UNKNOWN_GROUP => format!("{MAP_PATH}{}/{}", id.epoch, id.version),
        group => format!("{MAP_PATH}{group}/{}/{}", id.epoch, id.version),
    }
}

/// Returns the response to a request for a map: its content, or 404 if it is not known.
fn map_response(state: &State, map_id: Option<MapId>) -> http::Response<ResponseBody> {
    let group = state.group.borrow();
    let is_own = |it: &MapId| match it.group {
        UNKNOWN_GROUP => group.is_alone(),
        named => named == group.members.group(),
    };
    let map_id = map_id.filter(is_own);
    let map = map_id.and_then(|it| group.map(it.epoch, it.version));
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
pub async fn fetch(state: &State, from: IpAddr, group: GroupTag, goal: &Goal) -> bool {
    let fetched = (goal.epoch, goal.version);
    if state.group.borrow().fetching_map == Some(fetched) {
        return false;
    }
    state.group.borrow_mut().fetching_map = Some(fetched);
    let path = path_of(MapId {
        group,
        epoch: goal.epoch,
        version: goal.version,
    });
    let call = fetch::get::<Vec<SetMap>>(&state.pool, http_addr(state, from), &path, MAX_MAP_BYTES);
    let result = tokio::time::timeout(FETCH_TIMEOUT, call).await;
    let is_own = state.is_own_group(group);
    let mut group = state.group.borrow_mut();
    if group.fetching_map == Some(fetched) {
        group.fetching_map = None;
    }
    match result {
        Ok(Ok(_)) if !is_own => false,
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
