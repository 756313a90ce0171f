//! How bodies of requests share memory: the bound holds whatever comes, and small ones find their part.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::body_memory::{BodyId, BodyMemory, BodyMemoryConfig, BodyRefusal};
use proptest::test_runner::TestRunner;

const SEGMENT: usize = 64 * 1024;
const MEBIBYTE: usize = 1 << 20;
const START: Duration = Duration::from_secs(100);

fn config() -> BodyMemoryConfig {
    BodyMemoryConfig {
        capacity: 16 * MEBIBYTE,
        ..BodyMemoryConfig::default()
    }
}

fn after(millis: u64) -> Duration {
    START + Duration::from_millis(millis)
}

/// Lets a body grow in segments up to a size; returns whether it did, and who was given up.
fn grow_to(
    memory: &mut BodyMemory,
    now: Duration,
    id: BodyId,
    bytes: usize,
) -> std::result::Result<Vec<BodyId>, BodyRefusal> {
    let mut given_up = Vec::new();
    while memory.held_by(id) < bytes {
        let more = SEGMENT.min(bytes - memory.held_by(id));
        given_up.extend(memory.grow(now, id, more)?);
        memory.record_progress(now, id);
    }
    Ok(given_up)
}

/// The memory that a process took before this account: all that is sent, without a bound.
fn naive_total(bodies: usize, bytes: usize) -> usize {
    bodies * bytes
}

#[gtest]
fn crowd_of_large_bodies_stays_within_the_memory_and_small_ones_are_received() {
    let mut memory = BodyMemory::new(config());
    let crowd: Vec<BodyId> = (0..48).map(|_| memory.begin(START, 1)).collect();
    for round in 1..=64 {
        for id in &crowd {
            // What is refused here has been given up earlier, or is given up now.
            if grow_to(&mut memory, START, *id, round * SEGMENT).is_err() {
                memory.end(*id);
            }
        }
    }

    let small: Vec<BodyId> = (0..128).map(|_| memory.begin(START, 2)).collect();
    let received = small
        .iter()
        .filter(|it| memory.grow(START, **it, 32 * 1024).is_ok());

    expect_that!(received.count(), eq(128));
    expect_that!(memory.held(), le(16 * MEBIBYTE));
    expect_that!(naive_total(48, 4 * MEBIBYTE), gt(16 * MEBIBYTE));
}

#[gtest]
fn body_without_progress_gives_way_first() {
    let mut memory = BodyMemory::new(config());
    let stalled = memory.begin(START, 1);
    let active = memory.begin(START, 1);
    expect_that!(
        grow_to(&mut memory, START, stalled, 4 * MEBIBYTE),
        ok(anything())
    );
    expect_that!(
        grow_to(&mut memory, after(2_500), active, 8 * MEBIBYTE),
        ok(anything())
    );

    let next = memory.begin(after(2_500), 1);
    let given_up = grow_to(&mut memory, after(2_500), next, 4 * MEBIBYTE);

    expect_that!(given_up, ok(eq(&vec![stalled])));
    // Its last bytes may arrive at the same moment, on another thread.
    expect_that!(memory.complete(stalled), eq(false));
}

#[gtest]
fn largest_body_of_the_owner_with_most_gives_way() {
    let mut memory = BodyMemory::new(config());
    let caller = memory.begin(START, 2);
    expect_that!(
        grow_to(&mut memory, START, caller, 3 * MEBIBYTE),
        ok(anything())
    );
    let crowd: Vec<BodyId> = (0..9).map(|_| memory.begin(START, 1)).collect();
    for id in &crowd {
        expect_that!(grow_to(&mut memory, START, *id, MEBIBYTE), ok(anything()));
    }

    let given_up = grow_to(&mut memory, START, caller, 4 * MEBIBYTE);

    expect_that!(given_up, ok(len(eq(1))));
    expect_that!(memory.held_by(caller), eq(4 * MEBIBYTE));
}

#[gtest]
fn complete_body_is_kept_and_what_can_never_fit_is_told_apart() {
    let mut memory = BodyMemory::new(config());
    let complete = memory.begin(START, 1);
    expect_that!(
        grow_to(&mut memory, START, complete, 12 * MEBIBYTE),
        ok(anything())
    );
    expect_that!(memory.complete(complete), eq(true));
    let later = after(60_000);

    let next = memory.begin(later, 2);
    let short = memory.grow(later, next, MEBIBYTE);
    let never = memory.grow(later, next, 13 * MEBIBYTE);
    memory.end(complete);
    let fits = memory.grow(later, next, MEBIBYTE);

    expect_that!(short, err(eq(&BodyRefusal::Short)));
    expect_that!(never, err(eq(&BodyRefusal::NeverFits)));
    expect_that!(fits, ok(is_empty()));
}

/// A step of a random play: which body, and what happens to it.
type Step = (usize, u8, usize, u64);

/// Checks that a random play keeps the bound, ends with nothing held, and refuses no small body while
/// the part for small ones has room.
fn check_play(steps: &[Step]) {
    let config = config();
    let mut memory = BodyMemory::new(config);
    let mut bodies: Vec<BodyId> = Vec::new();
    let mut now = START;
    for (number, action, bytes, millis) in steps {
        now += Duration::from_millis(*millis);
        let chosen = bodies.get(number % bodies.len().max(1)).copied();
        match (action, chosen) {
            (0..=1, _) | (_, None) => bodies.push(memory.begin(now, *number as u64 % 3)),
            (2, Some(id)) => assert!(memory.complete(id)),
            (3, Some(id)) => {
                memory.end(id);
                bodies.retain(|it| *it != id);
            }
            (4, Some(id)) => memory.shrink(id, *bytes),
            (_, Some(id)) => {
                let wanted = memory.held_by(id) + bytes;
                let held_small: usize = bodies
                    .iter()
                    .map(|it| memory.held_by(*it))
                    .filter(|it| *it <= config.small_bytes)
                    .sum();
                let small_capacity = config.capacity - config.large_capacity();
                let has_room = wanted <= config.small_bytes && held_small + bytes <= small_capacity;
                match memory.grow(now, id, *bytes) {
                    Ok(given_up) => bodies.retain(|it| !given_up.contains(it)),
                    Err(_) => assert!(!has_room, "a small body was refused"),
                }
            }
        }
        assert!(
            memory.held() <= config.capacity,
            "{} bytes held",
            memory.held()
        );
        let sum: usize = bodies.iter().map(|it| memory.held_by(*it)).sum();
        assert_eq!(sum, memory.held(), "held by bodies and in all");
    }
    for id in bodies {
        memory.end(id);
    }
    assert_eq!(memory.held(), 0, "held by nothing");
    let single = memory.begin(now, 9);
    assert!(
        grow_to(&mut memory, now, single, 4 * MEBIBYTE).is_ok(),
        "a single body in calm"
    );
}

#[gtest]
fn no_random_play_exceeds_the_memory_or_refuses_a_small_body_that_fits() {
    let step = (0_usize..200, 0_u8..12, 1_usize..200_000, 0_u64..400);
    let steps = proptest::collection::vec(step, 1..600);

    let result = TestRunner::default().run(&steps, |steps| {
        check_play(&steps);
        Ok(())
    });

    expect_that!(result, ok(anything()));
}
