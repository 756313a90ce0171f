//! What callers get of event streams with random events, faults and cuts is a prefix without a gap, and
//! the place at which a stream goes on is the last event that was delivered.

use googletest::prelude::*;
use jj_direct::{
    event_sequence::{Delivered, EventSequence, StreamFault},
    event_stream::MAX_EVENT_BYTES,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Number of random streams.
const STREAMS: u64 = 3_000;

/// An event of a stream.
#[derive(Debug, Clone)]
struct Event {
    id: Option<u64>,
    text: String,
}

/// Returns the events of a stream with increasing ids: pieces, with comments among them and, if asked for,
/// pieces without an id.
fn random_events(rng: &mut impl Rng, with_unnumbered: bool) -> Vec<Event> {
    let mut id = 0;
    let count = rng.random_range(0..12);
    let event = |_| {
        let end = ["\n", "\r\n"][rng.random_range(0..2)];
        let kinds = if with_unnumbered { 6 } else { 5 };
        match rng.random_range(0..kinds) {
            0 => Event {
                id: None,
                text: format!(": wait{end}{end}"),
            },
            5 => Event {
                id: None,
                text: format!("data: piece without a number{end}{end}"),
            },
            _ => {
                id += rng.random_range(1..4);
                Event {
                    id: Some(id),
                    text: format!("id: {id}{end}data: piece {id}{end}{end}"),
                }
            }
        }
    };
    (0..count).map(event).collect()
}

/// Returns an event that may not follow the given ones, and the fault that it is.
fn faulty_event(rng: &mut impl Rng, before: &[Event]) -> (String, StreamFault) {
    let last = before.iter().rev().find_map(|it| it.id);
    match last {
        Some(last) if rng.random() => {
            let id = rng.random_range(0..=last);
            (
                format!("id: {id}\ndata: again\n\n"),
                StreamFault::IdNotAbove,
            )
        }
        _ => {
            let data = "x".repeat(MAX_EVENT_BYTES + 1);
            (format!("data: {data}\n\n"), StreamFault::EventTooLong)
        }
    }
}

/// Returns bytes in random parts; in single bytes now and then.
fn random_parts<'a>(rng: &mut impl Rng, bytes: &'a [u8]) -> Vec<&'a [u8]> {
    let longest = match rng.random_range(0..4) {
        0 => 1,
        1 => bytes.len().max(1),
        _ => rng.random_range(1..60),
    };
    let mut parts = Vec::new();
    let mut rest = bytes;
    while !rest.is_empty() {
        let length = rng.random_range(1..=longest.min(rest.len()));
        let (part, later) = rest.split_at(length);
        parts.push(part);
        rest = later;
    }
    parts
}

/// Reads a response; returns what it delivers, how far that is, and its fault.
fn read<'a>(
    delivered: Delivered,
    parts: impl IntoIterator<Item = &'a [u8]>,
) -> (Vec<u8>, Delivered, Option<StreamFault>) {
    let mut sequence = EventSequence::after(delivered);
    let (mut text, mut delivered) = (Vec::new(), delivered);
    for part in parts {
        sequence.push(part);
        let events = sequence.take_events();
        if !events.is_empty() {
            delivered = events.delivered;
            text.extend_from_slice(&events.into_bytes());
        }
        if sequence.fault().is_some() {
            break;
        }
    }
    (text, delivered, sequence.fault())
}

fn text_of(events: &[Event]) -> Vec<u8> {
    let texts: String = events.iter().map(|it| it.text.as_str()).collect();
    texts.into_bytes()
}

/// Guards against sound events that are dropped since a fault came in the same read (ORDER).
#[gtest]
fn all_events_before_a_fault_are_delivered_however_the_bytes_are_cut() {
    for seed in 0..STREAMS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let events = random_events(&mut rng, true);
        let sound = &events[..rng.random_range(0..=events.len())];
        let (fault_text, expected_fault) = faulty_event(&mut rng, sound);
        let mut bytes = text_of(sound);
        bytes.extend(fault_text.bytes());
        bytes.extend(text_of(&events[sound.len()..]));
        let parts = match expected_fault {
            // Cuts of single bytes of a long event take long.
            StreamFault::EventTooLong => vec![&bytes[..]],
            StreamFault::IdNotAbove => random_parts(&mut rng, &bytes),
        };

        let (text, delivered, fault) = read(Delivered::default(), parts);

        let last_id = sound.iter().rev().find_map(|it| it.id);
        let after_last = sound.iter().rev().take_while(|it| it.id.is_none());
        let has_unnumbered = after_last.clone().any(|it| it.text.starts_with("data"));
        expect_that!(text, eq(&text_of(sound)), "seed {seed}");
        expect_that!(fault, some(eq(expected_fault)), "seed {seed}");
        expect_that!(delivered.last_id, eq(last_id), "seed {seed}");
        expect_that!(delivered.is_resumable(), eq(!has_unnumbered), "seed {seed}");
    }
}

/// Guards against a stream that was resumed and lacks a piece or has one twice (ORDER).
#[gtest]
fn stream_that_is_resumed_where_it_was_delivered_has_each_piece_once() {
    let mut resumed = 0;
    for seed in 0..STREAMS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let events = random_events(&mut rng, false);
        let pieces: Vec<u64> = events.iter().filter_map(|it| it.id).collect();
        let (mut text, mut delivered) = (Vec::new(), Delivered::default());
        let mut is_whole = false;
        for _ in 0..20 {
            let after = delivered.last_id;
            let rest: Vec<Event> = events
                .iter()
                .filter(|it| it.id.is_none() || it.id > after)
                .cloned()
                .collect();
            // The response breaks off, with a fault or inside an event, or is whole.
            let count = rng.random_range(0..=rest.len());
            let mut bytes = text_of(&rest[..count]);
            if count < rest.len() {
                let has_id = after.is_some() || rest[..count].iter().any(|it| it.id.is_some());
                let next = match has_id && rng.random() {
                    true => "id: 0\ndata: earlier\n\n".to_owned(),
                    false => rest[count].text[..rest[count].text.len() - 1].to_owned(),
                };
                bytes.extend(next.bytes());
            }
            let (more, now, _) = read(delivered, random_parts(&mut rng, &bytes));
            text.extend(more);
            delivered = now;
            is_whole = count == rest.len();
            if is_whole {
                break;
            }
            resumed += 1;
        }

        let text = String::from_utf8(text).unwrap();
        let ids = text.lines().filter_map(|it| it.strip_prefix("id: "));
        let ids: Vec<u64> = ids.map(|it| it.trim().parse().unwrap()).collect();
        expect_that!(pieces.starts_with(&ids), eq(true), "seed {seed}: {ids:?}");
        expect_that!(is_whole, eq(ids == pieces), "seed {seed}: {ids:?}");
    }
    expect_that!(resumed, gt(STREAMS));
}

/// Guards against an id that is lost beside bytes that are no text, so that its piece comes twice.
#[gtest]
fn id_is_read_beside_bytes_that_are_no_text() {
    let bytes = b"id: 7\ndata: \xff\xfe\n\n";

    let (text, delivered, fault) = read(Delivered::default(), [&bytes[..]]);

    expect_that!(text, eq(bytes));
    expect_that!(delivered.last_id, some(eq(7)));
    expect_that!(fault, none());
}
