//! Classification of stream tokens: only tokens of the stream are forwarded, once each, in order.

use googletest::prelude::*;
use jj_backend::stream::{ChunkPosition, TokenOrder};

fn chunk(id: &str, index: u64) -> String {
    format!(r#"{{"id":"{id}","index":{index},"choices":[{{"index":0,"delta":{{}}}}]}}"#)
}

/// Returns the tokens that reach the caller, and whether a gap ended the stream.
fn delivered(order: &mut TokenOrder, chunks: &[(&str, u64)]) -> (Vec<u64>, bool) {
    let mut tokens = Vec::new();
    for (id, index) in chunks {
        match order.classify(&chunk(id, *index)) {
            ChunkPosition::Next => tokens.push(*index),
            ChunkPosition::Stray => {}
            ChunkPosition::Gap => return (tokens, true),
        }
    }
    (tokens, false)
}

#[gtest]
fn foreign_or_repeated_tokens_are_dropped_and_a_gap_ends_the_stream() {
    let own = "r1";
    let vendor = "chatcmpl-r1";
    let cases = [
        ("in order", 0, vec![(own, 0), (own, 1)], vec![0, 1], false),
        (
            "prefixed id",
            0,
            vec![(vendor, 0), (vendor, 1)],
            vec![0, 1],
            false,
        ),
        (
            "doubled",
            0,
            vec![(own, 0), (own, 0), (own, 1)],
            vec![0, 1],
            false,
        ),
        (
            "crossed",
            0,
            vec![("r2", 0), (own, 0), ("r2", 1)],
            vec![0],
            false,
        ),
        (
            "late",
            0,
            vec![(own, 0), (own, 1), (own, 0)],
            vec![0, 1],
            false,
        ),
        ("missing", 0, vec![(own, 0), (own, 2)], vec![0], true),
        ("resumed", 5, vec![(own, 4), (own, 5)], vec![5], false),
    ];
    for (name, first, chunks, expected, gap) in cases {
        let mut order = TokenOrder::new(Some(own.into()), first);
        let seen = delivered(&mut order, &chunks);
        expect_that!(seen, eq(&(expected, gap)), "{name}");
    }
}

#[gtest]
fn chunks_without_known_id_or_index_are_all_forwarded() {
    // The chunks of an engine that neither uses our request ids nor numbers its tokens can't be
    // checked.
    let mut order = TokenOrder::new(None, 0);
    expect_that!(order.classify(r#"{"id":"r2"}"#), eq(ChunkPosition::Next));
    expect_that!(order.classify("not json"), eq(ChunkPosition::Next));
}
