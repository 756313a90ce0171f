//! Which entries of a fleet are alive, as they tell each other.
//!
//! Each entry counts its beats and tells a few others now and then what it knows of the beats of all.
//! A beat that rises is proof of life, whichever way it came, so news of every entry reaches all others
//! within a few rounds, while what one entry sends and receives does not grow with their number. One
//! whose beat has not risen for some time passes for silent.
//!
//! Load pattern: hundreds of entries start at once; some are killed, frozen or cut off and return.

use std::{net::IpAddr, time::Duration};

use jj_utils::{clock::Timestamp, collections::FastMap, common_derives, ids::FailureDomainId};

/// Short number that tells the lives of one process apart.
pub type LifeTag = u32;

/// Signs of life that a process has given.
pub type Beat = u32;

common_derives! {wire:
    /// Whether an entry takes requests.
    #[derive(Copy, Eq, Hash)]
    pub enum Standing {
        /// Not yet.
        Starting,
        /// Yes.
        Ready,
        /// It is about to end.
        Leaving,
    }
}

common_derives! {value:
    /// What is told of one entry.
    #[derive(Eq)]
    pub struct MemberNews {
        /// Its address.
        pub ip: IpAddr,
        /// This life of it.
        pub life: LifeTag,
        /// Its last beat that is known.
        pub beat: Beat,
        /// Time since that was heard.
        pub age: Duration,
        /// Its failure domain.
        pub domain: FailureDomainId,
        /// Whether it takes requests.
        pub standing: Standing,
    }
}

common_derives! {value:
    /// Tunables of membership.
    pub struct GossipConfig {
        /// Entries up to which each one tells all others.
        pub direct: usize,
        /// Others in its own failure domain that an entry tells in each round of a larger fleet.
        pub near: usize,
        /// Rounds after which one in another failure domain is told as well.
        pub far_rounds: u32,
        /// Silence after which an entry counts as gone, where each one tells all others.
        pub silent_direct: Duration,
        /// The same in a larger fleet.
        pub silent: Duration,
        /// Silence after which another life is believed on the word of others.
        pub replaced: Duration,
        /// Silence after which an entry is forgotten.
        pub forget: Duration,
    }
}

impl Default for GossipConfig {
    fn default() -> Self {
        Self {
            direct: 12,
            near: 2,
            far_rounds: 3,
            silent_direct: Duration::from_millis(1_200),
            silent: Duration::from_millis(1_800),
            replaced: Duration::from_millis(600),
            forget: Duration::from_secs(30),
        }
    }
}

/// An entry as it was last heard of.
#[derive(Debug, Clone)]
pub struct Member {
    /// What was told.
    pub news: MemberNews,
    /// When its last beat was heard by anyone who told.
    pub heard: Timestamp,
    /// Whether it was found to be silent since.
    is_silent: bool,
}

impl Member {
    fn new(news: MemberNews, heard: Timestamp) -> Self {
        Self {
            news,
            heard,
            is_silent: false,
        }
    }
}

common_derives! {copy:
    /// What has become known of an entry.
    pub enum Change {
        /// It is new, or has started again.
        Joined(IpAddr),
        /// Its standing is another one.
        Standing(IpAddr),
        /// It has fallen silent.
        Silent(IpAddr),
        /// It is heard again.
        Back(IpAddr),
    }
}

/// All that one entry knows of the others.
#[derive(Debug)]
pub struct Gossip {
    config: GossipConfig,
    own: MemberNews,
    members: FastMap<IpAddr, Member>,
    /// Addresses that may have an entry, from the settings.
    seeds: Vec<IpAddr>,
    round: u32,
    /// Whether the fleet is so small that each entry tells all others.
    is_direct: bool,
}

impl Gossip {
    /// An entry that knows of itself only.
    pub fn new(config: GossipConfig, own: MemberNews) -> Self {
        Self {
            config,
            own,
            members: FastMap::default(),
            seeds: Vec::new(),
            round: 0,
            is_direct: true,
        }
    }

    /// This entry's own address.
    pub fn ip(&self) -> IpAddr {
        self.own.ip
    }

    /// This entry's failure domain.
    pub fn domain(&self) -> &FailureDomainId {
        &self.own.domain
    }

    /// Sets whether this entry takes requests; true where that is new.
    pub fn set_standing(&mut self, standing: Standing) -> bool {
        let is_new = self.own.standing != standing;
        self.own.standing = standing;
        is_new
    }

    /// Sets where entries may be that nobody has told of.
    pub fn set_seeds(&mut self, seeds: impl Iterator<Item = IpAddr>) {
        self.seeds = seeds.filter(|ip| *ip != self.own.ip).collect();
    }

