//! Whole expert maps, for agents that have just started and don't know the one that a new map changes.
//!
//! A map of a large group is longer than a datagram should be, and its leader's link is narrow, so it
//! goes over a connection, and only to those who ask.

use std::{net::IpAddr, net::SocketAddr, rc::Rc, time::Duration};

use http::StatusCode;
use jj_direct::{
    body::AnswerBody,
    fetch,
    metrics_port::{self, METRICS_PATH, text},
    server::Handler,
};
use jj_policy::map_switch::{Goal, MapVersion, SetMap};
use jj_utils::{events, log_event};
use metrics_exporter_prometheus::PrometheusHandle;

use crate::state::State;

/// Path of a map; its formation and version follow.
const MAP_PATH: &str = "/map/";

/// Longest map, in bytes.
const LONGEST_MAP: usize = 256 * 1024;

/// Longest time to get a map.
const FETCH_LIMIT: Duration = Duration::from_millis(1_200);

/// Answers the port for other agents and operators.
pub fn handler(state: Rc<State>, metrics: PrometheusHandle) -> Handler {
    Rc::new(move |arrival, _| {
        let path = arrival.uri().path();
        let response = match path.strip_prefix(MAP_PATH).map(parse) {
            Some(named) => tell(&state, named),
            None if path == METRICS_PATH => metrics_port::answer(&metrics),
            None => text(StatusCode::NOT_FOUND, "there is nothing here\n"),
        };
        Box::pin(async move { response })
    })
}

/// Formation and version of a map in a path.
fn parse(text: &str) -> Option<(u64, MapVersion)> {
    let (epoch, version) = text.split_once('/')?;
    Some((epoch.parse().ok()?, version.parse().ok()?))
}

fn tell(state: &State, named: Option<(u64, MapVersion)>) -> http::Response<AnswerBody> {
    let group = state.group.borrow();
    let map = named.and_then(|(epoch, version)| group.map(epoch, version));
    match map.and_then(|map| postcard::to_stdvec(map).ok()) {
        Some(bytes) => http::Response::new(AnswerBody::whole(bytes)),
        None => text(StatusCode::NOT_FOUND, "this map is not group here\n"),
    }
}

/// Port of an agent for maps and operators.
pub fn addr(state: &State, ip: IpAddr) -> SocketAddr {
    SocketAddr::new(ip, state.settings().ports.0 + 1)
}

/// Gets the map of a goal from the agent that leads; false where it can't be had, or is on its way.
pub async fn fetch(state: &State, from: IpAddr, goal: &Goal) -> bool {
    let wanted = (goal.epoch, goal.version);
    if state.group.borrow().fetching_map == Some(wanted) {
        return false;
    }
    state.group.borrow_mut().fetching_map = Some(wanted);
    let path = format!("{MAP_PATH}{}/{}", wanted.0, wanted.1);
    let call = fetch::get::<Vec<SetMap>>(&state.pool, addr(state, from), &path, LONGEST_MAP);
    let found = tokio::time::timeout(FETCH_LIMIT, call).await;
    let mut group = state.group.borrow_mut();
    group.fetching_map = None;
    match found {
        Ok(Ok(map)) => {
            group.store_map(goal.epoch, goal.version, map);
            log_event!(
                events::MAP_FETCHED,
                version = goal.version, epoch = goal.epoch, from = from.to_string();
                "got the whole map"
            );
            true
        }
        Ok(Err(error)) => {
            log::debug!("agent {from} does not tell map {}: {error:#}", goal.version);
            false
        }
        Err(_) => {
            log::debug!("agent {from} does not answer");
            false
        }
    }
}
