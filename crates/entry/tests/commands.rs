//! Exit codes and output streams of the operator commands.

use std::{
    path::PathBuf,
    process::{Command, Output},
};

use googletest::prelude::*;

fn run(args: &[&str]) -> Output {
    let binary = env!("CARGO_BIN_EXE_jujubejunction");
    Command::new(binary).args(args).output().unwrap()
}

fn example(name: &str) -> String {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/");
    format!("{root}{name}")
}

fn broken_directory() -> PathBuf {
    let directory = std::env::temp_dir().join(format!("jujube-commands-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let text = "service = \"Desk\"\nkind = \"grpc\"\n";
    std::fs::write(directory.join("jujube.toml"), text).unwrap();
    directory
}

#[gtest]
fn exit_codes_distinguish_sound_findings_and_failure() {
    let broken = broken_directory();
    let broken = broken.to_str().unwrap();
    let (hangang, kalahari) = (example("hangang"), example("kalahari"));
    let cases: &[(&[&str], i32)] = &[
        (&["--version"], 0),
        (&["--help"], 0),
        (&["check", &hangang], 0),
        (&["check", &kalahari, "--json"], 0),
        (&["check", broken], 1),
        (&["check", broken, "--json"], 1),
        (&["collect", broken], 1),
        (&["check", "/nonexistent"], 2),
        (&["collect", "/nonexistent"], 2),
        (&["check"], 2),
        (&["publish"], 2),
        (&["status", "127.0.0.1:1"], 2),
        (&["status", "somewhere"], 2),
    ];
    for (args, code) in cases {
        let output = run(args);

        expect_that!(output.status.code(), some(eq(*code)), "{args:?}");
        expect_that!(output.stdout.len() + output.stderr.len(), gt(0), "{args:?}");
    }
    std::fs::remove_dir_all(broken).unwrap();
}

#[gtest]
fn collect_prints_only_a_reproducible_bundle_on_stdout() {
    let first = run(&["collect", &example("hangang")]);
    let second = run(&["collect", &example("hangang")]);

    expect_that!(first.stdout == second.stdout, eq(true));
    let bundle: serde_json::Value = serde_json::from_slice(&first.stdout).unwrap();
    expect_that!(bundle["manifest"].is_string(), eq(true));
}

#[gtest]
fn configuration_page_documents_every_serve_flag() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/CONFIGURATION.md");
    let page = std::fs::read_to_string(path).unwrap();
    let help = String::from_utf8(run(&["serve", "--help"]).stdout).unwrap();

    let words = help
        .split_whitespace()
        .filter(|word| word.starts_with("--"));
    let missing: Vec<&str> = words
        .map(|word| word.trim_end_matches(|letter: char| !letter.is_ascii_alphabetic()))
        .filter(|flag| !["--help", "--version"].contains(flag) && !page.contains(flag))
        .collect();

    expect_that!(missing, is_empty());
}

#[gtest]
fn limits_of_an_entry_that_are_too_low_are_named() {
    let required = "serve --instance a --domain b --platform http://127.0.0.1:1 \
        --traffic-addr 127.0.0.1:0 --control-addr 127.0.0.1:0 --operator-addr 127.0.0.1:0";
    let cases = [
        ("--memory 63999999", "--memory: must be at least 64000000"),
        ("--max-fds 299", "--max-fds: must be at least 300"),
        (
            "--max-body 16777216 --memory 64000000",
            "--max-body: must be at most 3600000 with this --memory",
        ),
    ];
    for (flags, expected) in cases {
        let words = required.split_whitespace();
        let args: Vec<&str> = words.chain(flags.split(' ')).collect();

        let output = run(&args);

        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        expect_that!(output.status.code(), some(eq(2)), "{flags}");
        expect_that!(message, contains_substring(expected), "{flags}");
    }
}
