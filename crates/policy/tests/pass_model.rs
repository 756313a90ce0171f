//! How many requests a lock-step group is given, replayed over passes as they were seen.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::pass_model::{PassConfig, PassModel, PassSpec, StreamPassEstimator};
use serde_json::Value;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A group of 72 ranks as on the larger deployments.
fn spec() -> PassSpec {
    PassSpec {
        ranks: 72,
        max_event_gap: ms(120),
        tokens_per_pass: 7,
        idle_pass: Duration::from_micros(33_880),
        time_per_request: Duration::from_micros(3_045),
        time_per_million_prompt_tokens: ms(13_369),
        expert_share_milli: 850,
        slowdown_milli: 1_000,
    }
}

/// A group that is observed pass by pass.
struct Replay {
    model: PassModel,
    now: Duration,
}

impl Replay {
    fn new() -> Self {
        Self {
            model: PassModel::default(),
            now: ms(1_000),
        }
    }

    /// Passes of these lengths, each with so many requests at work.
    fn passes(&mut self, requests: u32, lengths: &[u64]) {
        for length in lengths {
            self.now += ms(*length);
            let config = PassConfig::default();
            self.model
                .record_pass(&config, &spec(), self.now, ms(*length), requests);
        }
    }

    fn has_room(&self, requests: u32) -> bool {
        let config = PassConfig::default();
        self.model
            .forecast(&config, &spec(), self.now, requests, 800)
            .has_room
    }

    /// Most requests that the group is given.
    fn most(&self) -> u32 {
        (0..720)
            .find(|requests| !self.has_room(*requests))
            .unwrap_or(720)
    }
}

/// Passes of a balanced group with 416 requests, recorded before a switch whose orders were lost.
const BALANCED: [u64; 6] = [62, 64, 63, 65, 62, 64];

#[gtest]
fn a_single_pass_that_was_held_up_takes_no_room() {
    let mut replay = Replay::new();
    replay.passes(416, &BALANCED);
    let before = replay.most();

    // Recorded: the pass of a switch whose orders were lost, and those after it.
    replay.passes(416, &[188, 74, 69, 63, 62, 62]);

    expect_that!(replay.most(), ge(before * 9 / 10));
}

#[gtest]
fn passes_that_stay_long_take_room_until_the_imbalance_has_faded() {
    let mut replay = Replay::new();
    replay.passes(416, &BALANCED);
    let before = replay.most();

    // Recorded: a shift of demand, 0.9 s until the map had followed.
    replay.passes(416, &[88, 104, 106, 86, 99, 97, 88, 74, 62, 63, 62]);
    let after = replay.most();
    for _ in 0..40 {
        replay.passes(after, &BALANCED);
    }

    expect_that!(after, lt(before));
    expect_that!(replay.most(), gt(after));
}

#[gtest]
fn room_is_kept_for_shifts_that_follow_each_other() {
    let mut replay = Replay::new();
    // Recorded: a rank that works 1.6 times slower, and a shift of demand each 4.1 s.
    replay.passes(400, &[83, 84, 110, 112, 109, 103, 87, 84]);
    let after = replay.most();

    for _ in 0..48 {
        replay.passes(400, &[83]);
    }

    expect_that!(replay.most(), eq(after));
}

#[gtest]
fn what_is_given_leaves_room_for_the_next_shift_of_demand() {
    let mut replay = Replay::new();
    replay.passes(416, &[88, 104, 106, 86, 62, 63, 62, 64]);

    let most = f64::from(replay.most());

    // The next shift is as uneven as this one: 3.9 times the mean.
    let even = 0.85 * 3.045 * most / 72.0;
    let own = 0.15 * 3.045 * most / 72.0 * 1.3;
    expect_that!(33.9 + own + 3.9 * even, le(120.0));
    expect_that!(most, ge(416.0));
}

#[gtest]
fn a_long_prompt_has_to_wait_for_a_pass_without_others() {
    let mut replay = Replay::new();
    replay.passes(416, &[88, 104, 106, 100]);

    replay.model.record_prompt(replay.now, 150_000);

    expect_that!(replay.has_room(300), eq(false));
    replay.now += ms(150);
    expect_that!(replay.has_room(300), eq(true));
}

#[gtest]
fn a_few_requests_for_each_server_are_always_allowed() {
    let mut replay = Replay::new();
    replay.passes(416, &[119, 119, 119, 119]);

    expect_that!(replay.has_room(215), eq(true));
    expect_that!(replay.has_room(416), eq(false));
}

#[gtest]
fn a_group_that_can_not_be_on_time_is_filled() {
    let mut replay = Replay::new();

    // Recorded: a rank that works twelve times slower than usual.
    replay.passes(230, &[900, 880, 910, 900]);

    expect_that!(replay.has_room(700), eq(true));
}

