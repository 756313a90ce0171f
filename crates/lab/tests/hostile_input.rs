//! Bad input from callers: a clear problem document each, nothing executed, memory bounded.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context;
use googletest::prelude::*;
use jujube_lab::{
    caller::{Call, Caller, Outcome},
    fleet::{Fleet, FleetConfig, args},
    publication::API_KEY,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Largest body that the entry of these tests allows, in bytes.
const MAX_BODY: usize = 64 * 1024;

/// Longest wait for an answer; an entry gives a body ten seconds.
const LIMIT: Duration = Duration::from_secs(20);

/// Memory that a process may use at 256 open streams; hostile input must stay within it too.
const MAX_RESIDENT: u64 = 64_000_000;

/// Connections of the slow senders.
const SLOW_SENDERS: usize = 256;

async fn fleet() -> anyhow::Result<Fleet> {
    Fleet::start(FleetConfig {
        entries: 1,
        engines: 1,
        services: 1,
        entry_flags: args(["--max-body", &MAX_BODY.to_string()]),
        ..FleetConfig::default()
    })
    .await
}

/// One bad request, as bytes on the wire.
struct Case {
    name: &'static str,
    status: u16,
    request: Vec<u8>,
}

fn case(name: &'static str, status: u16, request: impl Into<Vec<u8>>) -> Case {
    Case {
        name,
        status,
        request: request.into(),
    }
}

/// A request with the API key, more header lines and a body.
fn request(line: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "{line} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {API_KEY}\r\n\
         content-length: {}\r\n{headers}\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

fn chat(body: &[u8]) -> Vec<u8> {
    request("POST /v1/chat/completions", "", body)
}

fn lookup(headers: &str) -> Vec<u8> {
    request("GET /desk/entries/1", headers, b"")
}

fn cases() -> Vec<Case> {
    let large = vec![b' '; MAX_BODY + 1];
    let long_key = format!("idempotency-key: {}\r\n", "k".repeat(201));
    let model = br#"{"model":"unknown","messages":[]}"#;
    let nobody = "GET /desk/entries/1 HTTP/1.1\r\nhost: entry\r\n";
    let chunked = format!(
        "POST /desk/claims/new HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {API_KEY}\r\n\
         transfer-encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n",
        large.len(),
        " ".repeat(large.len())
    );
    vec![
        case(
            "body over the limit",
            413,
            request("POST /desk/claims/new", "", &large),
        ),
        case("chunked body over the limit", 413, chunked),
        case("broken JSON", 400, chat(b"{\"model\": ")),
        case("JSON of another shape", 400, chat(b"[1, 2]")),
        case(
            "body that is not UTF-8",
            400,
            chat(b"{\"model\": \"\xff\xfe\"}"),
        ),
        case("empty body", 400, chat(b"")),
        case("unknown model", 404, chat(model)),
        case("unknown route", 404, request("POST /nowhere", "", b"")),
        case(
            "unknown method",
            404,
            request("BREW /desk/entries/1", "", b""),
        ),
        case(
            "wrong method for addresses",
            405,
            request("POST /v1/addresses", "", b""),
        ),
        case("no account", 401, format!("{nobody}\r\n")),
        case(
            "unknown key",
            401,
            format!("{nobody}authorization: Bearer no\r\n\r\n"),
        ),
        case(
            "unknown account",
            401,
            format!("{nobody}x-client-account: no\r\n\r\n"),
        ),
        case(
            "account without its key",
            401,
            format!("{nobody}x-client-account: members\r\n\r\n"),
        ),
        case(
            "idempotency key with spaces",
            400,
            lookup("idempotency-key: a b\r\n"),
        ),
        case(
            "empty idempotency key",
            400,
            lookup("idempotency-key: \r\n"),
        ),
        case("long idempotency key", 400, lookup(&long_key)),
        case(
            "key that is not text",
            400,
            lookup("idempotency-key: \u{e4}\r\n"),
        ),
        case(
            "deadline that is no number",
            400,
            lookup("x-request-timeout-ms: soon\r\n"),
        ),
        case(
            "deadline that has passed",
            504,
            lookup("x-request-timeout-ms: 0\r\n"),
        ),
        case(
            "event id of another service",
            400,
            request(
                "POST /v1/chat/completions",
                "last-event-id: 7\r\n",
                br#"{"model":"stand-in","messages":[],"stream":true}"#,
            ),
        ),
        case("body that stalls", 408, stalled(MAX_BODY)),
    ]
}

/// A request whose body stops after a few bytes.
fn stalled(length: usize) -> Vec<u8> {
    format!(
        "POST /desk/claims/new HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {API_KEY}\r\n\
         content-length: {length}\r\n\r\nfew bytes"
    )
    .into_bytes()
}

/// Sends raw bytes and reads one answer.
async fn exchange(entry: SocketAddr, bytes: &[u8]) -> anyhow::Result<String> {
    let mut stream = TcpStream::connect(entry).await?;
    stream.write_all(bytes).await?;
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    let reading = async {
        while !is_complete(&answer) {
            match stream.read(&mut buffer).await {
                Ok(count @ 1..) => answer.extend_from_slice(&buffer[..count]),
                _ => break,
            }
        }
    };
    tokio::time::timeout(LIMIT, reading)
        .await
        .context("no answer")?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

fn is_complete(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    length
        .and_then(|length| length.parse().ok())
        .is_some_and(|length: usize| body.len() >= length)
}

async fn all_started(fleet: &Fleet) -> anyhow::Result<u64> {
    let mut started = 0;
    for server in fleet.engines.iter().chain(&fleet.services) {
        started += fleet.executions(server).await?.started;
    }
    Ok(started)
}

#[gtest]
#[tokio::test]
async fn each_bad_request_gets_a_problem_document_and_runs_nowhere() -> anyhow::Result<()> {
    let fleet = fleet().await?;
    let entry = fleet.entries[0].listed.traffic;
    for case in cases() {
        let answer = exchange(entry, &case.request).await.context(case.name)?;
        let (head, body) = answer.split_once("\r\n\r\n").unwrap_or_default();
        let name = case.name;
        expect_that!(
            head,
            starts_with(format!("HTTP/1.1 {} ", case.status)),
            "{name}: {answer}"
        );
        expect_that!(
            head,
            contains_substring("application/problem+json"),
            "{name}"
        );
        let document: serde_json::Value = serde_json::from_str(body).context(name)?;
        expect_that!(document["verdict"].as_str(), some(eq("not-run")), "{name}");
        expect_that!(document["detail"].as_str(), some(not(eq(""))), "{name}");
    }
    expect_that!(all_started(&fleet).await?, eq(0));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn slow_senders_and_large_heads_take_bounded_memory() -> anyhow::Result<()> {
    let fleet = fleet().await?;
    let entry = fleet.entries[0].listed.traffic;
    let mut held = Vec::new();
    for number in 0..SLOW_SENDERS {
        let mut stream = TcpStream::connect(entry).await?;
        let bytes = match number % 2 {
            0 => stalled(MAX_BODY),
            // A head that never ends: the entry may close the connection while it is sent.
            _ => [b"GET / HTTP/1.1\r\nx: ".to_vec(), vec![b'x'; 2 * MAX_BODY]].concat(),
        };
        let _ = tokio::time::timeout(Duration::from_millis(200), stream.write_all(&bytes)).await;
        held.push(stream);
    }
    let whole = Caller::default()
        .call(&fleet.entry_url(0), &Call::lookup("meanwhile"))
        .await;
    expect_that!(whole, matches_pattern!(Outcome::Whole(_)));
    expect_that!(fleet.entries[0].process.usage()?.resident, lt(MAX_RESIDENT));
    drop(held);
    Ok(())
}
