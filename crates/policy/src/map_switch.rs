//! The switch of a group's expert map where engines take single orders that may be carried out late.
//!
//! A rank's part: what its engine says, which order comes next on the way to a goal, and what is told
//! to the one that leads the switch. [`crate::switch_run`] decides for the group, what is held and
//! released, and when a switch is taken back.
//!
//! Orders name the formation of the group and the number of orders that the rank had accepted, so
//! one that is carried out late is void unless nothing has happened at that rank since.

use jj_utils::{common_derives, ids::Term};

/// Version of an expert map; a group's versions only rise.
pub type MapVersion = u64;

/// Number of a pass of a group, counted from its formation.
pub type Pass = u64;

/// Experts of one set of layers by rank.
pub type SetMap = Vec<Vec<u32>>;

common_derives! {wire:
    /// The first pass that uses a map.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub struct Activation {
        /// The map.
        pub version: MapVersion,
        /// The pass.
        pub pass: Pass,
    }
}

common_derives! {wire:
    /// What a rank's engine says of itself.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub struct RankView {
        /// Formation of the group.
        pub epoch: u64,
        /// Whether the group works.
        pub is_open: bool,
        /// Last pass that was begun.
        pub pass: Pass,
        /// Orders that were accepted.
        pub sequence: u64,
        /// Map in force.
        pub map: MapVersion,
        /// Map that is loaded and not in force.
        pub loaded: Option<MapVersion>,
        /// Map that will be in force from a pass on.
        pub active: Option<Activation>,
        /// Pass that the group doesn't begin before it is released at this rank.
        pub held: Option<Pass>,
    }
}

impl RankView {
    /// The newer of two views: the versions of maps only rise within one formation.
    pub fn newer_of(self, known: Self) -> Self {
        let is_older = self.epoch == known.epoch && self.map < known.map;
        if is_older { known } else { self }
    }

    /// The same engine once it uses a map, unless it uses a later one.
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
    /// An order to one rank's engine.
    #[derive(Eq)]
    pub enum RankOrder {
        /// Load the experts of a map that are new to the rank.
        Load {
            /// The map's number.
            version: MapVersion,
            /// All of the map.
            map: Vec<SetMap>,
        },
        /// Use a loaded map from a pass on.
        Activate(Activation),
        /// Undo an activation.
        Cancel {
            /// The map.
            version: MapVersion,
        },
        /// Do not begin a pass.
        Hold {
            /// The pass.
            pass: Pass,
        },
        /// Begin a held pass.
        Release {
            /// The pass.
            pass: Pass,
        },
    }
}

common_derives! {wire:
    /// What a leader wants of one rank.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub struct Goal {
        /// Fencing number of the leader.
        pub term: Term,
        /// Formation of the group.
        pub epoch: u64,
        /// Map to load.
        pub version: MapVersion,
        /// Pass from which to use it, once the pass is held.
        pub pass: Option<Pass>,
    }
}

common_derives! {copy:
    /// What a rank has to do next for a goal.
    pub enum NextAction {
        /// The goal is reached.
        Done,
        /// Load the map.
        Load,
        /// The map is being loaded.
        Wait,
        /// Activate the map.
        Activate(Activation),
        /// The goal can't be reached any more.
        Impossible,
    }
}

/// What the rank with this view has to do next for a goal. `is_loading` says that the engine has
/// accepted the load and not finished it.
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

/// Whether no switch is under way at ranks that all work and are of one formation.
pub fn no_switch_in_progress(views: &[Option<RankView>]) -> bool {
    let Some(views) = views.iter().copied().collect::<Option<Vec<RankView>>>() else {
        return false;
    };
    let Some(first) = views.first() else {
        return false;
    };
    let is_quiet = |it: &RankView| {
        it.epoch == first.epoch && it.is_open && it.held.is_none() && it.active.is_none()
    };
    views.iter().all(is_quiet)
}

/// Versions between two that follow each other: which of them a switch takes is drawn.
const VERSIONS_A_STEP: MapVersion = 1 << 20;

/// A free version of a map over all that a group shows. An order to load another map may still be on its
/// way from an agent that is gone, or its load may be under way and not show yet; `draw`, a random
/// number, keeps the two from having one version.
pub fn next_version(views: &[Option<RankView>], draw: u64) -> MapVersion {
    let versions = views
        .iter()
        .flatten()
        .flat_map(|it| [Some(it.map), it.loaded, it.active.map(|it| it.version)]);
    let highest = versions.flatten().max().unwrap_or_default();
    (highest / VERSIONS_A_STEP + 1) * VERSIONS_A_STEP + draw % VERSIONS_A_STEP
}
