//! Frames arrive as they were sent, whatever their kind and however they are cut into pieces.

use std::time::Duration;

use bytes::BytesMut;
use googletest::prelude::*;
use jj_peer::frames::{self, Data, Failure, Frame, FrameReader, Head, Header};
use jj_policy::verdict::Verdict;

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
