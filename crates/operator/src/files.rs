//! Reads the operators' files: short TOML files kept beside each service's code.
//!
//! A file declares a service, failure domains, client accounts or several of these. All faults are
//! reported at once, each with its line.

use std::{collections::BTreeMap, ops::Range, time::Duration};

use jj_utils::ids::{ClientAccountId, FailureDomainId};
use toml::de::DeTable;

use crate::{
    documents::{Account, DomainState, Group, Limits, Route, ServiceDocument, ServiceKind},
    fields::{Fields, Source},
    finding::{Finding, Problem},
    rules::service_problems,
};

/// Name of an operators' file, and suffix of longer names (`desk.jujube.toml`).
pub const FILE_NAME: &str = "jujube.toml";

/// Allowed top-level fields.
const TOP_FIELDS: &[&str] = &[
    "service", "kind", "models", "routes", "limits", "group", "domains", "accounts",
];

/// Top-level fields that belong to a service.
const SERVICE_FIELDS: &[&str] = &["kind", "models", "routes", "limits", "group"];

/// Defaults of settings that a file omits.
#[derive(Debug, Clone, PartialEq)]
pub struct FileDefaults {
    /// Timeout of a route.
    pub timeout: Duration,
    /// Limits of a backend server.
    pub limits: Limits,
    /// Weight of a client account.
    pub weight: u32,
}

impl Default for FileDefaults {
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(30),
            limits: Limits {
                cold_floor: 1,
                concurrency: 32,
                queue: 64,
                tokens: None,
            },
            weight: 1,
        }
    }
}

/// A declared value with its location.
#[derive(Debug, Clone, PartialEq)]
pub struct Declared<T> {
    /// File that declares it.
    pub file: String,
    /// Line of the declaration, from 1.
    pub line: usize,
    /// Declared value.
    pub value: T,
}

/// Declarations of one file or of all files.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Declarations {
    /// Services.
    pub services: Vec<Declared<ServiceDocument>>,
    /// Failure domains.
    pub domains: BTreeMap<FailureDomainId, Vec<Declared<DomainState>>>,
    /// Client accounts.
    pub accounts: BTreeMap<ClientAccountId, Vec<Declared<Account>>>,
}

impl Declarations {
    /// Adds the declarations of another file.
    pub fn extend(&mut self, other: Self) {
        self.services.extend(other.services);
        for (name, declared) in other.domains {
            self.domains.entry(name).or_default().extend(declared);
        }
        for (name, declared) in other.accounts {
            self.accounts.entry(name).or_default().extend(declared);
        }
    }
}

/// Reads one file; returns its valid declarations, even if there are findings, and the findings.
pub fn read_file(name: &str, text: &str, defaults: &FileDefaults) -> (Declarations, Vec<Finding>) {
    let mut source = Source::new(name, text);
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        source.report(error.span().unwrap_or(0..0), "", error.message().trim());
    }
    let mut declarations = Declarations::default();
    if errors.is_empty() {
        let fields = Fields::new(table.get_ref(), 0..0, "");
        let mut reader = FileReader {
            source,
            defaults,
            fields,
        };
        declarations = reader.read();
        source = reader.source;
    }
    (declarations, source.findings)
}

struct FileReader<'a, 'i, 't> {
    source: Source<'t>,
    defaults: &'a FileDefaults,
    fields: Fields<'a, 'i>,
}

