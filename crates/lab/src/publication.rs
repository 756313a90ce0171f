//! A small configuration for tests: one model service, one plain service, three failure domains.

use std::{collections::BTreeMap, time::Duration};

use jj_operator::{
    documents::{
        Account, Digest, DomainState, FleetDocument, Limits, Manifest, Route, ServiceDocument,
        ServiceKind,
    },
    published::{Bundle, FORMAT, digest_of},
};

/// Name of the model service in [`Publication::default`].
pub const MODEL_SERVICE: &str = "assistant";

/// Name of the plain service in [`Publication::default`].
pub const PLAIN_SERVICE: &str = "desk";

/// Model of the model service in [`Publication::default`].
pub const MODEL: &str = "stand-in";

/// API key of the client account in [`Publication::default`].
pub const API_KEY: &str = "members-key";

/// Failure domains in [`Publication::default`].
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// A complete configuration.
#[derive(Debug, Clone)]
pub struct Publication {
    /// Settings of the whole fleet.
    pub fleet: FleetDocument,
    /// All services.
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
    /// Returns the documents and the manifest to publish.
    ///
    /// # Errors
    /// When a document can't be written as JSON.
    pub fn bundle(&self) -> anyhow::Result<Bundle> {
        let mut bundle = Bundle::default();
        let mut manifest = Manifest {
            format: FORMAT,
            fleet: add_document(&mut bundle, &self.fleet)?,
            ..Manifest::default()
        };
        for service in &self.services {
            let digest = add_document(&mut bundle, service)?;
            manifest.services.insert(service.service.clone(), digest);
        }
        bundle.manifest = serde_json::to_string(&manifest)?;
        Ok(bundle)
    }

    /// Returns the same configuration with one failure domain in another state.
    #[must_use]
    pub fn with_domain(mut self, name: &str, state: DomainState) -> Self {
        self.fleet.domains.insert(name.to_owned(), state);
        self
    }
}

fn add_document<T: serde::Serialize>(bundle: &mut Bundle, document: &T) -> anyhow::Result<Digest> {
    let text = serde_json::to_string(document)?;
    let digest = digest_of(text.as_bytes());
    bundle.documents.insert(digest.clone(), text);
    Ok(digest)
}

fn model_service() -> ServiceDocument {
    ServiceDocument {
        service: MODEL_SERVICE.to_owned(),
        kind: ServiceKind::Model,
        models: vec![MODEL.to_owned()],
        routes: vec![
            route("POST", "/v1/chat/completions", true),
            route("POST", "/v1/completions", true),
        ],
        limits: Limits {
            cold_floor: 4,
            concurrency: 512,
            queue: 512,
            tokens: None,
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
            tokens: None,
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
