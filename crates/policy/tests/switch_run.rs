//! Steps of a switch of the expert map that the walk does not tell apart.

use googletest::prelude::*;
use jj_policy::{
    map_switch::{Goal, RankView},
    switch_run::{
        DeputyState, Ending, Input, Outcome, Output, Stage, SwitchRoles, SwitchRun, next_term,
        raised_term,
    },
};
use jj_utils::ids::Rank;

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
                open.extend(run.handle(told(rank, number, view, None)));
            }
            Output::Deputise { pass, .. } => return Some(pass),
            _ => {}
        }
    }
    None
}

fn told(rank: Rank, number: u64, view: RankView, outcome: Option<Outcome>) -> Input {
    Input::View {
        rank,
        number,
        view,
        outcome,
    }
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

/// Questions among outputs.
fn asked(outputs: &[Output]) -> Vec<(Rank, u64)> {
    let asked = outputs.iter().filter_map(|it| match it {
        Output::Ask { rank, number } => Some((*rank, *number)),
        _ => None,
    });
    asked.collect()
}

/// A switch whose ranks have loaded the map, up to the request to the deputy.
fn deputising() -> SwitchRun {
    let (mut run, mut open) = lead();
    while let Some(output) = open.pop() {
        if let Output::Ask { rank, number } = output {
            open.extend(run.handle(told(rank, number, loaded(20), None)));
        }
    }
    run
}

#[gtest]
fn a_refused_load_raises_the_fencing_number_and_only_those_without_the_map_are_asked_again() {
    let not_loaded = RankView {
        loaded: None,
        ..loaded(20)
    };
    let (mut run, first) = lead();
    let questions = asked(&first);
    run.handle(told(0, questions[0].1, loaded(20), None));

    let again = run.handle(told(1, questions[1].1, not_loaded, Some(Outcome::Fenced)));
    let late = run.handle(told(2, questions[2].1, not_loaded, Some(Outcome::Fenced)));

    let ranks: Vec<Rank> = asked(&again).into_iter().map(|(rank, _)| rank).collect();
    expect_that!(ranks, unordered_elements_are![eq(&1), eq(&2), eq(&3)]);
    // The second refusal is one of the number that has been raised already.
    expect_that!(late, is_empty());
    expect_that!(run.goal().term, eq(raised_term(goal().term, 0, 0)));
    expect_that!(run.missing(), elements_are![eq(&1), eq(&2), eq(&3)]);
}

#[gtest]
fn an_agent_that_obeys_another_raises_the_fencing_number_of_a_switch_that_only_loads() {
    let other = next_term(50_000, 7);
    let (mut run, _) = lead();

    let again = run.handle(Input::Outranked(other));
    run.handle(Input::Outranked(other));

    expect_that!(run.goal().term, eq(next_term(other, 0)));
    expect_that!(asked(&again).len(), eq(RANKS as usize));
}

#[gtest]
fn a_switch_that_may_hold_a_pass_ends_once_its_fencing_number_is_too_low() {
    let by_deputy = deputising().handle(Input::Deputy {
        state: DeputyState::Nothing,
        is_fenced: true,
    });
    let by_agent = deputising().handle(Input::Outranked(50_000));

    for outputs in [by_deputy, by_agent] {
        expect_that!(outputs, elements_are![eq(&Output::End(Ending::Fenced))]);
    }
}

#[gtest]
fn one_that_finishes_a_switch_begins_anew_where_its_first_order_is_refused() {
    let held = RankView {
        held: Some(22),
        ..loaded(21)
    };
    let rescue = || SwitchRun::rescue(goal(), SwitchRoles::unknown(2), 3, RANKS, 100);
    let after_order = |outcome| {
        let (mut run, first) = rescue();
        let mut open = asked(&first);
        for _ in 0..2 {
            let (rank, number) = open[0];
            let outputs = run.handle(told(rank, number, held, None));
            open = [asked(&outputs), open].concat();
        }
        run.handle(Input::Ordered { rank: 2, outcome });
        run
    };

    expect_that!(after_order(Outcome::Fenced).has_done_nothing(), eq(true));
    expect_that!(after_order(Outcome::Fenced).stage().0, eq(Stage::Ended));
    expect_that!(after_order(Outcome::Accepted).has_done_nothing(), eq(false));
    expect_that!(after_order(Outcome::Unknown).has_done_nothing(), eq(false));
}

/// A group that has been switched for a year, ten times a second.
#[gtest]
fn a_few_refusals_lead_above_any_number_of_agents_that_are_gone() {
    let seen = next_term(0, 3) * 10 * 60 * 60 * 24 * 365;
    let mut term = next_term(0, 0);

    let raises = (0..).find(|raises| {
        term = raised_term(term, 0, *raises);
        term > seen
    });

    expect_that!(raises, some(le(24)));
    expect_that!(term, lt(1 << 53));
}

#[gtest]
fn fencing_numbers_rise_and_are_never_those_of_another_rank() {
    let mut highest = 0;
    for round in 0..200_u64 {
        let rank = (round * 7 % 192) as u32;
        let other = (rank + 1) % 192;

        let (own, theirs) = (next_term(highest, rank), next_term(highest, other));
        let raised = raised_term(own, rank, 0);

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