impl FileReader<'_, '_, '_> {
    fn read(&mut self) -> Declarations {
        self.fields.only(&mut self.source, TOP_FIELDS);
        Declarations {
            services: self.read_service().into_iter().collect(),
            domains: self.read_domains(),
            accounts: self.read_accounts(),
        }
    }

    fn read_service(&mut self) -> Option<Declared<ServiceDocument>> {
        if self.fields.get("service").is_none() {
            self.check_undeclared();
            return None;
        }
        let before = self.source.findings.len();
        let service = self.fields.string(&mut self.source, "service");
        let kind = self.read_kind();
        let models = self.fields.strings(&mut self.source, "models");
        let routes = self.read_routes();
        let limits = self.read_limits();
        let group = self.read_group();
        // A field that could not be read has already been reported.
        if self.source.findings.len() > before {
            return None;
        }
        let document = ServiceDocument {
            service: service?,
            kind: kind?,
            models: models?,
            routes: routes?,
            limits: limits?,
            group,
        };
        self.check_rules(service_problems(&document));
        Some(self.declared("service", document))
    }

    fn check_undeclared(&mut self) {
        let mut declares = false;
        for field in SERVICE_FIELDS {
            if let Some(value) = self.fields.get(field) {
                declares = true;
                let reason = "stands without `service`, the name of the service";
                self.source.report(value.span(), field, reason);
            }
        }
        let others = ["domains", "accounts"];
        declares |= others.iter().any(|key| self.fields.get(key).is_some());
        if !declares {
            let reason = "declares nothing; allowed: `service`, `domains` or `accounts`";
            self.source.report(0..0, "", reason);
        }
    }

    fn read_kind(&mut self) -> Option<ServiceKind> {
        let text = self.fields.string(&mut self.source, "kind")?;
        match text.as_str() {
            "model" => Some(ServiceKind::Model),
            "plain" => Some(ServiceKind::Plain),
            _ => {
                let span = self.span_of("kind");
                let reason = "not a kind of service; allowed: \"model\", \"plain\"";
                self.source.report(span, "kind", reason);
                None
            }
        }
    }

    fn read_routes(&mut self) -> Option<Vec<Route>> {
        let tables = self.fields.tables(&mut self.source, "routes");
        let mut routes = Vec::new();
        for fields in &tables {
            let source = &mut self.source;
            fields.only(source, &["method", "path", "idempotent", "timeout"]);
            let method = fields.string(source, "method");
            let path = fields.string(source, "path");
            let idempotent = fields.boolean(source, "idempotent");
            let timeout = fields.duration(source, "timeout", self.defaults.timeout);
            let (Some(method), Some(path)) = (method, path) else {
                continue;
            };
            let (Some(idempotent), Some(timeout)) = (idempotent, timeout) else {
                continue;
            };
            routes.push(Route {
                method,
                path,
                idempotent,
                timeout,
            });
        }
        (routes.len() == tables.len()).then_some(routes)
    }

    fn read_limits(&mut self) -> Option<Limits> {
        let default = &self.defaults.limits;
        let Some(fields) = self.fields.table(&mut self.source, "limits") else {
            return Some(default.clone());
        };
        let source = &mut self.source;
        fields.only(source, &["cold_floor", "concurrency", "queue", "tokens"]);
        let cold_floor = fields.number(source, "cold_floor", Some(default.cold_floor));
        let concurrency = fields.number(source, "concurrency", Some(default.concurrency));
        let queue = fields.number(source, "queue", Some(default.queue));
        let tokens = match fields.get("tokens") {
            Some(_) => Some(fields.number(source, "tokens", None)?),
            None => None,
        };
        Some(Limits {
            cold_floor: cold_floor?,
            concurrency: concurrency?,
            queue: queue?,
            tokens,
        })
    }

    fn read_group(&mut self) -> Option<Group> {
        let fields = self.fields.table(&mut self.source, "group")?;
        let source = &mut self.source;
        fields.only(source, &["ranks", "experts", "slots", "fencing"]);
        let ranks = fields.number(source, "ranks", None);
        let experts = fields.number(source, "experts", None);
        let slots = fields.number(source, "slots", None);
        let fencing = fields.boolean(source, "fencing");
        Some(Group {
            ranks: ranks?,
            experts: experts?,
            slots: slots?,
            fencing: fencing?,
        })
    }

    fn read_domains(&mut self) -> BTreeMap<FailureDomainId, Vec<Declared<DomainState>>> {
        let mut domains = BTreeMap::new();
        let Some(fields) = self.fields.table(&mut self.source, "domains") else {
            return domains;
        };
        for (name, value) in fields.entries() {
            let state = match value.get_ref().as_str() {
                Some("in-service") => DomainState::InService,
                Some("withdrawn") => DomainState::Withdrawn,
                _ => {
                    let reason = "not a state; allowed: \"in-service\", \"withdrawn\"";
                    self.source.report(value.span(), fields.path(name), reason);
                    continue;
                }
            };
            let declared = self.declared_at(value.span(), state);
            domains.insert(name.to_owned(), vec![declared]);
        }
        domains
    }

    fn read_accounts(&mut self) -> BTreeMap<ClientAccountId, Vec<Declared<Account>>> {
        let mut accounts = BTreeMap::new();
        let Some(all) = self.fields.table(&mut self.source, "accounts") else {
            return accounts;
        };
        for (name, _) in all.entries() {
            let Some(fields) = all.table(&mut self.source, name) else {
                continue;
            };
            fields.only(&mut self.source, &["weight", "keys"]);
            let default = self.defaults.weight;
            let weight = fields.number(&mut self.source, "weight", Some(default));
            let keys = fields.strings(&mut self.source, "keys");
            let (Some(weight), Some(keys)) = (weight, keys) else {
                continue;
            };
            let declared = self.declared_at(fields.span(), Account { weight, keys });
            accounts.insert(name.to_owned(), vec![declared]);
        }
        accounts
    }

    fn check_rules(&mut self, problems: Vec<Problem>) {
        for problem in problems {
            let span = self.find(&problem.field);
            self.source.report(span, problem.field, problem.reason);
        }
    }

    /// Returns the span of a field named as in [`Problem`], or of its nearest enclosing field.
    fn find(&self, path: &str) -> Range<usize> {
        let mut steps = path
            .split(['.', '['])
            .map(|step| step.trim_end_matches(']'));
        let first = steps.next().unwrap_or_default();
        let Some(mut value) = self.fields.get(first) else {
            return self.span_of("service");
        };
        for step in steps {
            let next = match step.parse::<usize>() {
                Ok(position) => value.get_ref().get(position),
                Err(_) => value.get_ref().get(step),
            };
            let Some(next) = next else { break };
            value = next;
        }
        value.span()
    }

    fn span_of(&self, key: &str) -> Range<usize> {
        self.fields.get(key).map_or(0..0, |value| value.span())
    }

    fn declared<T>(&self, key: &str, value: T) -> Declared<T> {
        self.declared_at(self.span_of(key), value)
    }

    fn declared_at<T>(&self, span: Range<usize>, value: T) -> Declared<T> {
        Declared {
            file: self.source.name().to_owned(),
            line: self.source.line(span.start),
            value,
        }
    }
}
