//! Coordinator of the expert map switch; runs in the agent of rank 0.
//!
//! A leader first reads all ranks under its term. It then commits on every rank a map that any rank
//! has committed, and aborts a map that no rank has committed. It waits for a rank that does not
//! reply, since the group cannot run a step without that rank. When a rank's agent restarts, the
//! leader starts a new term and reads all ranks again.

use jj_utils::{
    common_derives,
    ids::{Incarnation, Rank, Term},
};

use crate::group_switch::{
    Action, EngineView, HeldMap, Hold, MapId, Reply, Request, RequestOutcome, RequestRefusal, Step,
};

/// Low bits of a term, which number the read rounds of one leader; its incarnation is above them.
const READ_ROUND_BITS: u32 = 20;

/// Configuration of a leader.
#[derive(Debug, Clone, Copy)]
pub struct LeaderConfig {
    /// Incarnation of the leading process; higher than that of every earlier leader.
    pub incarnation: Incarnation,
    /// Number of ranks in the group.
    pub ranks: u32,
    /// Steps from the highest next step reported by a rank to the step of a switch; has to cover
    /// the time that loading the weights takes.
    pub switch_lead_steps: Step,
}

common_derives! {copy:
    /// Input of a leader.
    pub enum LeaderInput {
        /// Read all ranks under a new term; the first input of a leader.
        Recover,
        /// Propose a map; ignored unless idle. The caller stores the map's content under the id
        /// that the outputs name.
        Propose,
        /// Resend every request without a reply.
        Retry,
        /// Abort a map that some rank has not prepared in time, since the ranks that have prepared
        /// it hold and block the whole group.
        PrepareTimeout,
        /// Reply of a rank.
        Reply(Reply),
    }
}

common_derives! {copy:
    /// Output of a leader.
    pub enum LeaderOutput {
        /// Send a request to a rank.
        Send {
            /// Receiving rank.
            rank: Rank,
            /// Request to send.
            request: Request,
        },
        /// All ranks have committed this map.
        Committed(MapId),
        /// All ranks that had prepared this map have aborted it.
        Aborted(MapId),
        /// A newer leader exists, with this term; this leader ignores all further inputs.
        Superseded(Term),
    }
}

common_derives! {key:
    /// Phase of a leader.
    enum Phase {
        /// Awaits the state of every rank.
        Reading,
        /// Awaits the acknowledgement of a prepare from every rank.
        Preparing { id: MapId, hold: Hold, acked: Vec<bool> },
        /// Awaits the acknowledgement of commits or aborts; `pending` are those still missing.
        Resolving { pending: Vec<Option<Action>> },
        /// Accepts a proposal.
        Idle,
        /// Replaced by a newer leader.
        Superseded,
    }
}

common_derives! {copy:
    /// Last state received from a rank under the leader's current term.
    struct RankReport {
        incarnation: Incarnation,
        view: EngineView,
    }
}

common_derives! {key:
    /// State machine of a leader.
    pub struct Leader {
        incarnation: Incarnation,
        switch_lead_steps: Step,
        /// Number of times that the leader has started to read all ranks.
        read_rounds: u32,
        /// Sequence number of the last proposal in the current term.
        seq: u32,
        /// Last report of each rank under the current term.
        reports: Vec<Option<RankReport>>,
        phase: Phase,
    }
}

impl Leader {
    /// Creates a leader that has read no rank; its first input must be [`LeaderInput::Recover`].
    pub fn new(config: &LeaderConfig) -> Self {
        Self {
            incarnation: config.incarnation,
            switch_lead_steps: config.switch_lead_steps,
            read_rounds: 0,
            seq: 0,
            reports: vec![None; config.ranks as usize],
            phase: Phase::Reading,
        }
    }

    /// Returns the current term, which rises with each read round and each later leader.
    pub fn term(&self) -> Term {
        (self.incarnation << READ_ROUND_BITS) + Term::from(self.read_rounds)
    }

    /// Returns whether the leader accepts a proposal.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

    /// Returns whether ranks are preparing a map.
    pub fn is_preparing(&self) -> bool {
        matches!(self.phase, Phase::Preparing { .. })
    }

    /// Returns whether a newer leader has replaced this one.
    pub fn is_superseded(&self) -> bool {
        self.phase == Phase::Superseded
    }

