//! One rank's part in a switch of its group's expert map, for engines that take single orders and
//! may execute them late.
//!
//! This module has the state that an engine reports, the orders to an engine, and the next action
//! of a rank towards the goal of the switch. [`crate::switch_run`] decides for the group: which
//! pass is held and released, and when a switch is rolled back.
//!
//! An order carries the epoch of the group and the number of orders that the rank had accepted, so
//! a late order is void if the rank has accepted another one since.

use jj_utils::{common_derives, ids::Term};

/// Version of an expert map; the versions of a group only increase.
pub type MapVersion = u64;

/// Number of a pass of a group, counted from the group's formation.
pub type Pass = u64;

/// Experts that each rank holds in one set of layers, indexed by rank.
pub type SetMap = Vec<Vec<u32>>;

common_derives! {wire:
    /// Activation of a map: its version and the first pass that uses it.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub struct Activation {
        /// Version of the map.
        pub version: MapVersion,
        /// First pass that uses the map.
        pub pass: Pass,
    }
}

common_derives! {wire:
    /// State that a rank's engine reports.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub struct RankView {
        /// Number of the group's formation.
        pub epoch: u64,
        /// Whether the group is open, that is, runs passes.
        pub is_open: bool,
        /// Last pass that has begun.
        pub pass: Pass,
        /// Number of orders that the engine has accepted.
        pub sequence: u64,
        /// Version of the map in force.
        pub map: MapVersion,
        /// Version of the map that is loaded but not in force.
        pub loaded: Option<MapVersion>,
        /// Map that will be in force from a pass onwards.
        pub active: Option<Activation>,
        /// Pass that the group does not begin until it is released at this rank.
        pub held: Option<Pass>,
    }
}

impl RankView {
    /// Returns the newer of this view and `known`: map versions only increase within an epoch.
    pub fn newer_of(self, known: Self) -> Self {
        let is_older = self.epoch == known.epoch && self.map < known.map;
        if is_older { known } else { self }
    }

    /// Returns the view after a switch to a map, or this view if its map is the same or a later
    /// one.
    pub fn after_switch(self, version: MapVersion) -> Self {
        if self.map >= version {
            return self;
        }
        Self {
            map: version,
            loaded: None,
            active: None,
            held: None,
            ..self
        }
    }
}

common_derives! {value:
    /// Order to one rank's engine.
    #[derive(Eq)]
    pub enum RankOrder {
        /// Load the experts of a map that are new to the rank.
        Load {
            /// Version of the map.
            version: MapVersion,
            /// Content of the whole map.
            map: Vec<SetMap>,
        },
        /// Use a loaded map from a pass onwards.
        Activate(Activation),
        /// Cancel the activation of a map.
        Cancel {
            /// Version of the map.
            version: MapVersion,
        },
        /// Keep the group from beginning a pass.
        Hold {
            /// The pass.
            pass: Pass,
        },
        /// Let the group begin a held pass.
        Release {
            /// The pass.
            pass: Pass,
        },
    }
}

common_derives! {wire:
    /// State that the leader of a switch wants each rank to reach.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub struct Goal {
        /// Term (fencing number) of the leader.
        pub term: Term,
        /// Number of the group's formation.
        pub epoch: u64,
        /// Version of the map to load.
        pub version: MapVersion,
        /// First pass that uses the map; `None` until a pass is held.
        pub pass: Option<Pass>,
    }
}

common_derives! {copy:
    /// What a rank has to do next to reach a goal.
    pub enum NextAction {
        /// Nothing, since the goal is reached.
        Done,
        /// Load the map.
        Load,
        /// Wait until the map is loaded.
        Wait,
        /// Activate the map.
        Activate(Activation),
        /// Nothing, since the goal can no longer be reached.
        Impossible,
    }
}

/// Returns what the rank with this view has to do next to reach a goal. `is_loading` tells whether
/// the engine has accepted the load and not finished it.
pub fn next_action(view: &RankView, goal: &Goal, is_loading: bool) -> NextAction {
    if view.epoch != goal.epoch || !view.is_open || view.map > goal.version {
        return NextAction::Impossible;
    }
    if view.map == goal.version {
        return NextAction::Done;
    }
    match (view.active, goal.pass) {
        (Some(active), Some(pass)) if active.version == goal.version => match active.pass == pass {
            true => NextAction::Done,
            false => NextAction::Impossible,
        },
        (Some(active), None) if active.version == goal.version => NextAction::Done,
        (Some(_), _) => NextAction::Impossible,
        (None, _) if view.loaded != Some(goal.version) => match is_loading {
            true => NextAction::Wait,
            false => NextAction::Load,
        },
        (None, Some(pass)) if view.pass >= pass => NextAction::Impossible,
        (None, Some(pass)) => NextAction::Activate(Activation {
            version: goal.version,
            pass,
        }),
        (None, None) => NextAction::Done,
    }
}

/// Returns whether the views of all ranks are known, are open and of one epoch, and show no held
/// pass and no activated map.
pub fn no_switch_in_progress(views: &[Option<RankView>]) -> bool {
    let Some(views) = views.iter().copied().collect::<Option<Vec<RankView>>>() else {
        return false;
    };
    let Some(first) = views.first() else {
        return false;
    };
    let has_no_switch = |it: &RankView| {
        it.epoch == first.epoch && it.is_open && it.held.is_none() && it.active.is_none()
    };
    views.iter().all(has_no_switch)
}

/// Number of versions in a step. Each switch takes a random version of the next step.
const VERSIONS_PER_STEP: MapVersion = 1 << 20;

/// Returns an unused map version above all versions in the views. An order of an agent that is gone
/// to load another map may still be under way, or its load may not show yet; `random`, a random
/// number, keeps the two maps from getting the same version.
pub fn next_version(views: &[Option<RankView>], random: u64) -> MapVersion {
    let versions = views
        .iter()
        .flatten()
        .flat_map(|it| [Some(it.map), it.loaded, it.active.map(|it| it.version)]);
    let highest = versions.flatten().max().unwrap_or_default();
    (highest / VERSIONS_PER_STEP + 1) * VERSIONS_PER_STEP + random % VERSIONS_PER_STEP
}
