//! The next order of one rank on the way to a map, and when no switch is under way.

use std::collections::BTreeSet;

use googletest::prelude::*;
use jj_policy::map_switch::{Activation, Goal, RankView, Step, is_quiet, next_step, next_version};

const VERSION: u64 = 4;
const PASS: u64 = 90;
const ACTIVATION: Activation = Activation {
    version: VERSION,
    pass: PASS,
};

/// A rank that uses map 3 and has nothing loaded.
fn view() -> RankView {
    RankView {
        epoch: 1,
        is_open: true,
        pass: 80,
        sequence: 12,
        map: 3,
        loaded: None,
        active: None,
        held: None,
    }
}

fn loaded() -> RankView {
    RankView {
        loaded: Some(VERSION),
        ..view()
    }
}

fn active() -> RankView {
    RankView {
        active: Some(ACTIVATION),
        ..loaded()
    }
}

fn goal(pass: Option<u64>) -> Goal {
    Goal {
        term: 1,
        epoch: 1,
        version: VERSION,
        pass,
    }
}

#[gtest]
fn a_rank_loads_the_map_once_and_waits_for_it() {
    expect_that!(next_step(&view(), &goal(None), false), eq(Step::Load));
    expect_that!(next_step(&view(), &goal(None), true), eq(Step::Wait));
    expect_that!(next_step(&loaded(), &goal(None), false), eq(Step::Done));
}

#[gtest]
fn a_loaded_map_is_activated_once_a_pass_is_held_that_has_not_begun() {
    let late = RankView {
        pass: PASS,
        ..loaded()
    };

    let step = next_step(&loaded(), &goal(Some(PASS)), false);

    expect_that!(step, eq(Step::Activate(ACTIVATION)));
    expect_that!(
        next_step(&late, &goal(Some(PASS)), false),
        eq(Step::Impossible)
    );
}

#[gtest]
fn an_active_rank_is_done_for_its_pass_only() {
    let other = goal(Some(PASS + 5));

    expect_that!(
        next_step(&active(), &goal(Some(PASS)), false),
        eq(Step::Done)
    );
    expect_that!(next_step(&active(), &other, false), eq(Step::Impossible));
}

#[gtest]
fn a_rank_of_another_formation_or_beyond_the_map_has_nothing_to_do_for_it() {
    let formed_anew = RankView { epoch: 2, ..view() };
    let closed = RankView {
        is_open: false,
        ..view()
    };
    let beyond = RankView {
        map: VERSION + 1,
        ..view()
    };
    let there = RankView {
        map: VERSION,
        ..view()
    };

    for it in [formed_anew, closed, beyond] {
        expect_that!(next_step(&it, &goal(None), false), eq(Step::Impossible));
    }
    expect_that!(next_step(&there, &goal(Some(PASS)), false), eq(Step::Done));
}

#[gtest]
fn a_group_is_quiet_while_all_ranks_are_known_and_none_holds_or_is_active() {
    let held = RankView {
        held: Some(PASS),
        ..view()
    };
    let formed_anew = RankView { epoch: 2, ..view() };

    expect_that!(is_quiet(&[Some(view()), Some(loaded())]), eq(true));
    expect_that!(is_quiet(&[Some(view()), None]), eq(false));
    expect_that!(is_quiet(&[Some(view()), Some(held)]), eq(false));
    expect_that!(is_quiet(&[Some(view()), Some(active())]), eq(false));
    expect_that!(is_quiet(&[Some(view()), Some(formed_anew)]), eq(false));
    expect_that!(is_quiet(&[]), eq(false));
}

#[gtest]
fn a_new_version_is_above_all_that_any_rank_has_had() {
    let views = [Some(view()), None, Some(active())];

    for draw in [0, 1, u64::MAX] {
        expect_that!(next_version(&views, draw), gt(VERSION));
        expect_that!(next_version(&[None], draw), gt(0));
    }
}

/// An order of an agent that is gone may still be on its way, or its load under way and not shown yet.
#[gtest]
fn two_agents_that_see_the_same_take_different_versions() {
    let views = [Some(view()), Some(view())];

    let versions: BTreeSet<u64> = (0..100)
        .map(|draw| next_version(&views, draw * 7_919))
        .collect();

    expect_that!(versions.len(), eq(100));
}

#[gtest]
fn an_older_view_never_replaces_a_newer_one_of_the_same_formation() {
    let switched = active().switched(VERSION);
    let formed_anew = RankView {
        epoch: 2,
        map: 0,
        ..view()
    };

    expect_that!(switched.map, eq(VERSION));
    expect_that!(switched.held, none());
    expect_that!(view().newest(switched), eq(switched));
    expect_that!(formed_anew.newest(switched), eq(formed_anew));
    expect_that!(switched.switched(VERSION - 1), eq(switched));
}
