//! Steps of a switch of the expert map that the walk does not tell apart.

use googletest::prelude::*;
use jj_policy::{
    map_switch::{Goal, RankView},
    switch_run::{Input, Output, SwitchRoles, SwitchRun, next_term, raised_term},
};

const RANKS: u32 = 4;

fn goal() -> Goal {
    Goal {
        term: 10,
        epoch: 1,
        version: 1,
        pass: None,
    }
}

fn loaded(pass: u64) -> RankView {
    RankView {
        epoch: 1,
        is_open: true,
        pass,
        sequence: 1,
        map: 0,
        loaded: Some(1),
        active: None,
        held: None,
    }
}

/// Answers every question with the same view until the deputy is asked; the pass that it is to hold.
fn held_pass(mut run: SwitchRun, first: Vec<Output>, view: RankView) -> Option<u64> {
    let mut open = first;
    while let Some(output) = open.pop() {
        match output {
            Output::Ask { rank, number } => {
                open.extend(run.handle(Input::View { rank, number, view }));
            }
            Output::Deputise { pass, .. } => return Some(pass),
            _ => {}
        }
    }
    None
}

fn lead() -> (SwitchRun, Vec<Output>) {
    let roles = SwitchRoles {
        leader: 0,
        deputy: 1,
        gate: 2,
    };
    SwitchRun::lead(goal(), roles, RANKS, 100)
}

#[gtest]
fn the_switch_lies_a_pass_beyond_the_one_under_way() {
    let (run, first) = lead();

    expect_that!(held_pass(run, first, loaded(20)), some(eq(22)));
}

#[gtest]
fn where_orders_are_lost_the_switch_lies_far_enough_ahead_to_give_them_again() {
    let (mut run, first) = lead();

    run.expect_losses();

    // Recorded: 130 to 200 ms until all of 72 ranks had accepted, in passes of 60 ms and more.
    expect_that!(held_pass(run, first, loaded(20)), some(ge(24)));
}

#[gtest]
fn fencing_numbers_rise_and_are_never_those_of_another_rank() {
    let mut highest = 0;
    for round in 0..200_u64 {
        let rank = (round * 7 % 192) as u32;
        let other = (rank + 1) % 192;

        let (own, theirs) = (next_term(highest, rank), next_term(highest, other));
        let raised = raised_term(own, rank);

        expect_that!(own, gt(highest));
        expect_that!(own == theirs, eq(false));
        expect_that!(raised, gt(theirs));
        highest = if round.is_multiple_of(50) {
            raised
        } else {
            own
        };
    }
}
