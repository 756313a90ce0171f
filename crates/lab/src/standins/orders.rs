//! Orders to a model engine: hold and release steps, load and set expert maps, change role.

use std::sync::{Mutex, MutexGuard, PoisonError};

use jj_utils::{
    clock::unix_millis,
    common_derives,
    ids::{ModelId, Term},
};

common_derives! {wire:
    /// One order under a fencing number.
    pub struct OrderRequest {
        /// Unique id; the same order sent twice has effect once.
        pub order_id: String,
        /// Fencing number.
        pub term: Term,
        /// Wall-clock time in milliseconds since the Unix epoch after which it has no effect; 0 is never.
        #[serde(default)]
        pub deadline_ms: u64,
        /// What to do.
        pub order: Order,
    }
}

common_derives! {wire:
    /// What to do.
    #[serde(tag = "kind", rename_all = "snake_case")]
    pub enum Order {
        /// Do not begin this step or a later one.
        Hold {
            /// First step not to begin.
            step: u64,
        },
        /// Go on.
        Release,
        /// Load a map's weights without using it.
        LoadMap {
            /// Which map.
            map_id: String,
        },
        /// Use a map from a step on.
        SetMap {
            /// Which map.
            map_id: String,
            /// First step that uses it.
            step: u64,
        },
        /// Change the engine's role.
        Role {
            /// For example `prefill` or `decode`.
            role: String,
        },
        /// Load a model.
        LoadModel {
            /// Which model.
            model: ModelId,
        },
    }
}

common_derives! {wire:
    /// Answer of `GET /state`.
    #[derive(Default)]
    pub struct EngineState {
        /// Highest fencing number seen.
        pub term: Term,
        /// Step at work.
        pub step: u64,
        /// First step not to begin.
        pub held_at: Option<u64>,
        /// Map in use.
        pub map_id: String,
        /// First step of the map in use.
        pub map_step: u64,
        /// Maps that are loaded.
        pub loaded: Vec<String>,
        /// Role of the engine.
        pub role: String,
        /// Models that are loaded.
        pub models: Vec<ModelId>,
        /// Id of the last order that had effect.
        pub last_order: String,
        /// Orders that had effect although a higher fencing number was known.
        pub stale_orders: u64,
    }
}

/// Why an order had no effect.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// A higher fencing number is known.
    #[error("term {given} is older than {known}")]
    OldTerm {
        /// The order's number.
        given: Term,
        /// The highest number known.
        known: Term,
    },
    /// The deadline has passed.
    #[error("the order's deadline has passed")]
    TooLate,
    /// The map is not loaded.
    #[error("map {0} is not loaded")]
    NotLoaded(String),
}

/// The engine's side of orders.
#[derive(Debug)]
pub struct Orders {
    fencing: bool,
    state: Mutex<EngineState>,
}

impl Orders {
    /// No orders yet; `fencing` refuses old fencing numbers.
    pub fn new(fencing: bool, models: Vec<ModelId>) -> Self {
        let state = EngineState {
            models,
            ..EngineState::default()
        };
        Self {
            fencing,
            state: Mutex::new(state),
        }
    }

    /// Carries out an order.
    ///
    /// # Errors
    /// The [`Refusal`] when it has no effect.
    pub fn obey(&self, request: OrderRequest) -> Result<EngineState, Refusal> {
        let mut state = self.lock();
        if request.deadline_ms > 0 && unix_millis() > request.deadline_ms {
            return Err(Refusal::TooLate);
        }
        if request.term < state.term {
            if self.fencing {
                return Err(Refusal::OldTerm {
                    given: request.term,
                    known: state.term,
                });
            }
            state.stale_orders += 1;
        }
        if state.last_order == request.order_id {
            return Ok(state.clone());
        }
        state.apply(request.order)?;
        state.term = state.term.max(request.term);
        state.last_order = request.order_id;
        Ok(state.clone())
    }

    /// What the engine does now.
    pub fn state(&self) -> EngineState {
        self.lock().clone()
    }

    /// Goes on to the next step unless held; true when it did.
    pub fn advance(&self) -> bool {
        let mut state = self.lock();
        let next = state.step + 1;
        if state.held_at.is_some_and(|held| next >= held) {
            return false;
        }
        state.step = next;
        true
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl EngineState {
    fn apply(&mut self, order: Order) -> Result<(), Refusal> {
        match order {
            Order::Hold { step } => self.held_at = Some(step),
            Order::Release => self.held_at = None,
            Order::LoadMap { map_id } => add(&mut self.loaded, map_id),
            Order::SetMap { map_id, .. } if !self.loaded.contains(&map_id) => {
                return Err(Refusal::NotLoaded(map_id));
            }
            Order::SetMap { map_id, step } => {
                self.map_id = map_id;
                self.map_step = step;
            }
            Order::Role { role } => self.role = role,
            Order::LoadModel { model } => add(&mut self.models, model),
        }
        Ok(())
    }
}

fn add(list: &mut Vec<String>, item: String) {
    if !list.contains(&item) {
        list.push(item);
    }
}
