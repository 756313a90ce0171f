//! Publishes configuration to the stand-in platform, as the operators' publishing step does.

use std::{collections::BTreeMap, time::Duration};

use anyhow::ensure;
use jj_operator::{
    documents::{
        Account, DOCUMENT_PREFIX, Digest, DomainState, FleetDocument, Limits, MANIFEST_KEY,
        Manifest, Route, ServiceDocument, ServiceKind,
    },
    published::{FORMAT, digest_of},
};

/// Name of the model service in [`Publication::default`].
pub const MODEL_SERVICE: &str = "assistant";

/// Name of the plain service in [`Publication::default`].
pub const PLAIN_SERVICE: &str = "desk";

/// API key of the client account in [`Publication::default`].
pub const API_KEY: &str = "members-key";

/// Failure domains in [`Publication::default`].
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// One whole configuration.
#[derive(Debug, Clone)]
pub struct Publication {
    /// What holds for the whole fleet.
    pub fleet: FleetDocument,
    /// Every service.
    pub services: Vec<ServiceDocument>,
}

impl Default for Publication {
    fn default() -> Self {
        let domains = DOMAINS.map(|name| (name.to_owned(), DomainState::InService));
        let account = Account {
            weight: 1,
            keys: vec![digest_of(API_KEY.as_bytes())],
        };
        Self {
            fleet: FleetDocument {
                domains: domains.into(),
                accounts: BTreeMap::from([("members".to_owned(), account)]),
            },
            services: vec![model_service(), plain_service()],
        }
    }
}

impl Publication {
    /// Puts every document, and the manifest last.
    ///
    /// # Errors
    /// When the platform does not take them.
    pub async fn put(&self, client: &reqwest::Client, platform: &str) -> anyhow::Result<()> {
        let mut manifest = Manifest {
            format: FORMAT,
            fleet: put_document(client, platform, &self.fleet).await?,
            ..Manifest::default()
        };
        for service in &self.services {
            let digest = put_document(client, platform, service).await?;
            manifest.services.insert(service.service.clone(), digest);
        }
        put_key(
            client,
            platform,
            MANIFEST_KEY,
            serde_json::to_vec(&manifest)?,
        )
        .await
    }

    /// The same with one failure domain in another state.
    #[must_use]
    pub fn with_domain(mut self, name: &str, state: DomainState) -> Self {
        self.fleet.domains.insert(name.to_owned(), state);
        self
    }
}

async fn put_document<T: serde::Serialize>(
    client: &reqwest::Client,
    platform: &str,
    document: &T,
) -> anyhow::Result<Digest> {
    let bytes = serde_json::to_vec(document)?;
    let digest = digest_of(&bytes);
    put_key(
        client,
        platform,
        &format!("{DOCUMENT_PREFIX}{digest}"),
        bytes,
    )
    .await?;
    Ok(digest)
}

async fn put_key(
    client: &reqwest::Client,
    platform: &str,
    key: &str,
    value: Vec<u8>,
) -> anyhow::Result<()> {
    let url = format!("{platform}/v1/kv/{key}");
    let answer = client.put(url).body(value).send().await?;
    ensure!(
        answer.status().is_success(),
        "put {key}: {}",
        answer.status()
    );
    Ok(())
}

fn model_service() -> ServiceDocument {
    ServiceDocument {
        service: MODEL_SERVICE.to_owned(),
        kind: ServiceKind::Model,
        models: vec!["stand-in".to_owned()],
        routes: vec![
            route("POST", "/v1/chat/completions", true),
            route("POST", "/v1/completions", true),
        ],
        limits: Limits {
            cold_floor: 4,
            concurrency: 512,
            queue: 512,
        },
        group: None,
    }
}

fn plain_service() -> ServiceDocument {
    ServiceDocument {
        service: PLAIN_SERVICE.to_owned(),
        kind: ServiceKind::Plain,
        models: Vec::new(),
        routes: vec![
            route("POST", "/desk/claims/**", false),
            route("GET", "/desk/**", true),
        ],
        limits: Limits {
            cold_floor: 4,
            concurrency: 128,
            queue: 256,
        },
        group: None,
    }
}

fn route(method: &str, path: &str, idempotent: bool) -> Route {
    Route {
        method: method.to_owned(),
        path: path.to_owned(),
        idempotent,
        timeout: Duration::from_secs(30),
    }
}
