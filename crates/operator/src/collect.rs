//! Merges declarations into the published form; the same declarations give the same bytes.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs, io,
    path::Path,
};

use jj_utils::ids::ClientAccountId;
use serde::Serialize;

use crate::{
    documents::{AccountsDocument, Digest, FleetDocument, Manifest},
    files::{Declarations, Declared},
    finding::Finding,
    published::{Bundle, FORMAT, digest_of},
    rules::{cross_problems, fleet_problems},
};

/// Longest value of the configuration service, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Largest number of accounts in the fleet document; more are split over accounts documents.
const MAX_FLEET_ACCOUNTS: usize = 100;

/// Longest fleet document that is inlined in the manifest, in bytes.
const MAX_INLINE_BYTES: usize = 4_096;

/// Average number of accounts in one accounts document.
const SHARD_ACCOUNTS: usize = 128;

/// File in the output directory that holds the manifest.
const MANIFEST_FILE: &str = "manifest.json";

/// A merged publication, ready for the configuration service.
#[derive(Debug, Clone, PartialEq)]
pub struct Collected {
    /// Manifest and documents.
    pub bundle: Bundle,
    /// Digest of the manifest.
    pub digest: Digest,
    /// Number of services.
    pub services: usize,
    /// Number of client accounts.
    pub accounts: usize,
}

/// Merges all declarations; `is_complete` is false if files with findings are missing from them.
///
/// # Errors
/// Findings for names declared more than once and for violated rules across files.
pub fn merge(declarations: &Declarations, is_complete: bool) -> Result<Collected, Vec<Finding>> {
    let mut findings = duplicate_findings(declarations);
    let fleet = FleetDocument {
        domains: first_values(&declarations.domains),
        accounts: first_values(&declarations.accounts),
    };
    findings.extend(fleet_findings(declarations, &fleet, is_complete));
    findings.extend(cross_findings(declarations));
    if is_complete && declarations.services.is_empty() {
        findings.push(global_finding("", "no file declares a service"));
    }
    if !findings.is_empty() {
        return Err(findings);
    }
    build(declarations, fleet)
}

/// Writes a publication: `manifest.json`, and `documents/<digest>` for each document.
///
/// # Errors
/// If a file cannot be written.
pub fn write_directory(collected: &Collected, out: &Path) -> io::Result<()> {
    let documents = out.join("documents");
    fs::create_dir_all(&documents)?;
    for (digest, text) in &collected.bundle.documents {
        fs::write(documents.join(digest), text)?;
    }
    // Written last, so that a manifest never names a document that is not yet written.
    fs::write(out.join(MANIFEST_FILE), &collected.bundle.manifest)
}

/// Reads a publication written by [`write_directory`].
///
/// # Errors
/// If a file cannot be read.
pub fn read_directory(from: &Path) -> io::Result<Bundle> {
    let manifest = fs::read_to_string(from.join(MANIFEST_FILE))?;
    let mut documents = BTreeMap::new();
    for entry in fs::read_dir(from.join("documents"))? {
        let entry = entry?;
        let name = entry.file_name().to_string_lossy().into_owned();
        documents.insert(name, fs::read_to_string(entry.path())?);
    }
    Ok(Bundle {
        manifest,
        documents,
    })
}

fn build(declarations: &Declarations, fleet: FleetDocument) -> Result<Collected, Vec<Finding>> {
    let mut builder = Builder::default();
    let accounts = fleet.accounts.len();
    let mut manifest = Manifest {
        format: FORMAT,
        ..Manifest::default()
    };
    for declared in &declarations.services {
        let digest = builder.add(&declared.value);
        let name = &declared.value.service;
        manifest.sources.insert(name.clone(), declared.file.clone());
        manifest.services.insert(name.clone(), digest);
    }
    let (fleet, shards) = split_accounts(fleet);
    let text = json_text(&fleet);
    manifest.fleet = digest_of(text.as_bytes());
    match text.len() <= MAX_INLINE_BYTES {
        true => manifest.inline = Some(fleet),
        false => _ = builder.add(&fleet),
    }
    manifest.accounts = shards.iter().map(|shard| builder.add(shard)).collect();
    let text = json_text(&manifest);
    builder.check_size("manifest", &text);
    if !builder.findings.is_empty() {
        return Err(builder.findings);
    }
    let bundle = Bundle {
        manifest: text,
        documents: builder.documents,
    };
    Ok(Collected {
        digest: bundle.digest(),
        bundle,
        services: manifest.services.len(),
        accounts,
    })
}

#[derive(Default)]
struct Builder {
    documents: BTreeMap<Digest, String>,
    findings: Vec<Finding>,
}

impl Builder {
    fn add<T: Serialize>(&mut self, document: &T) -> Digest {
        let text = json_text(document);
        let digest = digest_of(text.as_bytes());
        self.check_size(&format!("document {digest}"), &text);
        self.documents.insert(digest.clone(), text);
        digest
    }

    fn check_size(&mut self, name: &str, text: &str) {
        if text.len() > MAX_VALUE_BYTES {
            let reason = format!("{} bytes; allowed: up to {MAX_VALUE_BYTES}", text.len());
            self.findings.push(global_finding(name, reason));
        }
    }
}

/// Serializes to JSON with one field per line, so that line numbers of findings are meaningful.
fn json_text<T: Serialize>(value: &T) -> String {
    let mut text = serde_json::to_string_pretty(value).unwrap_or_default();
    text.push('\n');
    text
}