    /// Returns whether some engine is in no group, so that the next proposal forms the group.
    pub fn needs_formation(&self) -> bool {
        self.views().any(|view| view.map.is_none())
    }

    /// Returns the map that every rank has in force; `None` when reports are missing or differ.
    pub fn agreed_map(&self) -> Option<MapId> {
        let mut maps = self
            .reports
            .iter()
            .map(|report| report.and_then(|r| r.view.map));
        let first = maps.next().flatten()?;
        maps.all(|map| map == Some(first)).then_some(first)
    }

    /// Processes one input and returns the resulting outputs.
    pub fn handle(&mut self, input: LeaderInput) -> Vec<LeaderOutput> {
        if self.is_superseded() {
            return Vec::new();
        }
        match input {
            LeaderInput::Recover => self.recover(),
            LeaderInput::Propose => self.propose(),
            LeaderInput::Retry => self.send_pending(),
            LeaderInput::PrepareTimeout => self.abort_preparation(),
            LeaderInput::Reply(reply) => self.handle_reply(reply),
        }
    }

    fn recover(&mut self) -> Vec<LeaderOutput> {
        self.read_rounds += 1;
        self.seq = 0;
        self.reports.fill(None);
        self.phase = Phase::Reading;
        self.send_pending()
    }

    fn propose(&mut self) -> Vec<LeaderOutput> {
        if !self.is_idle() {
            return Vec::new();
        }
        self.seq += 1;
        let hold = if self.needs_formation() {
            Hold::Now
        } else {
            Hold::Before(self.highest_next_step() + self.switch_lead_steps)
        };
        self.phase = Phase::Preparing {
            id: MapId {
                term: self.term(),
                seq: self.seq,
            },
            hold,
            acked: vec![false; self.reports.len()],
        };
        self.send_pending()
    }

    /// Returns the highest of the next steps that the ranks reported last.
    fn highest_next_step(&self) -> Step {
        self.views().map(|view| view.next_step).max().unwrap_or(0)
    }

    /// Returns the first step that uses a map prepared on all ranks. After [`Hold::Now`] no rank
    /// advances, and an engine that lost its state was at most one step ahead of the slowest rank,
    /// so no rank has run the step after the highest next step.
    fn first_step(&self, hold: Hold) -> Step {
        match hold {
            Hold::Before(step) => step,
            Hold::Now => self.highest_next_step() + 1,
        }
    }

    fn views(&self) -> impl Iterator<Item = EngineView> {
        self.reports.iter().flatten().map(|report| report.view)
    }

    /// Sends the pending action of every rank.
    fn send_pending(&self) -> Vec<LeaderOutput> {
        (0..self.reports.len())
            .filter_map(|rank| Some((rank, self.pending_action(rank)?)))
            .map(|(rank, action)| self.send(rank, action))
            .collect()
    }

    /// Returns the action that a rank still has to acknowledge in this phase.
    fn pending_action(&self, rank: usize) -> Option<Action> {
        match &self.phase {
            Phase::Reading => self.reports[rank].is_none().then_some(Action::Read),
            Phase::Preparing { id, hold, acked } => (!acked[rank]).then_some(Action::Prepare {
                id: *id,
                hold: *hold,
            }),
            Phase::Resolving { pending } => pending[rank],
            Phase::Idle | Phase::Superseded => None,
        }
    }

    fn send(&self, rank: usize, action: Action) -> LeaderOutput {
        let known = self.reports[rank].map(|report| report.incarnation);
        LeaderOutput::Send {
            rank: rank as Rank,
            request: Request {
                term: self.term(),
                target: known.filter(|_| action != Action::Read),
                action,
            },
        }
    }

    fn handle_reply(&mut self, reply: Reply) -> Vec<LeaderOutput> {
        let rank = reply.rank as usize;
        if reply.term != self.term() || rank >= self.reports.len() {
            return Vec::new();
        }
        match reply.outcome {
            RequestOutcome::Refused(RequestRefusal::StaleTerm(newer)) => self.step_down(newer),
            RequestOutcome::Refused(RequestRefusal::NotRead) => self.recover(),
            _ if self.pending_action(rank) != Some(reply.action) => Vec::new(),
            RequestOutcome::Done(view) => self.handle_done(rank, reply.incarnation, view),
            RequestOutcome::Refused(RequestRefusal::Engine | RequestRefusal::Closed) => {
                self.handle_refusal()
            }
            RequestOutcome::Refused(RequestRefusal::Busy) => Vec::new(),
        }
    }

