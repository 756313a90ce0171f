//! Memory of the parts of requests that servers have responded to.

use jj_utils::{clock::Timestamp, collections::FastMap};

use crate::crash_reports::{PartId, PartPosition, RequestPart};

/// When and where a part was served.
#[derive(Debug, Clone, Copy)]
struct Served {
    /// Last time.
    at: Timestamp,
    /// Positions at which it was served.
    positions: PositionSet,
}

/// Set of positions: the bit of each is set. All from [`MAX_BIT`] share one.
type PositionSet = u64;

const MAX_BIT: PartPosition = 63;

fn set_of(position: PartPosition) -> PositionSet {
    1 << position.min(MAX_BIT)
}

/// Returns the positions of a set, in ascending order.
fn positions_of(set: PositionSet) -> impl Iterator<Item = PartPosition> {
    (0..=MAX_BIT).filter(move |it| set & set_of(*it) != 0)
}

/// Bounded memory of one kind of parts.
#[derive(Debug, Default)]
struct Memory {
    served: FastMap<PartId, Served>,
    /// Number of parts by position.
    counts: FastMap<PartPosition, usize>,
}

impl Memory {
    /// Records a part; returns whether it was unknown.
    fn record(&mut self, part: PartId, served: Served, max_parts: usize) -> bool {
        if self.served.len() >= max_parts && !self.served.contains_key(&part) {
            self.forget_half();
        }
        let known = self.served.get(&part).copied();
        let before = known.map_or(0, |it| it.positions);
        let merged = Served {
            at: known.map_or(served.at, |it| it.at.max(served.at)),
            positions: before | served.positions,
        };
        self.served.insert(part, merged);
        self.count(merged.positions & !before);
        known.is_none()
    }

    /// Counts a part at positions.
    fn count(&mut self, positions: PositionSet) {
        for position in positions_of(positions) {
            *self.counts.entry(position).or_default() += 1;
        }
    }

    /// Forgets the half of the parts that was served first.
    fn forget_half(&mut self) {
        let mut times: Vec<Timestamp> = self.served.values().map(|it| it.at).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.served.retain(|_, it| it.at > median);
        self.counts.clear();
        let positions: Vec<PositionSet> = self.served.values().map(|it| it.positions).collect();
        for set in positions {
            self.count(set);
        }
    }
}

/// The served parts of prompts, and the served requests, which are remembered apart: these are
/// mostly new each time and would displace the parts.
#[derive(Debug, Default)]
pub(crate) struct ServedParts {
    prompts: Memory,
    requests: Memory,
}

impl ServedParts {
    /// Records when a part was served, and where; returns whether it never was before. At most
    /// `max_parts` of each kind are remembered.
    pub fn record(&mut self, at: Timestamp, part: RequestPart, max_parts: usize) -> bool {
        let memory = match part.is_whole_request() {
            true => &mut self.requests,
            false => &mut self.prompts,
        };
        let positions = set_of(part.position);
        memory.record(part.part, Served { at, positions }, max_parts)
    }

    /// Returns when a part was served last.
    pub fn last_served(&self, part: PartId) -> Option<Timestamp> {
        let of_prompts = self.prompts.served.get(&part);
        let served = of_prompts.or_else(|| self.requests.served.get(&part));
        served.map(|it| it.at)
    }

    /// Returns whether a part was ever served.
    pub fn contains(&self, part: &RequestPart) -> bool {
        self.last_served(part.part).is_some()
    }

    /// Returns whether a part was served after a time.
    pub fn is_served_after(&self, part: PartId, at: Timestamp) -> bool {
        self.last_served(part).is_some_and(|it| it > at)
    }

    /// Returns the number of parts that were served at a position of prompts.
    pub fn count_at(&self, position: PartPosition) -> usize {
        let position = position.min(MAX_BIT);
        self.prompts.counts.get(&position).copied().unwrap_or(0)
    }

    /// Returns the highest number of parts that were served at one position of prompts.
    pub fn max_count(&self) -> usize {
        self.prompts.counts.values().copied().max().unwrap_or(0)
    }

    /// Returns the parts that were served at a position of prompts.
    pub fn at_position(&self, position: PartPosition) -> impl Iterator<Item = RequestPart> {
        let served = self.prompts.served.iter();
        let there = served.filter(move |(_, it)| it.positions & set_of(position) != 0);
        there.map(move |(part, _)| RequestPart {
            part: *part,
            position,
        })
    }
}
