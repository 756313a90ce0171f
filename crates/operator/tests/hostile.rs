//! Malformed input: seeded mutations of files and publications never panic, and every finding names
//! its location.

use std::{path::Path, sync::Arc};

use googletest::prelude::*;
use jj_operator::{
    check::{FileText, check_directory, check_files},
    files::FileDefaults,
    published::{Bundle, Published, digest_of},
    status_text::status_text,
};
use rand::{Rng, RngExt};
use rand_pcg::Pcg64Mcg;

const SEED: u128 = 41;
const ROUNDS: usize = 4_000;

/// Fragments that often break parsers.
const PIECES: &[&[u8]] = &[
    b"\0",
    b"\xff\xfe",
    b"[[",
    b"]]",
    b"\"",
    b"'''",
    b"\"\"\"",
    b"{",
    b"}",
    b"=",
    b".",
    b"#",
    b"\r",
    b"\n",
    b"-1",
    b"99999999999999999999",
    b"1e999",
    b"nan",
    b"null",
    b"true",
    b"\\u0000",
    b"\\ud800",
    b"[a.b.c.d]",
    b"a.a.a.a = 1\n",
    b"[domains]\n",
    b"[[domains]]\n",
    b"[accounts.\"\"]\n",
    b"0x7f",
    b"1979-05-27",
    "\u{202e}".as_bytes(),
    "\u{1F3C3}".as_bytes(),
    b"../../..",
    b"**",
    b"*",
];

fn mutate(bytes: &mut Vec<u8>, random: &mut impl Rng) {
    for _ in 0..random.random_range(1..5) {
        let at = random.random_range(0..=bytes.len());
        let end = random.random_range(at..=bytes.len().min(at + 40));
        match random.random_range(0..5) {
            0 => _ = bytes.drain(at..end),
            1 => bytes.insert(at, random.random()),
            2 => bytes.truncate(at),
            3 => {
                let copy = bytes[at..end].to_vec();
                bytes.splice(at..at, copy);
            }
            _ => {
                let piece = PIECES[random.random_range(0..PIECES.len())];
                bytes.splice(at..at, piece.iter().copied());
            }
        }
    }
}

fn example_directory() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/hangang")
}

fn example_files() -> Vec<FileText> {
    let names = ["fleet", "accounts", "assistant", "desk"];
    let read = |name: &str| {
        let path = example_directory().join(name).join("jujube.toml");
        FileText {
            name: name.to_owned(),
            bytes: std::fs::read(path).expect("the example is sound"),
        }
    };
    names.map(read).into()
}

fn example_bundle() -> Bundle {
    check_directory(&example_directory())
        .expect("the example is sound")
        .expect("the example is sound")
        .bundle
}

#[gtest]
fn mutated_files_are_accepted_or_refused_with_a_location() {
    let mut random = Pcg64Mcg::new(SEED);
    let (mut sound, mut refused) = (0, 0);

    for _ in 0..ROUNDS {
        let mut files = example_files();
        let chosen = random.random_range(0..files.len());
        mutate(&mut files[chosen].bytes, &mut random);

        match check_files(files, &FileDefaults::default()) {
            Ok(collected) => {
                sound += 1;
                // Every process accepts what the check accepts.
                let published = Published::parse(1, Arc::new(collected.bundle));
                expect_that!(published.is_ok(), eq(true));
            }
            Err(findings) => {
                refused += 1;
                expect_that!(findings, not(is_empty()));
                for finding in &findings {
                    expect_that!(finding.file, not(eq("")));
                    expect_that!(finding.reason, not(eq("")));
                }
            }
        }
    }

    println!("{sound} sound, {refused} refused");
    expect_that!(refused, gt(ROUNDS / 2));
}

#[gtest]
fn documents_with_altered_bytes_are_refused() {
    let mut random = Pcg64Mcg::new(SEED);
    let whole = example_bundle();

    for _ in 0..ROUNDS {
        let mut bundle = whole.clone();
        let chosen = random.random_range(0..bundle.documents.len());
        let text = bundle.documents.values_mut().nth(chosen).unwrap();
        let mut bytes = text.clone().into_bytes();
        mutate(&mut bytes, &mut random);
        let altered = String::from_utf8_lossy(&bytes).into_owned();
        let same = altered == *text;
        *text = altered;

        let refused = Published::parse(7, Arc::new(bundle)).is_err();

        expect_that!(refused, eq(!same));
    }
}

#[gtest]
fn mutated_documents_with_matching_digests_never_panic_and_give_one_result() {
    let mut random = Pcg64Mcg::new(SEED);
    let whole = example_bundle();

    for _ in 0..ROUNDS {
        let mut bundle = Bundle::default();
        let mut manifest = whole.manifest.clone();
        let chosen = random.random_range(0..=whole.documents.len());
        for (position, (digest, text)) in whole.documents.iter().enumerate() {
            let mut bytes = text.clone().into_bytes();
            if position == chosen {
                mutate(&mut bytes, &mut random);
            }
            let text = String::from_utf8_lossy(&bytes).into_owned();
            let altered = digest_of(text.as_bytes());
            manifest = manifest.replace(digest.as_str(), &altered);
            bundle.documents.insert(altered, text);
        }
        if chosen == whole.documents.len() {
            let mut bytes = manifest.into_bytes();
            mutate(&mut bytes, &mut random);
            manifest = String::from_utf8_lossy(&bytes).into_owned();
        }
        bundle.manifest = manifest;
        let bundle = Arc::new(bundle);

        let first = Published::parse(7, bundle.clone());
        let second = Published::parse(7, bundle);

        expect_that!(first, eq(&second));
        if let Err(refusal) = first {
            expect_that!(refusal.findings, not(is_empty()));
        }
    }
}

#[gtest]
fn status_text_removes_control_characters() {
    let value = serde_json::json!({"a\u{1b}[2J": {"b": ["\u{7}\n", null, 1]}});

    let text = status_text(&value);

    expect_that!(
        text.chars()
            .any(|letter| letter.is_control() && letter != '\n'),
        eq(false)
    );
    expect_that!(text.lines().count(), eq(5));
}