/// Moves the accounts of a large fleet into accounts documents. An account's document depends on
/// its name alone, so a change of one account changes one document.
fn split_accounts(mut fleet: FleetDocument) -> (FleetDocument, Vec<AccountsDocument>) {
    if fleet.accounts.len() <= MAX_FLEET_ACCOUNTS {
        return (fleet, Vec::new());
    }
    let count = fleet
        .accounts
        .len()
        .div_ceil(SHARD_ACCOUNTS)
        .next_power_of_two();
    let mut shards = vec![AccountsDocument::default(); count];
    for (name, account) in std::mem::take(&mut fleet.accounts) {
        let shard = shard_of(&name, count);
        shards[shard].accounts.insert(name, account);
    }
    shards.retain(|shard| !shard.accounts.is_empty());
    (fleet, shards)
}

fn shard_of(name: &ClientAccountId, count: usize) -> usize {
    let digest = digest_of(name.as_bytes());
    let number = usize::from_str_radix(&digest[..8], 16).unwrap_or(0);
    number % count
}

fn first_values<T: Clone>(declared: &BTreeMap<String, Vec<Declared<T>>>) -> BTreeMap<String, T> {
    let first = |(name, all): (&String, &Vec<Declared<T>>)| {
        let value = all.first()?.value.clone();
        Some((name.clone(), value))
    };
    declared.iter().filter_map(first).collect()
}

fn duplicate_findings(declarations: &Declarations) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut services: BTreeMap<&str, Vec<&Declared<_>>> = BTreeMap::new();
    for declared in &declarations.services {
        services
            .entry(&declared.value.service)
            .or_default()
            .push(declared);
    }
    for (name, all) in &services {
        report_duplicates("service", name, all, &mut findings);
    }
    for (name, all) in &declarations.domains {
        let all: Vec<_> = all.iter().collect();
        report_duplicates(&format!("domains.{name}"), name, &all, &mut findings);
    }
    for (name, all) in &declarations.accounts {
        let all: Vec<_> = all.iter().collect();
        report_duplicates(&format!("accounts.{name}"), name, &all, &mut findings);
    }
    findings
}

fn report_duplicates<T>(
    field: &str,
    name: &str,
    all: &[&Declared<T>],
    findings: &mut Vec<Finding>,
) {
    if all.len() < 2 {
        return;
    }
    for declared in all {
        let others = all
            .iter()
            .filter(|other| other.file != declared.file || other.line != declared.line);
        let others: Vec<String> = others
            .map(|other| format!("{}:{}", other.file, other.line))
            .collect();
        findings.push(Finding {
            file: declared.file.clone(),
            line: Some(declared.line),
            field: field.to_owned(),
            reason: format!(
                "`{name}` is claimed by {} too; one file declares it",
                others.join(", ")
            ),
        });
    }
}

fn fleet_findings(
    declarations: &Declarations,
    fleet: &FleetDocument,
    is_complete: bool,
) -> Vec<Finding> {
    let mut findings = Vec::new();
    for problem in fleet_problems(fleet) {
        let location = location_of(declarations, &problem.field);
        // A problem without a location concerns all files together.
        if location.is_none() && !is_complete {
            continue;
        }
        let (file, line) = location.unwrap_or(("(all files)", None));
        findings.push(Finding {
            file: file.to_owned(),
            line,
            field: problem.field,
            reason: problem.reason,
        });
    }
    findings
}

fn location_of<'a>(
    declarations: &'a Declarations,
    field: &str,
) -> Option<(&'a str, Option<usize>)> {
    let (table, rest) = field.split_once('.')?;
    // An invalid name may contain a dot: use the longest declared match.
    match table {
        "domains" => longest_match(&declarations.domains, rest),
        _ => longest_match(&declarations.accounts, rest),
    }
}

fn longest_match<'a, T>(
    declared: &'a BTreeMap<String, Vec<Declared<T>>>,
    rest: &str,
) -> Option<(&'a str, Option<usize>)> {
    let fits = |name: &&String| {
        let after = rest.strip_prefix(name.as_str());
        after.is_some_and(|after| after.is_empty() || after.starts_with('.'))
    };
    let name = declared.keys().filter(fits).max_by_key(|name| name.len())?;
    let first = declared.get(name)?.first()?;
    Some((first.file.as_str(), Some(first.line)))
}

fn cross_findings(declarations: &Declarations) -> Vec<Finding> {
    let services = declarations.services.iter().map(|declared| &declared.value);
    let problems = cross_problems(services);
    let mut seen = BTreeSet::new();
    let mut findings = Vec::new();
    for problem in problems {
        let (name, field) = problem
            .field
            .split_once('.')
            .unwrap_or((&problem.field, ""));
        let owner = declarations
            .services
            .iter()
            .find(|declared| declared.value.service == name);
        let Some(owner) = owner else { continue };
        if seen.insert(problem.field.clone()) {
            findings.push(Finding {
                file: owner.file.clone(),
                line: Some(owner.line),
                field: field.to_owned(),
                reason: problem.reason,
            });
        }
    }
    findings
}

fn global_finding(field: impl Into<String>, reason: impl Into<String>) -> Finding {
    Finding {
        file: "(all files)".to_owned(),
        line: None,
        field: field.into(),
        reason: reason.into(),
    }
}
