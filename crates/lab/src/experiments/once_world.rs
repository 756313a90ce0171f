//! Model of callers, entries and agents that handle once-only requests, for one scheme of keys.
//!
//! Messages are delivered one at a time in any order; agents crash, freeze and are replaced; each
//! entry has its own view of the agents. An execution at a backend server is counted the moment
//! its agent starts it.

use std::time::Duration;

use jj_policy::{
    keys::{AgentIncarnation, IssuedKey, KeyHome, OnceKey, key_home, ranked_homes},
    once::{
        Claim, Fingerprint, HomeKeyState, KeyCheck, KeyOutcome, OnceConfig, OnceRegister,
        check_all_fenced, check_key,
    },
};
use jj_utils::{
    collections::{FastMap, FastSet},
    common_derives,
};
use rand::RngExt;
use rand_pcg::Pcg64;

common_derives! {copy:
    /// How keys find their home.
    pub enum Scheme {
        /// Issued keys that name home and incarnation.
        Issued,
        /// Caller-made keys; every other declared home has to fence.
        Unanimous,
        /// Caller-made keys; every declared home that ranks higher has to fence.
        Ranked,
        /// Caller-made keys go to the highest-ranked home, which asks nobody.
        RankOnly,
        /// Each entry remembers the keys it has seen.
        EntryMemory,
    }
}

common_derives! {copy:
    /// What the caller knows of its request at the end.
    pub enum Told {
        /// No answer yet.
        Open,
        /// The whole answer.
        Ran,
        /// May have run.
        Unknown,
    }
}

/// One agent slot; a replacement has a new incarnation and an empty register.
pub struct Agent {
    life: AgentIncarnation,
    /// Whether a process is there.
    pub up: bool,
    /// Whether the process is stopped.
    pub frozen: bool,
    register: OnceRegister<()>,
    fenced_by: FastMap<usize, FastSet<usize>>,
}

/// One once-only request of a caller.
pub struct Work {
    key: OnceKey,
    /// What its caller was told last.
    pub told: Told,
    /// How often a backend server ran it.
    pub runs: u32,
}

#[derive(Debug, Clone)]
enum Message {
    Submit {
        work: usize,
        entry: usize,
    },
    Run {
        work: usize,
        entry: usize,
        to: AgentIncarnation,
    },
    Fence {
        work: usize,
        from: AgentIncarnation,
        to: usize,
    },
    Said {
        work: usize,
        to: AgentIncarnation,
        slot: usize,
        said: HomeKeyState,
    },
    Start {
        work: usize,
        at: AgentIncarnation,
        entry: usize,
    },
    Finish {
        work: usize,
        at: AgentIncarnation,
        entry: usize,
    },
    Reply {
        work: usize,
        entry: usize,
        told: Told,
    },
}

/// The whole model.
pub struct World {
    scheme: Scheme,
    /// Source of every choice.
    pub rng: Pcg64,
    /// Agent slots.
    pub agents: Vec<Agent>,
    /// Each entry's view of the agents.
    pub views: Vec<Vec<AgentIncarnation>>,
    /// Requests so far.
    pub works: Vec<Work>,
    /// Calls between agents so far.
    pub fences: u32,
    memory: Vec<FastMap<usize, Told>>,
    mail: Vec<Message>,
}

impl World {
    /// Agents that are all up, and entries that all know them.
    pub fn new(scheme: Scheme, agents: usize, entries: usize, rng: Pcg64) -> Self {
        let agents: Vec<Agent> = (0..agents).map(first_life).collect();
        let view: Vec<AgentIncarnation> = agents.iter().map(|it| it.life.clone()).collect();
        Self {
            scheme,
            rng,
            agents,
            views: vec![view; entries],
            works: Vec::new(),
            fences: 0,
            memory: vec![FastMap::default(); entries],
            mail: Vec::new(),
        }
    }

    /// A caller takes a key for new work, from an entry if keys are issued; nothing is sent yet.
    pub fn take_key(&mut self) -> usize {
        let entry = self.rng.random_range(0..self.views.len());
        let work = self.works.len();
        let key = match (self.scheme, self.views[entry].as_slice()) {
            (Scheme::Issued, view) if !view.is_empty() => {
                let home = view[self.rng.random_range(0..view.len())].clone();
                OnceKey::Issued(IssuedKey::issue(home, &mut self.rng))
            }
            _ => OnceKey::CallerMade(format!("work-{work}")),
        };
        self.works.push(Work {
            key,
            told: Told::Open,
            runs: 0,
        });
        work
    }

    /// The caller sends its request to some entry, for the first time or again.
    pub fn submit(&mut self, work: usize) {
        let entry = self.rng.random_range(0..self.views.len());
        self.mail.push(Message::Submit { work, entry });
    }

