//! A publication: its bytes as received from the configuration service or a peer, and its validated
//! form.

use std::{collections::BTreeMap, fmt::Write, sync::Arc};

use jj_utils::{
    common_derives,
    ids::{ConfigIndex, ServiceId},
};
use serde::de::DeserializeOwned;
use sha2::{Digest as _, Sha256};

use crate::{
    documents::{AccountsDocument, Digest, FleetDocument, Manifest, ServiceDocument},
    finding::{Finding, Problem},
    rules::{self, cross_problems, fleet_problems, service_problems},
};

/// Format version that this build reads and writes.
pub const FORMAT: u32 = 1;

/// Name of the manifest in findings.
const MANIFEST_NAME: &str = "manifest";

/// Name of the fleet document in findings.
const FLEET_NAME: &str = "fleet";

common_derives! {wire:
    /// The bytes of one publication.
    #[derive(Default, Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Bundle {
        /// Bytes of the manifest.
        pub manifest: String,
        /// Bytes of each document under its digest.
        pub documents: BTreeMap<Digest, String>,
    }
}

impl Bundle {
    /// Returns the digest of the manifest. It identifies the publication, since the manifest names
    /// every document by digest.
    pub fn digest(&self) -> Digest {
        digest_of(self.manifest.as_bytes())
    }
}

common_derives! {wire:
    /// A publication with its index, as offered by a source of configuration.
    #[serde(deny_unknown_fields)]
    pub struct Offer {
        /// Index of the manifest in the configuration service.
        pub index: ConfigIndex,
        /// The publication's bytes.
        pub bundle: Bundle,
    }
}

common_derives! {value:
    /// An accepted publication.
    pub struct Published {
        /// Index of the manifest in the configuration service; orders publications.
        pub index: ConfigIndex,
        /// Digest of the manifest's bytes.
        pub digest: Digest,
        /// The manifest.
        pub manifest: Manifest,
        /// The fleet document, with the accounts of all accounts documents.
        pub fleet: FleetDocument,
        /// Each service's document.
        pub services: BTreeMap<ServiceId, ServiceDocument>,
        /// The original bytes, for peers.
        pub bundle: Arc<Bundle>,
    }
}

/// A refused publication with its findings.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("publication {digest} at index {index} is refused: {}", join(findings))]
pub struct Refusal {
    /// Index of the manifest.
    pub index: ConfigIndex,
    /// Digest of the manifest's bytes.
    pub digest: Digest,
    /// All findings, in a fixed order.
    pub findings: Vec<Finding>,
}

impl Published {
    /// Parses and checks a publication; the result depends only on its bytes, so all processes
    /// agree.
    ///
    /// # Errors
    /// All findings if a document is missing, altered, malformed or violates a rule.
    pub fn parse(index: ConfigIndex, bundle: Arc<Bundle>) -> Result<Self, Refusal> {
        let mut reader = Reader::new(&bundle);
        let parsed = reader.read();
        let digest = bundle.digest();
        let mut findings = reader.findings;
        findings.sort();
        match parsed {
            Some((manifest, fleet, services)) if findings.is_empty() => Ok(Self {
                index,
                digest,
                manifest,
                fleet,
                services,
                bundle,
            }),
            _ => Err(Refusal {
                index,
                digest,
                findings,
            }),
        }
    }

    /// Returns the publication as an offer to other processes.
    pub fn offer(&self) -> Offer {
        Offer {
            index: self.index,
            bundle: (*self.bundle).clone(),
        }
    }
}

/// Parses the manifest, without the documents that it names.
///
/// # Errors
/// The first fault found in it.
pub fn parse_manifest(text: &str) -> Result<Manifest, Finding> {
    let manifest: Manifest = parse_json(MANIFEST_NAME, text)?;
    if manifest.format != FORMAT {
        let reason = format!("format {} is not known; allowed: {FORMAT}", manifest.format);
        return Err(finding(MANIFEST_NAME, Problem::new("format", reason)));
    }
    for digest in document_digests(&manifest) {
        if !rules::is_digest(&digest) {
            let problem = Problem::new("", "a document's name is not a SHA-256 in lower-case hex");
            return Err(finding(MANIFEST_NAME, problem));
        }
    }
    Ok(manifest)
}

