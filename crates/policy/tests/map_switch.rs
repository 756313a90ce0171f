//! Next action of a rank in a switch of the expert map, and the check that no switch is in
//! progress.

use std::collections::BTreeSet;

use googletest::prelude::*;
use jj_policy::map_switch::{
    Activation, Goal, NextAction, RankView, next_action, next_version, no_switch_in_progress,
};

const VERSION: u64 = 4;
const PASS: u64 = 90;
const ACTIVATION: Activation = Activation {
    version: VERSION,
    pass: PASS,
};

/// Returns the view of a rank that uses map 3 and has no other map loaded.
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
fn rank_loads_the_map_only_once_and_waits_until_it_is_loaded() {
    expect_that!(
        next_action(&view(), &goal(None), false),
        eq(NextAction::Load)
    );
    expect_that!(
        next_action(&view(), &goal(None), true),
        eq(NextAction::Wait)
    );
    expect_that!(
        next_action(&loaded(), &goal(None), false),
        eq(NextAction::Done)
    );
}

#[gtest]
fn loaded_map_is_activated_only_before_the_held_pass_begins() {
    let late = RankView {
        pass: PASS,
        ..loaded()
    };

    let action = next_action(&loaded(), &goal(Some(PASS)), false);

    expect_that!(action, eq(NextAction::Activate(ACTIVATION)));
    expect_that!(
        next_action(&late, &goal(Some(PASS)), false),
        eq(NextAction::Impossible)
    );
}

#[gtest]
fn activated_map_reaches_the_goal_only_if_the_pass_is_the_same() {
    let later_pass = goal(Some(PASS + 5));

    expect_that!(
        next_action(&active(), &goal(Some(PASS)), false),
        eq(NextAction::Done)
    );
    expect_that!(
        next_action(&active(), &later_pass, false),
        eq(NextAction::Impossible)
    );
}

#[gtest]
fn goal_is_impossible_for_another_epoch_a_closed_group_or_a_newer_map() {
    let new_epoch = RankView { epoch: 2, ..view() };
    let closed = RankView {
        is_open: false,
        ..view()
    };
    let newer_map = RankView {
        map: VERSION + 1,
        ..view()
    };
    let same_map = RankView {
        map: VERSION,
        ..view()
    };

    for it in [new_epoch, closed, newer_map] {
        expect_that!(
            next_action(&it, &goal(None), false),
            eq(NextAction::Impossible)
        );
    }
    expect_that!(
        next_action(&same_map, &goal(Some(PASS)), false),
        eq(NextAction::Done)
    );
}

#[gtest]
fn no_switch_in_progress_needs_known_views_of_one_epoch_without_held_pass_or_activation() {
    let held = RankView {
        held: Some(PASS),
        ..view()
    };
    let new_epoch = RankView { epoch: 2, ..view() };

    expect_that!(
        no_switch_in_progress(&[Some(view()), Some(loaded())]),
        eq(true)
    );
    expect_that!(no_switch_in_progress(&[Some(view()), None]), eq(false));
    expect_that!(
        no_switch_in_progress(&[Some(view()), Some(held)]),
        eq(false)
    );
    expect_that!(
        no_switch_in_progress(&[Some(view()), Some(active())]),
        eq(false)
    );
    expect_that!(
        no_switch_in_progress(&[Some(view()), Some(new_epoch)]),
        eq(false)
    );
    expect_that!(no_switch_in_progress(&[]), eq(false));
}

#[gtest]
fn next_version_exceeds_every_version_in_the_views() {
    let views = [Some(view()), None, Some(active())];

    for random in [0, 1, u64::MAX] {
        expect_that!(next_version(&views, random), gt(VERSION));
        expect_that!(next_version(&[None], random), gt(0));
    }
}

/// Guards against two maps with one version: an order of an agent that is gone to load another map
/// may still be under way, or that map may not appear in the views yet.
#[gtest]
fn random_numbers_give_different_versions_for_the_same_views() {
    let views = [Some(view()), Some(view())];

    let versions: BTreeSet<u64> = (0..100)
        .map(|random| next_version(&views, random * 7_919))
        .collect();

    expect_that!(versions.len(), eq(100));
}

#[gtest]
fn newer_of_keeps_the_newer_view_within_an_epoch() {
    let switched = active().after_switch(VERSION);
    let new_epoch = RankView {
        epoch: 2,
        map: 0,
        ..view()
    };

    expect_that!(switched.map, eq(VERSION));
    expect_that!(switched.held, none());
    expect_that!(view().newer_of(switched), eq(switched));
    expect_that!(new_epoch.newer_of(switched), eq(new_epoch));
    expect_that!(switched.after_switch(VERSION - 1), eq(switched));
}
