//! Orders that a stand-in engine accepts: hold and release steps, load and set expert maps,
//! change its role, load a model.

use std::sync::{Mutex, MutexGuard, PoisonError};

use jj_utils::{
    clock::unix_millis,
    common_derives,
    ids::{ModelId, Term},
};

common_derives! {wire:
    /// One order with its fencing number.
    pub struct OrderRequest {
        /// Unique id; an order that repeats the last applied id is not applied again.
        pub order_id: String,
        /// Fencing number.
        pub term: Term,
        /// Wall-clock deadline, in milliseconds since the Unix epoch, after which the order is
        /// refused; 0 means none.
        #[serde(default)]
        pub deadline_ms: u64,
        /// Action to apply.
        pub order: Order,
    }
}

common_derives! {wire:
    /// Action of an order.
    #[serde(tag = "kind", rename_all = "snake_case")]
    pub enum Order {
        /// Begins neither this step nor any later one.
        Hold {
            /// First step that is held.
            step: u64,
        },
        /// Ends a hold.
        Release,
        /// Loads the weights of an expert map without using it.
        LoadMap {
            /// Id of the map.
            map_id: String,
        },
        /// Uses a loaded map from a step on.
        SetMap {
            /// Id of the map.
            map_id: String,
            /// First step that uses it.
            step: u64,
        },
        /// Changes the engine's role.
        Role {
            /// New role, for example `prefill` or `decode`.
            role: String,
        },
        /// Loads a model.
        LoadModel {
            /// Id of the model.
            model: ModelId,
        },
    }
}

common_derives! {wire:
    /// Answer of `GET /state`.
    #[derive(Default)]
    pub struct EngineState {
        /// Highest fencing number of an applied order.
        pub term: Term,
        /// Current step.
        pub step: u64,
        /// First step that is held, if any.
        pub held_at: Option<u64>,
        /// Map in use.
        pub map_id: String,
        /// First step of the map in use.
        pub map_step: u64,
        /// Ids of the loaded maps.
        pub loaded: Vec<String>,
        /// Role of the engine.
        pub role: String,
        /// Ids of the loaded models.
        pub models: Vec<ModelId>,
        /// Id of the last applied order.
        pub last_order: String,
        /// Orders let through with a lower fencing number than the known one; 0 with fencing.
        pub stale_orders: u64,
    }
}

/// Reason why an order was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The order's fencing number is lower than the known one.
    #[error("term {given} is older than {known}")]
    OldTerm {
        /// Fencing number of the order.
        given: Term,
        /// Highest fencing number known.
        known: Term,
    },
    /// The order arrived after its deadline.
    #[error("the order's deadline has passed")]
    TooLate,
    /// The map to set is not loaded.
    #[error("map {0} is not loaded")]
    NotLoaded(String),
}

/// State of a stand-in engine, changed by orders.
#[derive(Debug)]
pub struct Orders {
    fencing: bool,
    state: Mutex<EngineState>,
}

impl Orders {
    /// Creates the state before any order. With `fencing`, orders with a lower fencing number than
    /// the known one are refused; without it they are counted and applied.
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

    /// Applies an order and returns the new state.
    ///
    /// # Errors
    /// The [`Refusal`] when the order is not applied.
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

    /// Returns a copy of the current state.
    pub fn state(&self) -> EngineState {
        self.lock().clone()
    }

    /// Begins the next step unless it is held; returns whether it began.
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
            Order::LoadMap { map_id } => add_if_absent(&mut self.loaded, map_id),
            Order::SetMap { map_id, .. } if !self.loaded.contains(&map_id) => {
                return Err(Refusal::NotLoaded(map_id));
            }
            Order::SetMap { map_id, step } => {
                self.map_id = map_id;
                self.map_step = step;
            }
            Order::Role { role } => self.role = role,
            Order::LoadModel { model } => add_if_absent(&mut self.models, model),
        }
        Ok(())
    }
}

fn add_if_absent(list: &mut Vec<String>, item: String) {
    if !list.contains(&item) {
        list.push(item);
    }
}
