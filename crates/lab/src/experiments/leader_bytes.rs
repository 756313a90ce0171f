//! What a switch of the expert map costs the leader of a lock-step group, as JSON-RPC and as
//! datagrams, on the switches that a drifting trace leads to.

use std::{
    collections::VecDeque,
    fmt::Write,
    hint::black_box,
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use anyhow::Context;
use futures_util::FutureExt;
use jj_node::{
    control_client,
    control_port::{self, ControlPort},
    datagram::Datagram,
};
use jj_peer::{
    control::ControlClient,
    group::{ReplyWire, RequestWire},
};
use jj_platform::config_reader::ConfigView;
use jj_policy::process_limits::ProcessLimits;
use jj_policy::{
    expert_map::{ExpertMap, GroupShape, diff_slots},
    group_leader::{Leader, LeaderConfig, LeaderInput, LeaderOutput},
    group_switch::{Action, EngineView, HeldMap, MapId, Reply, Request, RequestOutcome},
    rebalance::{RebalanceConfig, Rebalancer, repack},
    rebalance_replay::{MapPolicy, PopularityTrace},
};
use jj_utils::clock::SystemClock;
use jj_utils::ids::{ExpertId, Rank};
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::{
    experiments::{
        popularity_traces::{Drift, generate},
        rebalance::{self, PERIODS, outcome},
    },
    process::free_addr,
};

/// Groups measured; the last is the size to come.
const SHAPES: [GroupShape; 4] = [
    rebalance::SHAPES[0],
    rebalance::SHAPES[1],
    GroupShape {
        ranks: 32,
        experts: 96,
        slots: 4,
    },
    rebalance::SHAPES[2],
];

/// Traces that make a group switch.
const DRIFTS: [Drift; 3] = [Drift::Slow, Drift::Surge, Drift::HotSet];

/// Bytes of the headers of one UDP datagram over IPv4.
const UDP_HEADERS: usize = 28;

/// Bytes of the headers of the four packets of one exchange over TCP: two with data, two without.
const TCP_HEADERS: usize = 4 * 40;

/// Life of the leading agent.
const INCARNATION: u64 = 1_796_334_374_138;

/// Step that the ranks have reached.
const STEP: u64 = 1_000_000;

/// One request of a switch and its reply.
type Exchange = (RequestWire, ReplyWire);

/// Appends a Markdown table.
pub fn table(text: &mut String, seed: u64) {
    let _ = writeln!(
        text,
        "| ranks x experts (slots) | trace | switches an hour | slots changed | JSON-RPC, all \
         slots: KB a switch, KB/s | datagrams, all slots | datagrams, changes | decision, ms |\n\
         |---|---|---|---|---|---|---|---|"
    );
    for shape in SHAPES {
        for drift in DRIFTS {
            let trace = generate(drift, shape, PERIODS, seed);
            let Some(row) = row(&trace) else { continue };
            let _ = writeln!(text, "{row}");
        }
    }
    let _ = writeln!(text);
}

fn row(trace: &PopularityTrace) -> Option<String> {
    let (switches, decision) = switches(trace);
    let count = switches.len().max(1);
    let placed = |(from, to): &(ExpertMap, ExpertMap)| {
        diff_slots(from.slots(), to.slots()).map_or(0, |changes| changes.changed_slots.len())
    };
    let placed: usize = switches.iter().map(placed).sum();
    let (from, to) = switches.get(switches.len() / 2)?;
    let all = exchanges(from, to, false);
    let json = json_bytes(&all).ok()?;
    let bytes = |is_changed: bool| -> usize {
        let of = |(from, to)| datagram_bytes(&exchanges(from, to, is_changed));
        let sum: usize = switches.iter().map(|(from, to)| of((from, to))).sum();
        sum / count
    };
    let hours = f64::from(PERIODS) * trace.period as f64 / 3600.0;
    let hourly = f64::from(outcome(trace, MapPolicy::Incremental).switches) / hours;
    let cost = |bytes: usize| {
        let kilobytes = bytes as f64 / 1000.0;
        format!("{kilobytes:.1}, {:.2}", kilobytes * hourly / 3600.0)
    };
    let GroupShape {
        ranks,
        experts,
        slots,
    } = trace.shape;
    Some(format!(
        "| {ranks} x {experts} ({slots}) | {} | {hourly:.0} | {:.1} | {} | {} | {} | {:.2} |",
        trace.name,
        placed as f64 / count as f64,
        cost(json),
        cost(bytes(false)),
        cost(bytes(true)),
        decision.as_secs_f64() * 1e3
    ))
}

/// Maps before and after each switch of a trace, and the longest decision.
fn switches(trace: &PopularityTrace) -> (Vec<(ExpertMap, ExpertMap)>, Duration) {
    let shares = |counts: &[u32]| -> Vec<f64> { counts.iter().map(|it| f64::from(*it)).collect() };
    let mut map = repack(&ExpertMap::uniform(trace.shape), &shares(&trace.truth[0]));
    let mut rebalancer = Rebalancer::new(RebalanceConfig::default());
    let (mut switches, mut longest) = (Vec::new(), Duration::ZERO);
    for (period, counts) in (0..).zip(&trace.truth) {
        let now = Duration::from_secs(trace.period * period);
        let begun = Instant::now();
        let plan = black_box(rebalancer.plan(now, &map, &shares(counts)));
        longest = longest.max(begun.elapsed());
        if let Some(plan) = plan {
            switches.push((map, plan.map.clone()));
            map = plan.map;
        }
    }
    (switches, longest)
}

/// Every request and reply of one switch, none of them lost.
fn exchanges(from: &ExpertMap, to: &ExpertMap, is_changed: bool) -> Vec<Exchange> {
    let ranks = from.shape().ranks;
    let mut leader = Leader::new(&LeaderConfig {
        incarnation: INCARNATION,
        ranks,
        switch_lead_steps: 50,
    });
    let mut exchanges = Vec::new();
    let mut open: VecDeque<LeaderOutput> = leader.handle(LeaderInput::Recover).into();
    let mut is_proposed = false;
    while let Some(output) = open.pop_front() {
        let LeaderOutput::Send { rank, request } = output else {
            continue;
        };
        let reply = answer(rank, &request);
        exchanges.push((wire(&request, from, to, is_changed), reply.into()));
        open.extend(leader.handle(LeaderInput::Reply(reply)));
        if open.is_empty() && leader.is_idle() && !is_proposed {
            is_proposed = true;
            open.extend(leader.handle(LeaderInput::Propose));
        }
    }
    exchanges
}

fn wire(request: &Request, from: &ExpertMap, to: &ExpertMap, is_changed: bool) -> RequestWire {
    let is_prepare = matches!(request.action, Action::Prepare { .. });
    let changes = diff_slots(from.slots(), to.slots()).filter(|_| is_prepare && is_changed);
    let slots: Vec<ExpertId> = match is_prepare && changes.is_none() {
        true => to.slots().to_vec(),
        false => Vec::new(),
    };
    RequestWire {
        term: request.term,
        target: request.target,
        action: request.action.into(),
        slots,
        changes: changes.map(Into::into),
    }
}

/// The reply of a rank that does what it is asked.
fn answer(rank: Rank, request: &Request) -> Reply {
    let current = MapId {
        term: request.term - 1,
        seq: 1,
    };
    let held = match request.action {
        Action::Prepare { id, hold } => Some(HeldMap {
            id,
            hold,
            committed: false,
        }),
        _ => None,
    };
    let map = match request.action {
        Action::Commit { id, .. } => id,
        _ => current,
    };
    Reply {
        rank,
        term: request.term,
        incarnation: INCARNATION,
        action: request.action,
        outcome: RequestOutcome::Done(EngineView {
            map: Some(map),
            next_step: STEP,
            held,
        }),
    }
}

fn datagram_bytes(exchanges: &[Exchange]) -> usize {
    let sizes = exchanges.iter().map(|(request, reply)| {
        let request = Datagram::Group(request.clone()).encoded_len();
        let reply = Datagram::GroupReply(reply.clone()).encoded_len();
        request + reply + 2 * UDP_HEADERS
    });
    sizes.sum()
}

/// Bytes of the same exchanges over the control port, counted on the connection.
fn json_bytes(exchanges: &[Exchange]) -> anyhow::Result<usize> {
    let exchanges = exchanges.to_vec();
    let counting = thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        runtime.block_on(count_json(exchanges))
    });
    counting.join().ok().context("counting ends")?
}