    /// Crashes the process in a slot; `replace` puts a new life into it at once.
    pub fn crash(&mut self, slot: usize, replace: bool) {
        let agent = &mut self.agents[slot];
        agent.life.incarnation += 1;
        agent.register = OnceRegister::new(OnceConfig::default());
        agent.fenced_by.clear();
        agent.frozen = false;
        agent.up = replace;
    }

    /// An entry learns which agents there are now.
    pub fn refresh_view(&mut self, entry: usize) {
        let up = self.agents.iter().filter(|it| it.up);
        self.views[entry] = up.map(|it| it.life.clone()).collect();
    }

    /// Messages under way.
    pub fn mail_len(&self) -> usize {
        self.mail.len()
    }

    /// Delivers one message, picked at random. One for a frozen agent stays, but its sender may
    /// stop waiting for it.
    pub fn deliver(&mut self) {
        if self.mail.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.mail.len());
        let message = self.mail.swap_remove(at);
        if !self.is_for_frozen(&message) {
            return self.handle(message);
        }
        if let Message::Fence { work, from, to } = &message {
            let (work, to, slot) = (*work, from.clone(), *to);
            let said = HomeKeyState::Unknown;
            self.mail.push(Message::Said {
                work,
                to,
                slot,
                said,
            });
        }
        self.mail.push(message);
    }

    /// Wakes every agent and delivers until nothing is under way.
    pub fn settle(&mut self) {
        self.agents.iter_mut().for_each(|it| it.frozen = false);
        while !self.mail.is_empty() {
            self.deliver();
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Submit { work, entry } => self.route(work, entry),
            Message::Run { work, entry, to } => self.arrive(work, entry, &to),
            Message::Fence { work, from, to } => self.testify(work, from, to),
            Message::Said {
                work,
                to,
                slot,
                said,
            } => self.hear(work, &to, slot, said),
            Message::Start { work, at, entry } => self.start(work, &at, entry),
            Message::Finish { work, at, entry } => self.finish(work, &at, entry),
            Message::Reply { work, entry, told } => self.reply(work, entry, told),
        }
    }

    fn route(&mut self, work: usize, entry: usize) {
        let view = &self.views[entry];
        let to = match (&self.works[work].key, self.scheme) {
            (OnceKey::Issued(key), _) => match key_home(key, view) {
                KeyHome::At(life) => Some(life),
                KeyHome::Gone => None,
            },
            (_, Scheme::EntryMemory) if self.memory[entry].contains_key(&work) => {
                let told = self.memory[entry][&work];
                return self.mail.push(Message::Reply { work, entry, told });
            }
            (_, Scheme::EntryMemory) if !view.is_empty() => {
                let to = view[self.rng.random_range(0..view.len())].clone();
                self.memory[entry].insert(work, Told::Open);
                Some(to)
            }
            (key, _) => {
                let names: Vec<String> = view.iter().map(|it| it.agent.clone()).collect();
                let key = key.to_string();
                let first = ranked_homes(&key, &names).first().map(|it| (*it).clone());
                view.iter()
                    .find(|it| Some(&it.agent) == first.as_ref())
                    .cloned()
            }
        };
        match to {
            Some(to) => self.mail.push(Message::Run { work, entry, to }),
            None => self.unknown(work, entry),
        }
    }

    fn arrive(&mut self, work: usize, entry: usize, to: &AgentIncarnation) {
        let Some(slot) = self.slot_of(to) else {
            return self.unknown(work, entry);
        };
        let at = to.clone();
        if self.scheme == Scheme::EntryMemory {
            return self.mail.push(Message::Start { work, at, entry });
        }
        let key = self.works[work].key.clone();
        if check_key(&key, to) == KeyCheck::OtherIncarnation {
            return self.unknown(work, entry);
        }
        let print = Fingerprint::new("account", "POST /claims", &work.to_le_bytes());
        let register = &mut self.agents[slot].register;
        match register.claim(Duration::ZERO, &key.to_string(), print) {
            Claim::Run if self.scheme == Scheme::Issued => {
                self.mail.push(Message::Start { work, at, entry });
            }
            Claim::Run => self.ask_others(work, entry, slot),
            Claim::Known(KeyOutcome::Finished(())) => self.mail.push(Message::Reply {
                work,
                entry,
                told: Told::Ran,
            }),
            Claim::Known(KeyOutcome::Claimed | KeyOutcome::Running) => {}
            _ => self.unknown(work, entry),
        }
    }

    /// Slots whose fence the home in `slot` needs before it may run a caller-made key.
    fn needed(&self, work: usize, slot: usize) -> Vec<usize> {
        let names: Vec<String> = self.agents.iter().map(|it| it.life.agent.clone()).collect();
        let key = self.works[work].key.to_string();
        let ranked = ranked_homes(&key, &names);
        let at = |name: &String| names.iter().position(|it| it == name);
        let order: Vec<usize> = ranked.into_iter().filter_map(at).collect();
        match self.scheme {
            Scheme::RankOnly => Vec::new(),
            Scheme::Ranked => order.into_iter().take_while(|it| *it != slot).collect(),
            _ => order.into_iter().filter(|it| *it != slot).collect(),
        }
    }

    fn ask_others(&mut self, work: usize, entry: usize, slot: usize) {
        let home = self.agents[slot].life.clone();
        // A replacement can't know what the life before it ran.
        if home.incarnation > 0 && self.scheme != Scheme::RankOnly {
            self.release(work, slot);
            return self.unknown(work, entry);
        }
        let needed = self.needed(work, slot);
        self.agents[slot].fenced_by.insert(work, FastSet::default());
        for to in &needed {
            self.fences += 1;
            let from = home.clone();
            self.mail.push(Message::Fence {
                work,
                from,
                to: *to,
            });
        }
        if needed.is_empty() {
            self.mail.push(Message::Start {
                work,
                at: home,
                entry,
            });
        }
    }

    fn testify(&mut self, work: usize, from: AgentIncarnation, slot: usize) {
        let key = self.works[work].key.to_string();
        let agent = &mut self.agents[slot];
        let said = match agent.up && agent.life.incarnation == 0 {
            false => HomeKeyState::Unknown,
            true => match agent.register.fence(Duration::ZERO, &key) {
                Some(KeyOutcome::Fenced) => HomeKeyState::Fenced,
                Some(_) => HomeKeyState::Held,
                None => HomeKeyState::Unknown,
            },
        };
        let to = from;
        self.mail.push(Message::Said {
            work,
            to,
            slot,
            said,
        });
    }

    fn hear(&mut self, work: usize, to: &AgentIncarnation, slot: usize, said: HomeKeyState) {
        let Some(home) = self.slot_of(to) else {
            return;
        };
        let Some(fenced) = self.agents[home].fenced_by.get_mut(&work) else {
            return;
        };
        if check_all_fenced([said]).is_err() {
            self.agents[home].fenced_by.remove(&work);
            self.release(work, home);
            return self.unknown(work, 0);
        }
        fenced.insert(slot);
        let count = fenced.len();
        if count == self.needed(work, home).len() {
            self.agents[home].fenced_by.remove(&work);
            let at = to.clone();
            self.mail.push(Message::Start { work, at, entry: 0 });
        }
    }

    fn start(&mut self, work: usize, at: &AgentIncarnation, entry: usize) {
        let Some(slot) = self.slot_of(at) else {
            return self.unknown(work, entry);
        };
        let key = self.works[work].key.to_string();
        let naive = self.scheme == Scheme::EntryMemory;
        if !naive && !self.agents[slot].register.start(&key) {
            return self.unknown(work, entry);
        }
        self.works[work].runs += 1;
        let at = at.clone();
        self.mail.push(Message::Finish { work, at, entry });
    }

    fn finish(&mut self, work: usize, at: &AgentIncarnation, entry: usize) {
        let Some(slot) = self.slot_of(at) else {
            return self.unknown(work, entry);
        };
        let key = self.works[work].key.to_string();
        self.agents[slot].register.finish(Duration::ZERO, &key, ());
        let told = Told::Ran;
        self.mail.push(Message::Reply { work, entry, told });
    }

    fn reply(&mut self, work: usize, entry: usize, told: Told) {
        if let Some(known) = self.memory[entry].get_mut(&work) {
            *known = told;
        }
        let work = &mut self.works[work];
        if work.told != Told::Ran && told != Told::Open {
            work.told = told;
        }
    }

    fn unknown(&mut self, work: usize, entry: usize) {
        let told = Told::Unknown;
        self.mail.push(Message::Reply { work, entry, told });
    }

    fn release(&mut self, work: usize, slot: usize) {
        let key = self.works[work].key.to_string();
        self.agents[slot].register.release(&key);
    }

    fn slot_of(&self, life: &AgentIncarnation) -> Option<usize> {
        let found = |it: &Agent| it.up && it.life == *life;
        self.agents.iter().position(found)
    }

    fn is_for_frozen(&self, message: &Message) -> bool {
        let frozen =
            |life: &AgentIncarnation| self.slot_of(life).is_some_and(|at| self.agents[at].frozen);
        match message {
            Message::Run { to, .. } | Message::Said { to, .. } => frozen(to),
            Message::Start { at, .. } | Message::Finish { at, .. } => frozen(at),
            Message::Fence { to, .. } => self.agents[*to].frozen,
            Message::Submit { .. } | Message::Reply { .. } => false,
        }
    }
}

fn first_life(slot: usize) -> Agent {
    Agent {
        life: AgentIncarnation {
            agent: format!("agent-{slot}"),
            incarnation: 0,
        },
        up: true,
        frozen: false,
        register: OnceRegister::new(OnceConfig::default()),
        fenced_by: FastMap::default(),
    }
}
