//! Plans of expert maps: they respect what ranks can hold and load, and even the load out in few
//! switches.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::{
    expert_plan::{
        ExpertShares, PassTimes, PlanShape, default_map, imbalance, max_loads_per_rank, plan,
        target_imbalance,
    },
    map_switch::SetMap,
};
use rand::{SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;

const SETS: usize = 4;

/// Returns the size of a group in the first deployments.
fn shape() -> PlanShape {
    PlanShape {
        ranks: 16,
        experts: 64,
        slots: 5,
        loads_per_set: 2,
        loads_per_rank: 2,
        slowdowns: Vec::new(),
    }
}

/// Returns a demand in which a single expert has up to a fifth of all tokens of its set.
fn steep_demand(random: &mut Pcg64Mcg, shape: &PlanShape) -> Vec<ExpertShares> {
    let set = |_| {
        let mut shares: ExpertShares = (1..=shape.experts).map(|it| 1.0 / it as f64).collect();
        shares.shuffle(random);
        let total: f64 = shares.iter().sum();
        shares.into_iter().map(|it| it / total).collect()
    };
    (0..SETS).map(set).collect()
}

fn new_experts(before: &[SetMap], after: &[SetMap], rank: usize) -> Vec<usize> {
    let sets = before.iter().zip(after);
    let new = sets.map(|(old, new)| {
        let is_new = |it: &&u32| !old[rank].contains(it);
        new[rank].iter().filter(is_new).count()
    });
    new.collect()
}

#[gtest]
fn plan_respects_slot_and_load_limits_and_keeps_every_expert() {
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let shape = shape();
    let mut map = default_map(&shape, SETS);
    for _ in 0..20 {
        let shares = steep_demand(&mut random, &shape);

        let planned = plan(&shape, &map, &shares, 1.06);

        for rank in 0..shape.ranks {
            let new = new_experts(&map, &planned.map, rank);
            expect_that!(new.iter().sum::<usize>(), le(shape.loads_per_rank));
            expect_that!(new, each(le(&shape.loads_per_set)));
        }
        for set in &planned.map {
            expect_that!(set.iter().map(Vec::len).max().unwrap(), le(shape.slots));
            let is_held = |expert: u32| set.iter().any(|it| it.contains(&expert));
            expect_that!((0..shape.experts as u32).all(is_held), eq(true));
        }
        expect_that!(planned.imbalance_after, le(planned.imbalance_before));
        map = planned.map;
    }
}

#[gtest]
fn six_switches_bring_the_imbalance_of_skewed_demand_near_1() {
    let mut random = Pcg64Mcg::seed_from_u64(8);
    let shape = shape();
    let shares = steep_demand(&mut random, &shape);
    let mut map = default_map(&shape, SETS);
    let initial = imbalance(&shape, &map, &shares);
    for _ in 0..6 {
        map = plan(&shape, &map, &shares, 1.06).map;
    }

    let reached = imbalance(&shape, &map, &shares);

    println!("imbalance: first map {initial:.2}, after six switches {reached:.2}");
    expect_that!(initial, gt(1.5));
    expect_that!(reached, lt(1.15));
}

/// Groups of the larger deployments: numbers of ranks, experts, slots and sets.
const LARGE: [(usize, usize, usize, usize); 3] =
    [(63, 252, 5, 8), (72, 144, 3, 12), (192, 384, 3, 10)];

/// Returns a demand that falls from expert to expert less steeply than in [`steep_demand`].
fn flat_demand(random: &mut Pcg64Mcg, experts: usize, sets: usize) -> Vec<ExpertShares> {
    let set = |_| {
        let mut shares: ExpertShares = (1..=experts).map(|it| (it as f64).powf(-0.44)).collect();
        shares.shuffle(random);
        let total: f64 = shares.iter().sum();
        shares.into_iter().map(|it| it / total).collect()
    };
    (0..sets).map(set).collect()
}

/// Returns `from` with the fraction `part` replaced by `to`.
fn mixed_demand(from: &[ExpertShares], to: &[ExpertShares], part: f64) -> Vec<ExpertShares> {
    let sets = from.iter().zip(to);
    let mixed = sets.map(|(from, to)| {
        let experts = from.iter().zip(to);
        experts
            .map(|(from, to)| from * (1.0 - part) + to * part)
            .collect()
    });
    mixed.collect()
}

#[gtest]
fn two_switches_rebalance_a_large_group_after_a_shift() {
    for (ranks, experts, slots, sets) in LARGE {
        let mut random = Pcg64Mcg::seed_from_u64(11);
        let shape = PlanShape {
            ranks,
            experts,
            slots,
            loads_per_set: 2,
            loads_per_rank: 2,
            slowdowns: Vec::new(),
        };
        let shares = flat_demand(&mut random, experts, sets);
        let mut map = default_map(&shape, sets);
        for _ in 0..6 {
            map = plan(&shape, &map, &shares, 1.06).map;
        }
        let before = imbalance(&shape, &map, &shares);
        let shares = mixed_demand(&shares, &flat_demand(&mut random, experts, sets), 0.5);
        let after_shift = imbalance(&shape, &map, &shares);
        for _ in 0..2 {
            map = plan(&shape, &map, &shares, 1.06).map;
        }

        let reached = imbalance(&shape, &map, &shares);
        let imbalances = format!("{ranks} ranks: {before:.2}, {after_shift:.2}, {reached:.2}");
        expect_that!(before, lt(1.15), "{imbalances}");
        expect_that!(after_shift, gt(1.5), "{imbalances}");
        expect_that!(reached, lt(1.15), "{imbalances}");
    }
}

#[gtest]
fn plan_at_its_target_changes_nothing() {
    let shape = shape();
    let even = vec![vec![1.0 / shape.experts as f64; shape.experts]; SETS];
    let map = default_map(&shape, SETS);

    let planned = plan(&shape, &map, &even, 1.06);

    expect_that!(planned.loads, eq(0));
    expect_that!(planned.map, eq(&map));
}

#[gtest]
fn slow_rank_gets_less_load() {
    let usual = shape();
    let slow = PlanShape {
        slowdowns: vec![4.0],
        ..shape()
    };
    let even = vec![vec![1.0 / usual.experts as f64; usual.experts]; SETS];
    let mut map = default_map(&slow, SETS);
    let before = imbalance(&slow, &map, &even);
    for _ in 0..8 {
        map = plan(&slow, &map, &even, 1.06).map;
    }

    expect_that!(imbalance(&slow, &map, &even), lt(before / 1.5));
}

#[gtest]
fn target_imbalance_gives_the_target_pass_length_within_bounds() {
    let times = |now: u64| PassTimes {
        idle: Duration::from_millis(30),
        current: Duration::from_millis(now),
        target: Duration::from_millis(60),
    };

    expect_that!(target_imbalance(times(90), 3.0), near(1.5, 1e-9));
    expect_that!(target_imbalance(times(40), 1.2), eq(1.7));
    expect_that!(target_imbalance(times(500), 1.2), eq(1.06));
}

#[gtest]
fn max_loads_per_rank_fits_the_load_time_of_a_switch() {
    let ms = Duration::from_millis;

    // Experts of 2.5 GB, of 400 MB and of 170 MB at 180 Gbit/s.
    expect_that!(max_loads_per_rank(16, ms(111), 3.0), eq(1));
    expect_that!(max_loads_per_rank(16, ms(111), 1.4), eq(2));
    expect_that!(max_loads_per_rank(72, ms(18), 3.0), eq(6));
    expect_that!(max_loads_per_rank(192, ms(7), 3.0), eq(3));
    expect_that!(max_loads_per_rank(16, ms(900), 1.4), eq(1));
}