async fn count_json(exchanges: Vec<Exchange>) -> anyhow::Result<usize> {
    let replies = exchanges.iter().map(|(_, reply)| reply.clone());
    let replies: Mutex<VecDeque<ReplyWire>> = Mutex::new(replies.collect());
    let port = free_addr()?;
    let control = ControlPort {
        config: watch::channel(ConfigView::default()).1,
        group: Some(Arc::new(move |_| {
            let mut replies = replies.lock().unwrap_or_else(PoisonError::into_inner);
            let reply = replies.pop_front();
            async move { reply }.boxed()
        })),
    };
    let handle = control_port::serve(
        port,
        SystemClock::shared(),
        &ProcessLimits::default(),
        control,
    )?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let client = control_client::build_client(listener.local_addr()?)?;
    let relayed = async {
        let (mut inbound, _) = listener.accept().await?;
        let mut outbound = TcpStream::connect(port).await?;
        anyhow::Ok(copy_bidirectional(&mut inbound, &mut outbound).await?)
    };
    let count = exchanges.len();
    let asked = async move {
        for (request, _) in exchanges {
            let _ = client.group(request).await;
        }
    };
    let (counted, ()) = tokio::join!(relayed, asked);
    let _ = handle.stop();
    let (sent, received) = counted?;
    Ok((sent + received) as usize + count * TCP_HEADERS)
}
