//! Encoding and decoding of frames: round trip of every kind in pieces of any size, and the size
//! of a full batch of cache events.

use std::time::Duration;

use bytes::BytesMut;
use googletest::prelude::*;
use jj_peer::{
    cache_events::{CacheChangeWire, CacheEventWire},
    frames::{self, Data, Failure, Frame, FrameReader, Head, Header},
};
use jj_policy::{cache_log::MAX_BATCH_EVENTS, verdict::Verdict};

fn frames_of_every_kind() -> Vec<Frame> {
    let not_run = Verdict::NotRun {
        retry_after: Duration::from_millis(200),
    };
    let verdicts = [not_run, Verdict::MayHaveRun, Verdict::Ran];
    let failed = verdicts.map(|verdict| Frame::Failed(Failure::new(verdict, "reason")));
    let header = Header {
        name: "content-type".into(),
        value: "text/plain".into(),
    };
    let mut all = vec![
        Frame::Head(Head {
            status: 200,
            headers: vec![header],
        }),
        Frame::Data(Data {
            index: 7,
            bytes: b"token".to_vec(),
        }),
        Frame::Cache(vec![CacheEventWire {
            seq: 3,
            change: CacheChangeWire::Stored(9),
        }]),
        Frame::Progress,
        Frame::End { count: 8 },
    ];
    all.extend(failed);
    all
}

#[gtest]
fn frames_are_decoded_as_encoded_for_any_split() {
    let sent = frames_of_every_kind();
    let mut bytes = BytesMut::new();
    for frame in &sent {
        expect_that!(frames::encode(frame, &mut bytes), ok(anything()));
    }
    for piece in [1, 3, bytes.len()] {
        let mut reader = FrameReader::default();
        let mut read = Vec::new();
        for part in bytes.chunks(piece) {
            reader.push(part);
            while let Ok(Some(frame)) = reader.next_frame() {
                read.push(frame);
            }
        }
        expect_that!(read, eq(&sent), "in pieces of {piece}");
    }
}

/// Maximum bytes of cache events per response: the control traffic that a node may use per second,
/// 3,000 bytes, divided by the 3 responses per second that an entry receives at the target fleet
/// size.
const MAX_CACHE_EVENT_BYTES: usize = 3_000 / 3;

#[gtest]
fn full_batch_of_cache_events_fits_the_control_traffic_limit() {
    let event = |seq| CacheEventWire {
        seq: 2_000_000_000_000 + seq,
        change: CacheChangeWire::Stored(u64::MAX - seq),
    };
    let events = (0..MAX_BATCH_EVENTS as u64).map(event).collect();
    let mut bytes = BytesMut::new();

    let encoded = frames::encode(&Frame::Cache(events), &mut bytes);

    println!("{} bytes", bytes.len());
    expect_that!(encoded, ok(anything()));
    expect_that!(bytes.len(), le(MAX_CACHE_EVENT_BYTES));
}
