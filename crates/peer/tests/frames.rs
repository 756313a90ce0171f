//! Frames arrive as they were sent, whatever their kind and however they are cut into pieces.

use std::time::Duration;

use bytes::BytesMut;
use googletest::prelude::*;
use jj_peer::{
    cache_events::{CacheChangeWire, CacheEventWire},
    frames::{self, Data, Failure, Frame, FrameReader, Head, Header},
};
use jj_policy::{cache_log::MAX_BATCH_EVENTS, verdict::Verdict};

fn every_kind() -> Vec<Frame> {
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
fn each_frame_is_read_as_it_was_written() {
    let sent = every_kind();
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

/// Bytes a second that a node may spend on control, over the answers a second that an entry gets at
/// the size to come.
const BYTES_OF_NEWS: usize = 3_000 / 3;

#[gtest]
fn a_full_batch_of_cache_news_fits_the_limit_for_control() {
    let event = |seq| CacheEventWire {
        seq: 2_000_000_000_000 + seq,
        change: CacheChangeWire::Stored(u64::MAX - seq),
    };
    let news = (0..MAX_BATCH_EVENTS as u64).map(event).collect();
    let mut bytes = BytesMut::new();

    let encoded = frames::encode(&Frame::Cache(news), &mut bytes);

    println!("{} bytes", bytes.len());
    expect_that!(encoded, ok(anything()));
    expect_that!(bytes.len(), le(BYTES_OF_NEWS));
}
