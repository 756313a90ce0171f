//! The leader's side of the expert map switch; runs in the agent of rank 0.
//!
//! A leader decides nothing before it has read all ranks under its term. A switch that one rank has
//! committed is committed everywhere; one that nobody has committed is aborted. A missing rank
//! makes the leader wait: the group cannot step without it anyway. When a rank's agent restarts,
//! the leader takes a new term and reads all ranks again.

use jj_utils::{
    common_derives,
    ids::{Incarnation, Rank, Term},
};

use crate::group_switch::{
    Action, EngineView, HeldMap, Hold, MapId, Outcome, Refusal, Reply, Request, Step,
};

/// Bits of a term that count the reads of one leader; the rest is the leader's incarnation.
const READ_BITS: u32 = 20;

/// What a leader is told when it starts.
#[derive(Debug, Clone, Copy)]
pub struct LeaderConfig {
    /// Life of the leading process; larger than that of every earlier leader.
    pub incarnation: Incarnation,
    /// Ranks of the group.
    pub ranks: u32,
    /// Steps between the furthest rank known and the step of a switch; covers the time that
    /// loading weights takes.
    pub switch_lead_steps: Step,
}

common_derives! {copy:
    /// What happens to a leader.
    pub enum LeaderInput {
        /// Read all ranks under a new term; also the first input of a leader.
        Recover,
        /// Propose a map; taken only while idle. The caller keeps the map's content under the id
        /// that the outputs name.
        Propose,
        /// Send again what has no answer yet.
        Retry,
        /// Abort a map that not all ranks have prepared in time: those that have hold, and the
        /// whole group with them.
        PrepareTimeout,
        /// The answer of a rank.
        Reply(Reply),
    }
}

common_derives! {copy:
    /// What a leader does.
    pub enum LeaderOutput {
        /// Send a request to a rank.
        Send {
            /// Receiver.
            rank: Rank,
            /// The request.
            request: Request,
        },
        /// All ranks have committed this map.
        Committed(MapId),
        /// All ranks have dropped this map.
        Aborted(MapId),
        /// A newer leader exists; this one has stopped for good.
        Superseded(Term),
    }
}

common_derives! {key:
    /// What a leader is doing.
    enum Phase {
        Reading,
        Preparing { id: MapId, hold: Hold, acked: Vec<bool> },
        Resolving { todo: Vec<Option<Action>> },
        Idle,
        Superseded,
    }
}

common_derives! {copy:
    /// Last report of a rank under the leader's current term.
    struct Report {
        incarnation: Incarnation,
        view: EngineView,
    }
}

common_derives! {key:
    /// State of one leader.
    pub struct Leader {
        incarnation: Incarnation,
        switch_lead_steps: Step,
        reads: u32,
        seq: u32,
        reports: Vec<Option<Report>>,
        phase: Phase,
    }
}

impl Leader {
    /// A leader that has read nobody; its first input is [`LeaderInput::Recover`].
    pub fn new(config: &LeaderConfig) -> Self {
        Self {
            incarnation: config.incarnation,
            switch_lead_steps: config.switch_lead_steps,
            reads: 0,
            seq: 0,
            reports: vec![None; config.ranks as usize],
            phase: Phase::Reading,
        }
    }

    /// Current term: grows with each read and with each later leader.
    pub fn term(&self) -> Term {
        (self.incarnation << READ_BITS) + Term::from(self.reads)
    }

    /// Whether a proposal would be taken.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

    /// Whether ranks are preparing a map.
    pub fn is_preparing(&self) -> bool {
        matches!(self.phase, Phase::Preparing { .. })
    }

    /// Whether a newer leader has replaced this one.
    pub fn is_superseded(&self) -> bool {
        self.phase == Phase::Superseded
    }

    /// Whether some engine is in no group, so that the next proposal forms the group anew.
    pub fn needs_formation(&self) -> bool {
        self.views().any(|view| view.map.is_none())
    }

    /// Map that every rank has in force, when all reports agree.
    pub fn agreed_map(&self) -> Option<MapId> {
        let mut maps = self
            .reports
            .iter()
            .map(|report| report.and_then(|r| r.view.map));
        let first = maps.next().flatten()?;
        maps.all(|map| map == Some(first)).then_some(first)
    }

    /// Takes one input and says what to do.
    pub fn handle(&mut self, input: LeaderInput) -> Vec<LeaderOutput> {
        if self.is_superseded() {
            return Vec::new();
        }
        match input {
            LeaderInput::Recover => self.recover(),
            LeaderInput::Propose => self.propose(),
            LeaderInput::Retry => self.unanswered(),
            LeaderInput::PrepareTimeout => self.give_up(),
            LeaderInput::Reply(reply) => self.reply(reply),
        }
    }

    fn recover(&mut self) -> Vec<LeaderOutput> {
        self.reads += 1;
        self.seq = 0;
        self.reports.fill(None);
        self.phase = Phase::Reading;
        self.unanswered()
    }

    fn propose(&mut self) -> Vec<LeaderOutput> {
        if !self.is_idle() {
            return Vec::new();
        }
        self.seq += 1;
        let hold = if self.needs_formation() {
            Hold::Now
        } else {
            Hold::Before(self.furthest_step() + self.switch_lead_steps)
        };
        self.phase = Phase::Preparing {
            id: MapId {
                term: self.term(),
                seq: self.seq,
            },
            hold,
            acked: vec![false; self.reports.len()],
        };
        self.unanswered()
    }

