//! Encodes an expert map in a message as its difference from a map that the receivers already have.

use jj_policy::map_switch::{MapVersion, SetMap};
use jj_utils::common_derives;

common_derives! {wire:
    /// Change of the experts that one rank holds in one set of layers.
    #[derive(Eq)]
    struct RankChange {
        /// Number of unchanged ranks before this one, since the previous changed one if there is
        /// any.
        skipped: u16,
        /// Experts that the rank no longer holds.
        dropped: Vec<u16>,
        /// Experts that are new at the rank.
        added: Vec<u16>,
    }
}

common_derives! {wire:
    /// Changes of the ranks in one set of layers.
    #[derive(Eq)]
    struct SetChange {
        /// Index of the set.
        set: u16,
        ranks: Vec<RankChange>,
    }
}

common_derives! {wire:
    /// Difference of a new map from the map in force, which all agents have unless they have just
    /// started. Experts of a rank are in ascending order.
    #[derive(Eq)]
    pub struct MapDelta {
        /// Version of the map to which the changes apply.
        base: MapVersion,
        changes: Vec<SetChange>,
    }
}

impl MapDelta {
    /// Computes the difference between the map `from`, whose version is `base`, and the map `to`.
    pub fn between(base: MapVersion, from: &[SetMap], to: &[SetMap]) -> Self {
        let sets = from.iter().zip(to).enumerate();
        let changes = sets.map(|(set, (from, to))| SetChange {
            set: set as u16,
            ranks: diff_ranks(from, to),
        });
        let changes = changes.filter(|it| !it.ranks.is_empty()).collect();
        Self { base, changes }
    }

    /// Returns the new map; `find_map` looks up a map by its version. None if the base map is not
    /// found or the changes don't fit it.
    pub fn apply(
        &self,
        find_map: impl Fn(MapVersion) -> Option<Vec<SetMap>>,
    ) -> Option<Vec<SetMap>> {
        let mut map = find_map(self.base)?;
        for set_change in &self.changes {
            let set = map.get_mut(usize::from(set_change.set))?;
            let mut next_rank = 0;
            for rank_change in &set_change.ranks {
                let rank = next_rank + usize::from(rank_change.skipped);
                apply_change(set.get_mut(rank)?, rank_change);
                next_rank = rank + 1;
            }
        }
        Some(map)
    }
}

/// Returns the changes of the ranks whose experts differ between two maps, for one set.
fn diff_ranks(from: &SetMap, to: &SetMap) -> Vec<RankChange> {
    let mut changes = Vec::new();
    let mut next_rank = 0;
    for (rank, (from, to)) in from.iter().zip(to).enumerate() {
        let dropped = difference(from, to);
        let added = difference(to, from);
        if !dropped.is_empty() || !added.is_empty() {
            changes.push(RankChange {
                skipped: (rank - next_rank) as u16,
                dropped,
                added,
            });
            next_rank = rank + 1;
        }
    }
    changes
}

/// Returns the experts of `list` that are not in `other`.
fn difference(list: &[u32], other: &[u32]) -> Vec<u16> {
    let rest = list.iter().filter(|it| !other.contains(it));
    rest.map(|it| *it as u16).collect()
}

fn apply_change(experts: &mut Vec<u32>, change: &RankChange) {
    experts.retain(|it| {
        !change
            .dropped
            .iter()
            .any(|dropped| u32::from(*dropped) == *it)
    });
    experts.extend(change.added.iter().map(|it| u32::from(*it)));
    experts.sort_unstable();
}
