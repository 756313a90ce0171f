//! Demo with stand-ins: separate processes serve a streamed chat and calls to a plain service.

use std::{path::Path, time::Duration};

use crate::{
    caller::{Call, Caller, Chat, Outcome},
    fleet::{Fleet, FleetConfig, args},
    publication::Publication,
};

/// Model that the example declares.
const MODEL: &str = "hangang-assistant";

/// API key of an account of the example.
const API_KEY: &str = "example-key-members";

/// Failure domains of the example.
const DOMAINS: [&str; 3] = ["seoul-a", "seoul-b", "seoul-c"];

/// Tokens of the chat's response.
const CHAT_TOKENS: u32 = 24;

/// Timeout of each request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a fleet on loopback with the configuration of `examples`, reads the entry addresses, and
/// prints the responses to a streamed chat, a lookup and a claim; then kills all processes.
///
/// # Errors
/// When a process does not start or a response is not complete.
pub async fn run(examples: &Path) -> anyhow::Result<()> {
    let fleet = Fleet::start(fleet_config(examples)).await?;
    for node in fleet.nodes() {
        let (id, listed) = (&node.listed.id, &node.listed);
        println!(
            "{id:12} in {} takes requests at {}",
            listed.domain, listed.traffic
        );
    }
    let caller = Caller::new(REQUEST_TIMEOUT).with_account(API_KEY, MODEL);
    let entry = fleet.entry_url(0);
    println!("\naddresses: {}", caller.addresses(&entry).await?);
    let chat = Chat::streamed("May I swap my bib with a friend?", CHAT_TOKENS);
    print_answer("streamed chat", caller.chat(&entry, &chat).await)?;
    let lookup = Call {
        method: "GET".to_owned(),
        target: "/desk/entries/1042".to_owned(),
        ..Call::default()
    };
    print_answer("status lookup", caller.call(&entry, &lookup).await)?;
    let claim = Call {
        method: "POST".to_owned(),
        target: "/desk/claims".to_owned(),
        body: "bib 1042".to_owned(),
        key: None,
    };
    print_answer("bib claim", caller.call(&entry, &claim).await)
}

fn fleet_config(examples: &Path) -> FleetConfig {
    FleetConfig {
        entries: 2,
        engines: 2,
        services: 1,
        relays: false,
        engine_flags: args(["--model", MODEL, "--token-delay-us", "5000"]),
        publication: Publication::default(),
        directory: Some(examples.to_owned()),
        domains: DOMAINS.map(str::to_owned).to_vec(),
        ..FleetConfig::default()
    }
}

fn print_answer(name: &str, outcome: Outcome) -> anyhow::Result<()> {
    let Outcome::Whole(whole) = outcome else {
        anyhow::bail!("{name}: {outcome:?}");
    };
    let (first, total) = (whole.first, whole.total);
    println!("\n{name}: whole after {total:.1?}, first part after {first:.1?}");
    println!("{}", whole.body);
    Ok(())
}