    /// Next step of the rank that was furthest when it last answered.
    fn furthest_step(&self) -> Step {
        self.views().map(|view| view.next_step).max().unwrap_or(0)
    }

    /// First step of a map that all ranks hold for. After [`Hold::Now`] no rank moves, and a lost
    /// engine was at most one step ahead of the slowest, so the step after the furthest is new.
    fn first_step(&self, hold: Hold) -> Step {
        match hold {
            Hold::Before(step) => step,
            Hold::Now => self.furthest_step() + 1,
        }
    }

    fn views(&self) -> impl Iterator<Item = EngineView> {
        self.reports.iter().flatten().map(|report| report.view)
    }

    fn unanswered(&self) -> Vec<LeaderOutput> {
        (0..self.reports.len())
            .filter_map(|rank| Some((rank, self.wanted(rank)?)))
            .map(|(rank, action)| self.send(rank, action))
            .collect()
    }

    /// What a rank still has to do in this phase.
    fn wanted(&self, rank: usize) -> Option<Action> {
        match &self.phase {
            Phase::Reading => self.reports[rank].is_none().then_some(Action::Read),
            Phase::Preparing { id, hold, acked } => (!acked[rank]).then_some(Action::Prepare {
                id: *id,
                hold: *hold,
            }),
            Phase::Resolving { todo } => todo[rank],
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

    fn reply(&mut self, reply: Reply) -> Vec<LeaderOutput> {
        let rank = reply.rank as usize;
        if reply.term != self.term() || rank >= self.reports.len() {
            return Vec::new();
        }
        match reply.outcome {
            Outcome::Refused(Refusal::StaleTerm(newer)) => self.step_down(newer),
            Outcome::Refused(Refusal::NotRead) => self.recover(),
            _ if self.wanted(rank) != Some(reply.action) => Vec::new(),
            Outcome::Done(view) => self.done(rank, reply.incarnation, view),
            Outcome::Refused(Refusal::Engine | Refusal::Closed) => self.refused(),
            Outcome::Refused(Refusal::Busy) => Vec::new(),
        }
    }

    fn step_down(&mut self, newer: Term) -> Vec<LeaderOutput> {
        self.phase = Phase::Superseded;
        vec![LeaderOutput::Superseded(newer)]
    }

    /// A refused prepare is aborted everywhere; any other refusal means that the engine has lost
    /// what the leader had read.
    fn refused(&mut self) -> Vec<LeaderOutput> {
        if self.is_preparing() {
            return self.give_up();
        }
        self.recover()
    }

    /// Aborts the map in preparation; nobody has committed it before all have prepared it.
    fn give_up(&mut self) -> Vec<LeaderOutput> {
        let Phase::Preparing { id, .. } = self.phase else {
            return Vec::new();
        };
        self.resolve(vec![Some(Action::Abort { id }); self.reports.len()])
    }

    fn done(
        &mut self,
        rank: usize,
        incarnation: Incarnation,
        view: EngineView,
    ) -> Vec<LeaderOutput> {
        self.reports[rank] = Some(Report { incarnation, view });
        match &mut self.phase {
            Phase::Reading if self.reports.iter().all(Option::is_some) => {
                let todo = self.decide();
                self.resolve(todo)
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
            Phase::Resolving { todo } => {
                let finished = todo[rank].take();
                if todo.iter().any(Option::is_some) {
                    return Vec::new();
                }
                self.phase = Phase::Idle;
                finished.and_then(finished_event).into_iter().collect()
            }
            _ => Vec::new(),
        }
    }

    /// What each rank has to do about the map it holds: commit what any rank has committed, abort
    /// the rest. With an engine in no group all of it is left to the next formation.
    fn decide(&self) -> Vec<Option<Action>> {
        if self.needs_formation() {
            return vec![None; self.reports.len()];
        }
        let todo = |view: EngineView| {
            let held = view.held.filter(|held| !held.committed)?;
            let id = held.id;
            match self.committed_step(&held) {
                Some(step) => Some(Action::Commit { id, step }),
                None => Some(Action::Abort { id }),
            }
        };
        self.views().map(todo).collect()
    }

    /// First step of a held map that some other rank has committed. After [`Hold::Now`] the ranks
    /// that have committed cannot run that step before the others have committed too.
    fn committed_step(&self, held: &HeldMap) -> Option<Step> {
        let committed = self.views().find(|view| has_committed(view, held.id))?;
        match held.hold {
            Hold::Before(step) => Some(step),
            Hold::Now => Some(committed.next_step),
        }
    }

    fn resolve(&mut self, todo: Vec<Option<Action>>) -> Vec<LeaderOutput> {
        if todo.iter().all(Option::is_none) {
            self.phase = Phase::Idle;
            return Vec::new();
        }
        self.phase = Phase::Resolving { todo };
        self.unanswered()
    }
}

fn has_committed(view: &EngineView, id: MapId) -> bool {
    let held = view.held.filter(|held| held.committed);
    view.map == Some(id) || held.is_some_and(|held| held.id == id)
}

fn finished_event(action: Action) -> Option<LeaderOutput> {
    match action {
        Action::Commit { id, .. } => Some(LeaderOutput::Committed(id)),
        Action::Abort { id } => Some(LeaderOutput::Aborted(id)),
        Action::Read | Action::Prepare { .. } => None,
    }
}