    fn step_down(&mut self, newer: Term) -> Vec<LeaderOutput> {
        self.phase = Phase::Superseded;
        vec![LeaderOutput::Superseded(newer)]
    }

    /// Handles a refusal. A refused prepare is aborted on all ranks; any other refusal means that
    /// the engine has lost the state that the leader had read.
    fn handle_refusal(&mut self) -> Vec<LeaderOutput> {
        if self.is_preparing() {
            return self.abort_preparation();
        }
        self.recover()
    }

    /// Aborts the map in preparation; no rank commits it before all have prepared it.
    fn abort_preparation(&mut self) -> Vec<LeaderOutput> {
        let Phase::Preparing { id, .. } = self.phase else {
            return Vec::new();
        };
        self.resolve(vec![Some(Action::Abort { id }); self.reports.len()])
    }

    fn handle_done(
        &mut self,
        rank: usize,
        incarnation: Incarnation,
        view: EngineView,
    ) -> Vec<LeaderOutput> {
        self.reports[rank] = Some(RankReport { incarnation, view });
        match &mut self.phase {
            Phase::Reading if self.reports.iter().all(Option::is_some) => {
                let pending = self.recovery_actions();
                self.resolve(pending)
            }
            Phase::Preparing { id, hold, acked } => {
                acked[rank] = true;
                let (id, hold) = (*id, *hold);
                if acked.contains(&false) {
                    return Vec::new();
                }
                let step = self.first_step(hold);
                self.resolve(vec![Some(Action::Commit { id, step }); self.reports.len()])
            }
            Phase::Resolving { pending } => {
                let finished = pending[rank].take();
                if pending.iter().any(Option::is_some) {
                    return Vec::new();
                }
                self.phase = Phase::Idle;
                finished.and_then(finished_event).into_iter().collect()
            }
            _ => Vec::new(),
        }
    }

    /// Returns, for each rank, the action that resolves its prepared map: commit if any rank has
    /// committed that map, else abort. When an engine is in no group, there are no actions, since
    /// the next formation replaces every prepared map.
    fn recovery_actions(&self) -> Vec<Option<Action>> {
        if self.needs_formation() {
            return vec![None; self.reports.len()];
        }
        let action = |view: EngineView| {
            let held = view.held.filter(|held| !held.committed)?;
            let id = held.id;
            match self.committed_step(&held) {
                Some(step) => Some(Action::Commit { id, step }),
                None => Some(Action::Abort { id }),
            }
        };
        self.views().map(action).collect()
    }

    /// Returns the first step of a prepared map that another rank has committed, or `None` if no
    /// rank has. After [`Hold::Now`], that is the next step of a rank that has committed: it cannot
    /// run the step before the other ranks have committed too.
    fn committed_step(&self, held: &HeldMap) -> Option<Step> {
        let committed = self.views().find(|view| has_committed(view, held.id))?;
        match held.hold {
            Hold::Before(step) => Some(step),
            Hold::Now => Some(committed.next_step),
        }
    }

    /// Starts to resolve maps by these actions, one for each rank; idle if there are none.
    fn resolve(&mut self, pending: Vec<Option<Action>>) -> Vec<LeaderOutput> {
        if pending.iter().all(Option::is_none) {
            self.phase = Phase::Idle;
            return Vec::new();
        }
        self.phase = Phase::Resolving { pending };
        self.send_pending()
    }
}

/// Returns whether a rank has committed this map.
fn has_committed(view: &EngineView, id: MapId) -> bool {
    let held = view.held.filter(|held| held.committed);
    view.map == Some(id) || held.is_some_and(|held| held.id == id)
}

/// Returns the output that reports an action as finished on all ranks.
fn finished_event(action: Action) -> Option<LeaderOutput> {
    match action {
        Action::Commit { id, .. } => Some(LeaderOutput::Committed(id)),
        Action::Abort { id } => Some(LeaderOutput::Aborted(id)),
        Action::Read | Action::Prepare { .. } => None,
    }
}
