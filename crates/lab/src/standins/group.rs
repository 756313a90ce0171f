//! Stand-in of a lock-step group of engines: each rank listens on its own address, and begins a
//! step only when all ranks have finished the previous one.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use jj_backend::health::BackendLoad;
use jj_peer::group::{
    ActionWire, EngineOrder, EngineRefusal, EngineViewWire, GroupReport, HeldMapWire, HoldWire,
    MapIdWire,
};
use jj_utils::{
    clock::unix_millis,
    common_derives,
    ids::{ExpertId, Term},
};
use poem::{
    EndpointExt, IntoResponse, Response, Route, Server, get, handler,
    http::StatusCode,
    listener::TcpListener,
    post,
    web::{Data, Json},
};
use tokio_util::sync::CancellationToken;

/// Number of steps after which the next expert becomes the most popular.
const STEPS_PER_HOT_EXPERT: u64 = 300;

/// Ratio of the popular expert's tokens to those of any other expert.
const HOT_EXPERT_FACTOR: u32 = 8;

/// Settings of the stand-in group.
#[derive(Debug, Clone)]
pub struct GroupConfig {
    /// Address of each rank.
    pub ranks: Vec<SocketAddr>,
    /// Number of experts.
    pub experts: u32,
    /// Whether engines refuse orders with a lower fencing number than the highest known.
    pub fencing: bool,
    /// Duration of a step.
    pub step: Duration,
}

common_derives! {wire:
    /// Counts of steps, map switches and refused orders, for tests.
    #[derive(Default)]
    pub struct GroupTally {
        /// Steps that all ranks have finished.
        pub steps: u64,
        /// Steps in which not all ranks used the same map.
        pub mixed: u64,
        /// Map switches, counted per rank.
        pub switches: u64,
        /// Orders refused for their fencing number.
        pub fenced: u64,
        /// Orders refused for their deadline.
        pub late: u64,
    }
}

#[derive(Debug, Default)]
struct Engine {
    term: Term,
    map: Option<MapIdWire>,
    held: Option<HeldMapWire>,
    next_step: u64,
    slots: Vec<ExpertId>,
    prepared: Vec<ExpertId>,
    /// Value of `next_step` at the last report.
    reported_step: u64,
}

#[derive(Debug, Default)]
struct GroupState {
    engines: Vec<Engine>,
    runs: BTreeMap<u64, Vec<MapIdWire>>,
    tally: GroupTally,
}

/// The settings and the state of the group, shared by the handlers of all ranks.
struct Group {
    config: GroupConfig,
    boot: String,
    state: Mutex<GroupState>,
}

/// Serves all ranks until the token is cancelled.
///
/// # Errors
/// When an address can't be bound.
pub async fn serve(config: GroupConfig, token: CancellationToken) -> anyhow::Result<()> {
    let engines = config.ranks.iter().map(|_| Engine::default()).collect();
    let state = Mutex::new(GroupState {
        engines,
        ..GroupState::default()
    });
    let group = Arc::new(Group {
        boot: unix_millis().to_string(),
        state,
        config,
    });
    let ranks = group.config.ranks.iter().enumerate();
    let servers = ranks.map(|(rank, addr)| {
        let routes = Route::new()
            .at("/group/orders", post(obey))
            .at("/group/report", get(report))
            .at("/group/tally", get(tally))
            .at("/group/lose", post(reset_engine))
            .at("/load", get(load))
            .data(Arc::clone(&group))
            .data(rank);
        let end = token.clone().cancelled_owned();
        Server::new(TcpListener::bind(*addr)).run_with_graceful_shutdown(
            routes,
            end,
            Some(Duration::from_millis(200)),
        )
    });
    let serving = futures_util::future::try_join_all(servers);
    tokio::select! {
        served = serving => served.map(|_| ())?,
        () = run_steps(&group) => {}
    }
    Ok(())
}

async fn run_steps(group: &Group) {
    let mut tick = tokio::time::interval(group.config.step);
    loop {
        tick.tick().await;
        group.lock().step();
    }
}

impl Group {
    fn lock(&self) -> MutexGuard<'_, GroupState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GroupState {
    /// Runs the next step on each rank that is not held and is not ahead of the slowest rank.
    fn step(&mut self) {
        let slowest = self
            .engines
            .iter()
            .map(|engine| engine.next_step)
            .min()
            .unwrap_or(0);
        for rank in 0..self.engines.len() {
            if self.engines[rank].next_step > slowest {
                continue;
            }
            let before = self.engines[rank].map;
            let Some(map) = self.engines[rank].run() else {
                continue;
            };
            self.tally.switches += u64::from(before != Some(map));
            self.record_run(slowest, map);
        }
    }

