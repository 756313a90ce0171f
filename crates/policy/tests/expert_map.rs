//! Changes between expert maps: applied to their base map they give the new map, and any other base
//! map is refused.

use googletest::prelude::*;
use jj_policy::expert_map::{apply_changes, diff_slots};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SLOTS: usize = 256;
const EXPERTS: u32 = 128;
const MOVES: usize = 12;

/// Returns a random map and the same map after up to `MOVES` changed slots.
fn random_maps(random: &mut Pcg64Mcg) -> (Vec<u32>, Vec<u32>) {
    let from: Vec<u32> = (0..SLOTS)
        .map(|_| random.random_range(0..EXPERTS))
        .collect();
    let mut to = from.clone();
    for _ in 0..MOVES {
        to[random.random_range(0..SLOTS)] = random.random_range(0..EXPERTS);
    }
    (from, to)
}

/// Applies changes without a check of the base map.
fn apply_unchecked(from: &[u32], placed: &[(u32, u32)]) -> Vec<u32> {
    let mut slots = from.to_vec();
    for (slot, expert) in placed {
        slots[*slot as usize] = *expert;
    }
    slots
}

#[gtest]
fn changes_apply_only_to_their_base_map() {
    let mut random = Pcg64Mcg::seed_from_u64(20261203);
    let mut unchecked_wrong = 0;
    for _ in 0..1000 {
        let (from, to) = random_maps(&mut random);
        let (other, _) = random_maps(&mut random);

        let changed = diff_slots(&from, &to).expect("maps of one size");

        expect_that!(changed.changed_slots.len(), le(MOVES));
        expect_that!(apply_changes(&from, &changed).as_ref(), some(eq(&to)));
        expect_that!(apply_changes(&other, &changed), none());
        unchecked_wrong += usize::from(apply_unchecked(&other, &changed.changed_slots) != to);
    }
    println!("wrong maps without the check of the base map: {unchecked_wrong} of 1,000");
    expect_that!(unchecked_wrong, gt(0));
    expect_that!(diff_slots(&[1, 2], &[1]), none());
}

#[gtest]
fn changes_to_an_unknown_slot_are_refused() {
    let mut changed = diff_slots(&[1, 2], &[1, 3]).expect("maps of one size");
    changed.changed_slots.push((2, 1));

    expect_that!(apply_changes(&[1, 2], &changed), none());
}