#[gtest]
fn the_length_of_a_pass_is_what_most_streams_see() {
    let mut meter = StreamPassEstimator::default();

    let told: Vec<Option<Duration>> = [64, 190, 65, 64, 66]
        .iter()
        .map(|pause| meter.record_gap(ms(1_000), ms(*pause)))
        .collect();
    let next = [70, 71, 69].map(|pause| meter.record_gap(ms(1_070), ms(pause)));

    expect_that!(
        told,
        elements_are![none(), none(), some(eq(&ms(65))), none(), none()]
    );
    expect_that!(next[2], some(eq(ms(70))));
}

/// Passes that an entry saw after a group of twelve ranks had formed anew, recorded in an incident.
const FORMATION: &str = include_str!("traces/passes_after_formation.json");

/// Plays the recorded passes; the moments in milliseconds at which one more request had no room though
/// the last pass was short.
fn turned_away(note_formation: bool) -> Vec<u64> {
    /// Length of a pass, in milliseconds, that leaves room for more at a gap of 120 ms.
    const SHORT: u64 = 70;
    let spec = PassSpec {
        ranks: 12,
        max_event_gap: ms(120),
        tokens_per_pass: 6,
        idle_pass: Duration::from_micros(29_040),
        time_per_request: Duration::from_micros(2_172),
        time_per_million_prompt_tokens: ms(13_369),
        expert_share_milli: 850,
        slowdown_milli: 1_000,
    };
    let config = PassConfig::default();
    let trace: Value = serde_json::from_str(FORMATION).unwrap();
    let mut model = PassModel::default();
    if note_formation {
        model.record_formation(ms(trace["formed_ms"].as_u64().unwrap()));
    }
    let mut found = Vec::new();
    for seen in trace["passes"].as_array().unwrap() {
        let number = |name: &str| seen[name].as_u64().unwrap();
        let (now, pass, requests) = (
            ms(number("at_ms")),
            number("pass_ms"),
            number("requests") as u32,
        );
        model.record_pass(&config, &spec, now, ms(pass), requests);
        let forecast = model.forecast(&config, &spec, now, requests, 700);
        if pass < SHORT && !forecast.has_room {
            found.push(number("at_ms"));
        }
    }
    found
}

#[gtest]
fn the_imbalance_of_a_group_that_has_just_formed_is_not_expected_back() {
    let naive = turned_away(false);
    let turned_away = turned_away(true);

    expect_that!(naive.len(), gt(30));
    expect_that!(turned_away, eq(&Vec::<u64>::new()));
}

#[gtest]
fn long_passes_tell_their_length_once_a_second_one_has_followed() {
    let mut meter = StreamPassEstimator::default();
    let told = |meter: &mut StreamPassEstimator, passes: &[u64]| -> Vec<bool> {
        let mut now = ms(10_000);
        let telling = passes.iter().map(|pass| {
            now += ms(*pass);
            meter.is_representative(&spec(), now, ms(*pass))
        });
        telling.collect()
    };

    // A group that stood still once, and one with a rank that is twelve times slower.
    let stood_still = told(&mut meter, &[64, 1_700, 66, 65]);
    let slow = told(&mut meter, &[64, 433, 428, 431, 66]);

    expect_that!(
        stood_still,
        elements_are![eq(&true), eq(&false), eq(&true), eq(&true)]
    );
    expect_that!(
        slow,
        elements_are![eq(&true), eq(&false), eq(&true), eq(&true), eq(&true)]
    );
}

/// Plays passes of a group with a slow rank and then usual ones: whether there is room in the end of
/// each.
fn room_beside_slow_rank(told: &PassSpec, slow: &[u64]) -> (bool, bool) {
    let config = PassConfig::default();
    let mut model = PassModel::default();
    let mut now = ms(10_000);
    for pass in slow {
        now += ms(*pass);
        model.record_pass(&config, told, now, ms(*pass), 620);
    }
    let while_slow = model.forecast(&config, told, now, 640, 700).has_room;
    for pass in [66, 63] {
        now += ms(pass);
        model.record_pass(&config, &spec(), now, ms(pass), 400);
    }
    let after = model.forecast(&config, &spec(), now, 400, 700).has_room;
    (while_slow, after)
}

#[gtest]
fn a_group_with_a_slow_rank_is_filled_and_has_room_again_once_it_is_gone() {
    // Recorded: one rank of 63 works twelve times slower for nine seconds.
    let recorded = [473, 468, 478, 550, 488, 540, 499, 512, 506, 595, 575, 518];
    // Drawn for one that works five times slower.
    let drawn = [212, 208, 221, 215, 209, 218];

    let twelve = room_beside_slow_rank(&spec().with_slowdown(12.0), &recorded);
    let five = room_beside_slow_rank(&spec().with_slowdown(5.0), &drawn);
    let naive = room_beside_slow_rank(&spec(), &drawn);

    expect_that!(twelve, eq((true, true)));
    expect_that!(five, eq((true, true)));
    expect_that!(naive, eq((false, false)));
}