/// Returns the distinct digests of all documents to read in addition to the manifest.
pub fn document_digests(manifest: &Manifest) -> Vec<Digest> {
    let fleet = manifest.inline.is_none().then_some(&manifest.fleet);
    let services = manifest.services.values();
    let named = fleet.into_iter().chain(&manifest.accounts).chain(services);
    let mut digests: Vec<Digest> = named.cloned().collect();
    digests.sort();
    digests.dedup();
    digests
}

/// Returns the SHA-256 of `bytes` in lower-case hex.
pub fn digest_of(bytes: &[u8]) -> Digest {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(bytes) {
        // Writing to a string never fails.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

struct Reader<'a> {
    bundle: &'a Bundle,
    findings: Vec<Finding>,
}

impl<'a> Reader<'a> {
    fn new(bundle: &'a Bundle) -> Self {
        Self {
            bundle,
            findings: Vec::new(),
        }
    }

    fn read(
        &mut self,
    ) -> Option<(
        Manifest,
        FleetDocument,
        BTreeMap<ServiceId, ServiceDocument>,
    )> {
        let manifest = match parse_manifest(&self.bundle.manifest) {
            Ok(manifest) => manifest,
            Err(finding) => {
                self.findings.push(finding);
                return None;
            }
        };
        let fleet = self.read_fleet(&manifest);
        let mut services = BTreeMap::new();
        for (name, digest) in &manifest.services {
            let Some(document) = self.read_service(&manifest, name, digest) else {
                continue;
            };
            services.insert(name.clone(), document);
        }
        for problem in cross_problems(services.values()) {
            self.findings.push(finding(MANIFEST_NAME, problem));
        }
        Some((manifest, fleet?, services))
    }

    fn read_fleet(&mut self, manifest: &Manifest) -> Option<FleetDocument> {
        let file = FLEET_NAME;
        let mut fleet: FleetDocument = match &manifest.inline {
            Some(fleet) => fleet.clone(),
            None => self.document(file, &manifest.fleet)?,
        };
        for (position, digest) in manifest.accounts.iter().enumerate() {
            let file = format!("accounts[{position}]");
            let Some(shard) = self.document::<AccountsDocument>(&file, digest) else {
                continue;
            };
            for (name, account) in shard.accounts {
                if fleet.accounts.insert(name.clone(), account).is_some() {
                    let problem = Problem::new(
                        format!("accounts.{name}"),
                        "the account is in two documents",
                    );
                    self.findings.push(finding(&file, problem));
                }
            }
        }
        self.report(file, fleet_problems(&fleet));
        Some(fleet)
    }

    fn read_service(
        &mut self,
        manifest: &Manifest,
        name: &str,
        digest: &str,
    ) -> Option<ServiceDocument> {
        let source = manifest.sources.get(name).cloned();
        let file = source.unwrap_or_else(|| name.to_owned());
        let document: ServiceDocument = self.document(&file, digest)?;
        self.report(&file, service_problems(&document));
        if document.service != name {
            let reason = format!(
                "`{}` is listed as `{name}` in the manifest",
                document.service
            );
            self.report(&file, vec![Problem::new("service", reason)]);
        }
        Some(document)
    }

    fn document<T: DeserializeOwned>(&mut self, file: &str, digest: &str) -> Option<T> {
        let Some(text) = self.bundle.documents.get(digest) else {
            self.report(
                file,
                vec![Problem::new("", format!("document {digest} is missing"))],
            );
            return None;
        };
        if digest_of(text.as_bytes()) != digest {
            let reason = format!("the bytes do not have the digest {digest}");
            self.report(file, vec![Problem::new("", reason)]);
            return None;
        }
        match parse_json(file, text) {
            Ok(document) => Some(document),
            Err(finding) => {
                self.findings.push(finding);
                None
            }
        }
    }

    fn report(&mut self, file: &str, problems: Vec<Problem>) {
        let found = problems.into_iter().map(|problem| finding(file, problem));
        self.findings.extend(found);
    }
}

fn parse_json<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, Finding> {
    serde_json::from_str(text).map_err(|error| Finding {
        file: file.to_owned(),
        line: Some(error.line()),
        field: String::new(),
        reason: error.to_string(),
    })
}

fn finding(file: &str, problem: Problem) -> Finding {
    Finding {
        file: file.to_owned(),
        line: None,
        field: problem.field,
        reason: problem.reason,
    }
}

fn join(findings: &[Finding]) -> String {
    let lines: Vec<String> = findings.iter().map(Finding::to_string).collect();
    lines.join("; ")
}