    fn record_run(&mut self, step: u64, map: MapIdWire) {
        let ranks = self.engines.len();
        let runs = self.runs.entry(step).or_default();
        runs.push(map);
        if runs.len() < ranks {
            return;
        }
        let is_mixed = runs.iter().any(|other| *other != runs[0]);
        self.tally.mixed += u64::from(is_mixed);
        self.tally.steps += 1;
        self.runs.remove(&step);
    }
}

impl Engine {
    /// Runs a step and returns its map; returns `None` if the engine is held or has no map.
    fn run(&mut self) -> Option<MapIdWire> {
        if let Some(held) = self.held {
            let is_due = match held.hold {
                HoldWire::Before(step) => self.next_step >= step,
                HoldWire::Now => true,
            };
            if is_due && !held.committed {
                return None;
            }
            if is_due {
                self.switch(held.id);
            }
        }
        let map = self.map?;
        self.next_step += 1;
        Some(map)
    }

    fn switch(&mut self, id: MapIdWire) {
        self.map = Some(id);
        self.held = None;
        self.slots = std::mem::take(&mut self.prepared);
    }

    fn apply(&mut self, order: EngineOrder) -> bool {
        match order.action {
            ActionWire::Read => true,
            ActionWire::Prepare { id, hold } => self.prepare(id, hold, order.slots),
            ActionWire::Commit { id, step } => self.commit(id, step),
            ActionWire::Abort { id } => self.abort(id),
        }
    }

    fn prepare(&mut self, id: MapIdWire, hold: HoldWire, slots: Vec<ExpertId>) -> bool {
        if self.held.is_some_and(|held| held.id == id) {
            return true;
        }
        if let HoldWire::Before(step) = hold {
            let is_busy = self.held.is_some_and(|held| held.committed);
            if is_busy || self.map.is_none() || self.next_step > step {
                return false;
            }
        }
        self.held = Some(HeldMapWire {
            id,
            hold,
            committed: false,
        });
        self.prepared = slots;
        true
    }

    fn commit(&mut self, id: MapIdWire, step: u64) -> bool {
        let Some(held) = self.held.filter(|held| held.id == id) else {
            return self.map == Some(id);
        };
        match held.hold {
            HoldWire::Before(_) => {
                self.held = Some(HeldMapWire {
                    committed: true,
                    ..held
                })
            }
            HoldWire::Now => {
                self.next_step = step;
                self.switch(id);
            }
        }
        true
    }

    fn abort(&mut self, id: MapIdWire) -> bool {
        match self.held {
            Some(held) if held.id == id && held.committed => false,
            Some(held) if held.id == id => {
                self.held = None;
                true
            }
            _ => true,
        }
    }

    fn view(&self) -> EngineViewWire {
        EngineViewWire {
            map: self.map,
            next_step: self.next_step,
            held: self.held,
        }
    }
}

#[handler]
fn obey(group: Data<&Arc<Group>>, rank: Data<&usize>, Json(order): Json<EngineOrder>) -> Response {
    let mut state = group.lock();
    if unix_millis() > order.deadline_ms {
        state.tally.late += 1;
        return StatusCode::GONE.into();
    }
    let known = state.engines[**rank].term;
    if group.config.fencing && order.term < known {
        state.tally.fenced += 1;
        return refused(Some(known));
    }
    let engine = &mut state.engines[**rank];
    engine.term = known.max(order.term);
    match engine.apply(order) {
        true => Json(engine.view()).into_response(),
        false => refused(None),
    }
}

fn refused(newer: Option<Term>) -> Response {
    (StatusCode::CONFLICT, Json(EngineRefusal { newer })).into_response()
}

#[handler]
fn report(group: Data<&Arc<Group>>, rank: Data<&usize>) -> Json<GroupReport> {
    let mut state = group.lock();
    let engine = &mut state.engines[**rank];
    let has_stepped = engine.next_step != engine.reported_step;
    engine.reported_step = engine.next_step;
    let hot = engine.next_step / STEPS_PER_HOT_EXPERT;
    let experts = group.config.experts;
    let counts = (0..experts).map(|expert| {
        let is_hot = u64::from(expert) == hot % u64::from(experts);
        match (has_stepped, is_hot) {
            (false, _) => Some(0),
            (true, true) => Some(100 * HOT_EXPERT_FACTOR),
            (true, false) => Some(100),
        }
    });
    Json(GroupReport {
        slots: engine.slots.clone(),
        counts: counts.collect(),
    })
}

#[handler]
fn tally(group: Data<&Arc<Group>>) -> Json<GroupTally> {
    Json(group.lock().tally.clone())
}

/// Resets the state of the engine, as a restart does.
#[handler]
fn reset_engine(group: Data<&Arc<Group>>, rank: Data<&usize>) -> StatusCode {
    group.lock().engines[**rank] = Engine::default();
    StatusCode::NO_CONTENT
}

#[handler]
fn load(group: Data<&Arc<Group>>) -> Json<BackendLoad> {
    Json(BackendLoad {
        boot_id: group.boot.clone(),
        ..BackendLoad::default()
    })
}
