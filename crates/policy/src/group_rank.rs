//! The rank's side of the expert map switch: fences requests and gives orders to one engine.
//!
//! At most one order is open at a time. An order carries a deadline after which the engine refuses
//! it; an unanswered order is given up only after that deadline. The agent beside an engine that
//! ignores fencing numbers waits out the longest order life when it starts, so that no order of
//! its predecessor can arrive after its first read. An engine that refuses old fencing numbers
//! needs no wait, since a read raises the number.

use jj_utils::{
    common_derives,
    ids::{Incarnation, Rank, Term},
};

use crate::group_switch::{Action, EngineView, MapId, Outcome, Refusal, Reply, Request};

/// What a rank's agent is told when it starts.
#[derive(Debug, Clone, Copy)]
pub struct RankConfig {
    /// Position in the group.
    pub rank: Rank,
    /// Life of this agent process.
    pub incarnation: Incarnation,
    /// True when the engine refuses orders with an old fencing number.
    pub fencing: bool,
}

common_derives! {copy:
    /// What happens to a rank's agent.
    pub enum RankInput {
        /// The longest life of an order has passed since the agent started.
        StartupWaitElapsed,
        /// A request from a leader.
        Request(Request),
        /// The engine carried the open order out and reports its state.
        OrderDone(EngineView),
        /// The engine refused the open order.
        OrderRefused {
            /// The engine's fencing number, when it is newer than the order's.
            newer: Option<Term>,
        },
        /// The deadline of the open order passed without an answer.
        OrderExpired,
    }
}

common_derives! {copy:
    /// What a rank's agent does.
    pub enum RankOutput {
        /// Give the engine an order, with a deadline one order life from now.
        Order {
            /// Fencing number.
            term: Term,
            /// The order.
            action: Action,
        },
        /// Answer the leader.
        Reply(Reply),
    }
}

common_derives! {key:
    /// State of one rank's agent.
    pub struct RankState {
        rank: Rank,
        incarnation: Incarnation,
        settled: bool,
        term: Term,
        closed: Option<MapId>,
        open: Option<Request>,
    }
}

impl RankState {
    /// A new life of the agent. Unless the engine checks fencing numbers, it obeys nobody before
    /// [`RankInput::StartupWaitElapsed`].
    pub fn new(config: &RankConfig) -> Self {
        Self {
            rank: config.rank,
            incarnation: config.incarnation,
            settled: config.fencing,
            term: 0,
            closed: None,
            open: None,
        }
    }

    /// Term that read this rank last; 0 when this life of the agent has not been read.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Life of this agent process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Whether the agent has waited out the orders of its predecessor.
    pub fn is_startup_wait_over(&self) -> bool {
        self.settled
    }

    /// Whether an order waits for the engine's answer.
    pub fn has_open_order(&self) -> bool {
        self.open.is_some()
    }

    /// Takes one input and says what to do.
    pub fn handle(&mut self, input: RankInput) -> Vec<RankOutput> {
        match input {
            RankInput::StartupWaitElapsed => {
                self.settled = true;
                Vec::new()
            }
            RankInput::Request(request) => vec![self.request(request)],
            RankInput::OrderDone(view) => self.answer(Outcome::Done(view)),
            RankInput::OrderRefused { newer } => self.refused(newer),
            RankInput::OrderExpired => {
                self.open = None;
                Vec::new()
            }
        }
    }

    fn request(&mut self, request: Request) -> RankOutput {
        if let Err(refusal) = self.check(&request) {
            return self.reply(&request, Outcome::Refused(refusal));
        }
        match request.action {
            Action::Read => self.term = request.term,
            Action::Prepare { .. } => {}
            Action::Commit { id, .. } | Action::Abort { id } => {
                self.closed = self.closed.max(Some(id));
            }
        }
        self.open = Some(request);
        RankOutput::Order {
            term: request.term,
            action: request.action,
        }
    }

    fn check(&self, request: &Request) -> Result<(), Refusal> {
        if !self.settled || self.open.is_some() {
            return Err(Refusal::Busy);
        }
        if request.term < self.term {
            return Err(Refusal::StaleTerm(self.term));
        }
        if request.action == Action::Read {
            return Ok(());
        }
        if request.target != Some(self.incarnation) || request.term != self.term {
            return Err(Refusal::NotRead);
        }
        match request.action {
            Action::Prepare { id, .. } if Some(id) <= self.closed => Err(Refusal::Closed),
            _ => Ok(()),
        }
    }

    fn refused(&mut self, newer: Option<Term>) -> Vec<RankOutput> {
        let Some(newer) = newer else {
            return self.answer(Outcome::Refused(Refusal::Engine));
        };
        self.term = self.term.max(newer);
        self.answer(Outcome::Refused(Refusal::StaleTerm(newer)))
    }

    fn answer(&mut self, outcome: Outcome) -> Vec<RankOutput> {
        match self.open.take() {
            Some(request) => vec![self.reply(&request, outcome)],
            None => Vec::new(),
        }
    }

    fn reply(&self, request: &Request, outcome: Outcome) -> RankOutput {
        RankOutput::Reply(Reply {
            rank: self.rank,
            term: request.term,
            incarnation: self.incarnation,
            action: request.action,
            outcome,
        })
    }
}