    /// Begins a round: the entries to tell, beside those that are told for other reasons. `draw` gives
    /// random numbers.
    pub fn begin_round(&mut self, now: Timestamp, mut draw: impl FnMut() -> u64) -> Vec<IpAddr> {
        self.own.beat += 1;
        self.round += 1;
        let forget = self.config.forget;
        self.members.retain(|_, it| it.heard + forget >= now);
        self.measure(now);
        let mut targets = match self.is_direct {
            true => self.members.keys().copied().collect(),
            false => self.some(now, &mut draw),
        };
        // Seeds that are silent may belong to a part of the fleet that was cut off.
        let unheard = |ip: &&IpAddr| !self.is_alive(now, **ip);
        targets.extend(self.seeds.iter().filter(unheard));
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// A few others of a large fleet: some near, one far now and then, and one that is silent.
    fn some(&self, now: Timestamp, draw: &mut impl FnMut() -> u64) -> Vec<IpAddr> {
        let mut near = Vec::new();
        let mut far = Vec::new();
        let mut silent = Vec::new();
        for (ip, member) in &self.members {
            if !self.is_alive(now, *ip) {
                silent.push(*ip);
            } else if member.news.domain == self.own.domain {
                near.push(*ip);
            } else {
                far.push(*ip);
            }
        }
        let mut targets = pick(&mut near, self.config.near, draw);
        let is_far_round = self.round.is_multiple_of(self.config.far_rounds) || near.is_empty();
        let far_count = usize::from(is_far_round);
        targets.extend(pick(&mut far, far_count, draw));
        targets.extend(pick(&mut silent, far_count, draw));
        targets
    }

    /// What to tell: this entry itself and all that are alive.
    pub fn told(&self, now: Timestamp) -> Vec<MemberNews> {
        let alive = self.alive(now).map(|it| MemberNews {
            age: now.saturating_sub(it.heard),
            ..it.news.clone()
        });
        std::iter::once(self.own.clone()).chain(alive).collect()
    }

    /// Takes in what an entry has told; what is new of whom.
    pub fn take(&mut self, now: Timestamp, from: IpAddr, news: Vec<MemberNews>) -> Vec<Change> {
        let others = news.into_iter().filter(|it| it.ip != self.own.ip);
        let others: Vec<MemberNews> = others.collect();
        let changes: Vec<Change> = others
            .into_iter()
            .filter_map(|it| self.take_one(now, from, it))
            .collect();
        if !changes.is_empty() {
            self.measure(now);
        }
        changes
    }

    /// Finds out whether the fleet is small.
    fn measure(&mut self, now: Timestamp) {
        let silent = self.config.silent;
        let recent = self.members.values().filter(|it| it.heard + silent >= now);
        self.is_direct = recent.count() < self.config.direct;
    }

    fn take_one(&mut self, now: Timestamp, from: IpAddr, news: MemberNews) -> Option<Change> {
        let ip = news.ip;
        let heard = now.saturating_sub(news.age);
        let Some(known) = self.members.get_mut(&ip) else {
            if heard + self.config.silent < now {
                return None;
            }
            self.members.insert(ip, Member::new(news, heard));
            return Some(Change::Joined(ip));
        };
        if known.news.life != news.life {
            let is_believed = from == ip || known.heard + self.config.replaced < heard;
            if !is_believed {
                return None;
            }
            *known = Member::new(news, heard);
            return Some(Change::Joined(ip));
        }
        if news.beat <= known.news.beat {
            return None;
        }
        let has_changed = known.news.standing != news.standing;
        known.heard = known.heard.max(heard);
        known.news = news;
        if known.is_silent && known.heard + self.config.silent >= now {
            known.is_silent = false;
            return Some(Change::Back(ip));
        }
        has_changed.then_some(Change::Standing(ip))
    }

    /// Entries that have fallen silent since the last call.
    pub fn take_silent(&mut self, now: Timestamp) -> Vec<Change> {
        let silence = self.silence();
        let members = self.members.iter_mut();
        let silent = members.filter(|(_, it)| !it.is_silent && it.heard + silence < now);
        let silent = silent.map(|(ip, member)| {
            member.is_silent = true;
            Change::Silent(*ip)
        });
        silent.collect()
    }

    /// Whether the fleet is so small that each entry tells all others.
    pub fn is_direct(&self) -> bool {
        self.is_direct
    }

    /// Silence after which an entry counts as gone.
    pub fn silence(&self) -> Duration {
        match self.is_direct {
            true => self.config.silent_direct,
            false => self.config.silent,
        }
    }

    /// One other entry, alive or not.
    pub fn member(&self, ip: IpAddr) -> Option<&Member> {
        self.members.get(&ip)
    }

    /// Whether another entry was heard of lately.
    pub fn is_alive(&self, now: Timestamp, ip: IpAddr) -> bool {
        let silence = self.silence();
        let member = self.members.get(&ip);
        member.is_some_and(|it| it.heard + silence >= now)
    }

    /// The other entries that were heard of lately.
    pub fn alive(&self, now: Timestamp) -> impl Iterator<Item = &Member> {
        let silence = self.silence();
        let members = self.members.values();
        members.filter(move |it| it.heard + silence >= now)
    }

    /// All entries of each failure domain that are alive and stay, in the order of their addresses, this
    /// one among them.
    pub fn by_domain(&self, now: Timestamp) -> FastMap<FailureDomainId, Vec<IpAddr>> {
        let mut domains: FastMap<FailureDomainId, Vec<IpAddr>> = FastMap::default();
        let alive = self.alive(now).map(|it| &it.news);
        for news in alive.chain([&self.own]) {
            if news.standing != Standing::Leaving {
                let ips = domains.entry(news.domain.clone()).or_default();
                ips.push(news.ip);
            }
        }
        for ips in domains.values_mut() {
            ips.sort_unstable();
        }
        domains
    }
}

/// Removes up to `count` random items and gives them back.
fn pick(from: &mut Vec<IpAddr>, count: usize, draw: &mut impl FnMut() -> u64) -> Vec<IpAddr> {
    let mut picked = Vec::new();
    while picked.len() < count && !from.is_empty() {
        let index = draw() as usize % from.len();
        picked.push(from.swap_remove(index));
    }
    picked
}
