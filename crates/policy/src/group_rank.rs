//! State machine of one rank's agent in the switch of the expert map: rejects stale requests to the
//! rank, and sends orders to its engine.
//!
//! At most one order is open at a time. An order carries a deadline after which the engine refuses
//! it; an order without an answer counts as expired only after that deadline. With an engine that
//! does not check terms, the agent waits for the longest order lifetime after its start, so that no
//! order of its predecessor can arrive after its first read. An engine that refuses lower terms
//! needs no such wait, since a read raises its term.

use jj_utils::{
    common_derives,
    ids::{Incarnation, Rank, Term},
};

use crate::group_switch::{
    Action, EngineView, MapId, Reply, Request, RequestOutcome, RequestRefusal,
};

/// Configuration of a rank's agent.
#[derive(Debug, Clone, Copy)]
pub struct RankConfig {
    /// Position in the group.
    pub rank: Rank,
    /// Incarnation of this agent process.
    pub incarnation: Incarnation,
    /// Whether the engine refuses orders with a lower term than the highest it has received.
    pub fencing: bool,
}

common_derives! {copy:
    /// Input of a rank's agent.
    pub enum RankInput {
        /// The longest order lifetime has passed since the agent started.
        StartupWaitElapsed,
        /// Request of a leader.
        Request(Request),
        /// The engine has carried out the open order and reports its state.
        OrderDone(EngineView),
        /// The engine refused the open order.
        OrderRefused {
            /// Highest term that the engine has received, if it refused the order because the
            /// order's term is lower.
            newer: Option<Term>,
        },
        /// The deadline of the open order has passed without an answer.
        OrderExpired,
    }
}

common_derives! {copy:
    /// Output of a rank's agent.
    pub enum RankOutput {
        /// Send the engine an order whose deadline is one order lifetime from now.
        Order {
            /// Term that fences the order.
            term: Term,
            /// Operation to carry out.
            action: Action,
        },
        /// Reply to the leader.
        Reply(Reply),
    }
}

common_derives! {key:
    /// State machine of a rank's agent.
    pub struct RankState {
        rank: Rank,
        incarnation: Incarnation,
        startup_wait_over: bool,
        /// Highest term of a leader that has read this rank, or that the engine has reported.
        term: Term,
        /// Latest map that a commit or an abort was received for.
        latest_closed: Option<MapId>,
        /// Request whose order the engine has not answered.
        open_request: Option<Request>,
    }
}

impl RankState {
    /// Creates the state of a just started agent. Unless the engine checks terms, the agent refuses
    /// all requests as busy before [`RankInput::StartupWaitElapsed`].
    pub fn new(config: &RankConfig) -> Self {
        Self {
            rank: config.rank,
            incarnation: config.incarnation,
            startup_wait_over: config.fencing,
            term: 0,
            latest_closed: None,
            open_request: None,
        }
    }

    /// Returns the highest term of a leader that has read this rank, or that the engine has
    /// reported; 0 if neither has happened to this incarnation.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the incarnation of this agent process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether the startup wait has elapsed, or is not needed.
    pub fn is_startup_wait_over(&self) -> bool {
        self.startup_wait_over
    }

    /// Returns whether an order awaits the engine's answer.
    pub fn has_open_order(&self) -> bool {
        self.open_request.is_some()
    }

    /// Processes one input and returns the resulting outputs.
    pub fn handle(&mut self, input: RankInput) -> Vec<RankOutput> {
        match input {
            RankInput::StartupWaitElapsed => {
                self.startup_wait_over = true;
                Vec::new()
            }
            RankInput::Request(request) => vec![self.handle_request(request)],
            RankInput::OrderDone(view) => self.close_order(RequestOutcome::Done(view)),
            RankInput::OrderRefused { newer } => self.handle_refusal(newer),
            RankInput::OrderExpired => {
                self.open_request = None;
                Vec::new()
            }
        }
    }

    fn handle_request(&mut self, request: Request) -> RankOutput {
        if let Err(refusal) = self.check(&request) {
            return self.reply(&request, RequestOutcome::Refused(refusal));
        }
        match request.action {
            Action::Read => self.term = request.term,
            Action::Prepare { .. } => {}
            Action::Commit { id, .. } | Action::Abort { id } => {
                self.latest_closed = self.latest_closed.max(Some(id));
            }
        }
        self.open_request = Some(request);
        RankOutput::Order {
            term: request.term,
            action: request.action,
        }
    }

    /// Returns the reason to refuse a request, if there is one.
    fn check(&self, request: &Request) -> Result<(), RequestRefusal> {
        if !self.startup_wait_over || self.open_request.is_some() {
            return Err(RequestRefusal::Busy);
        }
        if request.term < self.term {
            return Err(RequestRefusal::StaleTerm(self.term));
        }
        if request.action == Action::Read {
            return Ok(());
        }
        if request.target != Some(self.incarnation) || request.term != self.term {
            return Err(RequestRefusal::NotRead);
        }
        match request.action {
            Action::Prepare { id, .. } if Some(id) <= self.latest_closed => {
                Err(RequestRefusal::Closed)
            }
            _ => Ok(()),
        }
    }

    fn handle_refusal(&mut self, newer: Option<Term>) -> Vec<RankOutput> {
        let Some(newer) = newer else {
            return self.close_order(RequestOutcome::Refused(RequestRefusal::Engine));
        };
        self.term = self.term.max(newer);
        self.close_order(RequestOutcome::Refused(RequestRefusal::StaleTerm(newer)))
    }

    /// Closes the open order and replies to the leader with its outcome.
    fn close_order(&mut self, outcome: RequestOutcome) -> Vec<RankOutput> {
        match self.open_request.take() {
            Some(request) => vec![self.reply(&request, outcome)],
            None => Vec::new(),
        }
    }

    fn reply(&self, request: &Request, outcome: RequestOutcome) -> RankOutput {
        RankOutput::Reply(Reply {
            rank: self.rank,
            term: request.term,
            incarnation: self.incarnation,
            action: request.action,
            outcome,
        })
    }
}
