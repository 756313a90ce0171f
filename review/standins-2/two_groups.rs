//! The servers of a model service form two groups. The agent beside one server is killed and comes
//! back.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, thread, time::Duration};

use crate::{
    deployment::{self, Deployment, SERVER_PORT},
    group::{EXPERTS, Group, PLACEMENTS, SETS, SPARE},
    load::{self, Seen},
};

const ENTRIES: usize = 2;
/// Servers of each group.
const RANKS: usize = 6;
const SERVICE: &str = "huvo11a";
const SLOTS: u32 = 12;

/// Time between the starts of two agents; all machines start within 0.3 s of each other.
const START_INTERVAL: Duration = Duration::from_millis(10);
const REQUEST_INTERVAL: Duration = Duration::from_millis(120);

/// Time in which the groups run before the first kill.
const CALM: Duration = Duration::from_secs(6);
/// How often an agent is killed, and which one.
const KILLS: u32 = 10;
const KILLED: usize = 0;
/// Time for which a killed agent is away, and time until the next one is killed.
const AWAY: Duration = Duration::from_millis(3_500);
const PAUSE: Duration = Duration::from_secs(4);
/// Time between two shifts of the demand for experts.
const SHIFT_INTERVAL: Duration = Duration::from_millis(3_400);

/// Runs the case; returns whether the rule was broken.
pub fn run(mut deployment: Deployment, has_trouble: bool) -> bool {
    write_configuration(&deployment);
    let groups = [
        start_group(&deployment, "g-a", 0),
        start_group(&deployment, "g-b", 1),
    ];
    let _entries = deployment.start_entries(ENTRIES);
    let servers = groups.iter().flat_map(|it| &it.servers);
    let servers: Vec<SocketAddr> = servers.map(|(_, addr)| *addr).collect();
    let start = |index: usize| deployment.start_agent(index, servers[index], SERVICE);
    let mut agents = BTreeMap::new();
    for index in start_order() {
        agents.insert(index, start(index));
        thread::sleep(START_INTERVAL);
    }
    deployment.wait_ready();

    let seen = Arc::new(Seen::default());
    let time = CALM + (AWAY + PAUSE) * KILLS;
    thread::scope(|scope| {
        let sender = scope.spawn(|| {
            let clients = load::request_streams(&deployment, &seen, time, REQUEST_INTERVAL);
            clients.into_iter().for_each(|it| drop(it.join()));
        });
        scope.spawn(|| {
            for shift in 0..time.as_millis() / SHIFT_INTERVAL.as_millis() {
                let first = shift as usize * 3 % EXPERTS;
                let experts = [first, (first + 4) % EXPERTS];
                deployment
                    .record
                    .line(&format!("demand shifts to the experts {experts:?}"));
                groups.iter().for_each(|it| it.shift_demand(experts));
                thread::sleep(SHIFT_INTERVAL);
            }
        });
        thread::sleep(CALM);
        for _ in 0..KILLS {
            if has_trouble {
                agents.remove(&KILLED);
                deployment
                    .record
                    .line(&format!("killed the agent side-{KILLED}"));
            }
            thread::sleep(AWAY);
            if has_trouble {
                agents.insert(KILLED, start(KILLED));
            }
            thread::sleep(PAUSE);
        }
        let _ = sender.join();
    });
    let mut is_broken = false;
    for group in &groups {
        let (passes, switches, mixed) = group.sums();
        deployment.record.announce(&format!(
            "group {}: {passes} passes, {switches} changes of map, {mixed} passes that began \
             while two ranks had different maps",
            group.name
        ));
        is_broken |= mixed > 0;
    }
    is_broken
}

/// Returns the servers in the order in which their agents start: by rank, with the one of either
/// group first in turn.
fn start_order() -> Vec<usize> {
    let pair = |rank: usize| match rank % 2 {
        0 => [rank, RANKS + rank],
        _ => [RANKS + rank, rank],
    };
    (0..RANKS).flat_map(pair).collect()
}

/// Starts a group whose servers are listed in the store.
fn start_group(deployment: &Deployment, name: &'static str, number: usize) -> Group {
    let server = |rank: usize| {
        let index = number * RANKS + rank;
        let addr = SocketAddr::new(deployment::ip(40 + index as u8), SERVER_PORT);
        (format!("i-{index:08x}"), addr)
    };
    let servers: Vec<(String, SocketAddr)> = (0..RANKS).map(server).collect();
    for (rank, (id, addr)) in servers.iter().cloned().enumerate() {
        let zone = deployment::zone(rank);
        deployment.register(&id, move |sequence| {
            Some(deployment::server_entry(
                SERVICE, addr, zone, SLOTS, "ready", sequence, 0,
            ))
        });
    }
    Group::start(name, servers, deployment.record.clone())
}

fn write_configuration(deployment: &Deployment) {
    let routes = [deployment::route(
        "/lohu930/",
        "streaming",
        SERVICE,
        8_000,
        ",\"sessionAffinity\":true,\"streamResume\":true,\"gapTargetMs\":120",
    )];
    let engine = format!(
        ",\"engine\":{{\"slots\":12,\"kvCapacityTokens\":494000,\"kvBytes\":35136,\
         \"linkMbps\":180000.0,\"stride\":6,\"models\":[{{\"name\":\"m\"}}],\"step_ms\":4.84,\
         \"per_seq_ms\":0.362,\"context_per_k\":0.011,\"read_per_s\":74800.0,\
         \"pairs_per_m\":0.232,\"chunk\":512,\"report_lag_ms\":200.0,\"loadsPerS\":0.0,\
         \"loads_at_once\":8,\"delays\":[],\"usual\":{{\"prompt\":835,\"answer\":159}},\
         \"sets\":{SETS},\"experts\":{EXPERTS},\"placements\":{PLACEMENTS},\"spare\":{SPARE},\
         \"expertMb\":2500.0,\"expertShare\":0.85,\"form_ms\":600.0}}"
    );
    let services = [deployment::service(SERVICE, 328, &engine)];
    deployment.store.put(
        "op/config",
        &deployment::configuration(7, &routes, &services),
    );
}
