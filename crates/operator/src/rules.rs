//! Rules for documents. The check of files and the acceptance of a publication apply the same ones,
//! so no process accepts what the check refuses.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    documents::{
        Account, DomainState, FleetDocument, Group, Limits, Route, ServiceDocument, ServiceKind,
    },
    finding::Problem,
};

/// Longest name of a service, domain or account, in bytes.
pub const MAX_NAME_BYTES: usize = 63;
/// Longest name of a model, in bytes.
pub const MAX_MODEL_BYTES: usize = 127;
/// Longest path of a route, in bytes.
pub const MAX_PATH_BYTES: usize = 512;
/// Largest number of routes per service.
pub const MAX_ROUTES: usize = 256;
/// Largest number of models per service.
pub const MAX_MODELS: usize = 256;
/// Shortest timeout of a route.
pub const MIN_TIMEOUT: Duration = Duration::from_millis(1);
/// Longest timeout of a route.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(3600);
/// Largest limit on requests.
pub const MAX_REQUESTS: u32 = 100_000;
/// Largest limit on tokens.
pub const MAX_TOKENS: u32 = 1_000_000_000;
/// Largest weight of a client account.
pub const MAX_WEIGHT: u32 = 10_000;
/// Largest number of API keys per client account.
pub const MAX_KEYS: usize = 16;
/// Largest number of ranks per group.
pub const MAX_RANKS: u32 = 4_096;
/// Largest number of experts per layer and of slots per rank.
pub const MAX_EXPERTS: u32 = 65_536;
/// HTTP methods allowed in routes.
pub const METHODS: &[&str] = &["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Returns the violated rules of a service document.
pub fn service_problems(document: &ServiceDocument) -> Vec<Problem> {
    let mut problems = Vec::new();
    check_name(&mut problems, "service", &document.service);
    check_models(&mut problems, document);
    check_routes(&mut problems, &document.routes);
    check_limits(&mut problems, &document.limits);
    check_tokens(&mut problems, document.kind, document.limits.tokens);
    if let Some(group) = &document.group {
        check_group(&mut problems, document.kind, group);
    }
    problems
}

/// Returns the violated rules of the fleet document.
pub fn fleet_problems(document: &FleetDocument) -> Vec<Problem> {
    let mut problems = Vec::new();
    for name in document.domains.keys() {
        check_name(&mut problems, &format!("domains.{name}"), name);
    }
    for (name, account) in &document.accounts {
        let field = format!("accounts.{name}");
        check_name(&mut problems, &field, name);
        check_account(&mut problems, &field, account);
    }
    check_domains(&mut problems, &document.domains);
    problems.extend(shared_keys(&document.accounts));
    problems
}

/// Returns violated rules between services: a model belongs to one service only.
pub fn cross_problems<'a>(services: impl Iterator<Item = &'a ServiceDocument>) -> Vec<Problem> {
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    let mut problems = Vec::new();
    for document in services {
        for (position, model) in document.models.iter().enumerate() {
            let Some(owner) = owners.insert(model, &document.service) else {
                continue;
            };
            if owner != document.service {
                let reason = format!(
                    "model `{model}` is claimed by service `{owner}` too; one service serves a model"
                );
                problems.push(Problem::new(
                    format!("{}.models[{position}]", document.service),
                    reason,
                ));
            }
        }
    }
    problems
}

fn check_name(problems: &mut Vec<Problem>, field: &str, name: &str) {
    let fits = !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    let plain = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    if fits && name.bytes().all(plain) && !name.starts_with('-') {
        return;
    }
    let shown = shorten(name);
    problems.push(Problem::new(
        field,
        format!("`{shown}` is not a name; allowed: 1 to {MAX_NAME_BYTES} of a-z, 0-9 and `-`, not starting with `-`"),
    ));
}

fn check_models(problems: &mut Vec<Problem>, document: &ServiceDocument) {
    match document.kind {
        ServiceKind::Model if document.models.is_empty() => problems.push(Problem::new(
            "models",
            "a service of kind `model` names at least one model",
        )),
        ServiceKind::Plain if !document.models.is_empty() => problems.push(Problem::new(
            "models",
            "a service of kind `plain` names no models",
        )),
        _ => {}
    }
    if document.models.len() > MAX_MODELS {
        problems.push(Problem::new(
            "models",
            format!("more than {MAX_MODELS} models"),
        ));
    }
    for (position, model) in document.models.iter().enumerate() {
        let field = format!("models[{position}]");
        let plain = model.bytes().all(|byte| byte.is_ascii_graphic());
        if model.is_empty() || model.len() > MAX_MODEL_BYTES || !plain {
            let shown = shorten(model);
            let reason = format!(
                "`{shown}` is not a model name; allowed: 1 to {MAX_MODEL_BYTES} visible ASCII characters"
            );
            problems.push(Problem::new(field, reason));
        } else if document.models[..position].contains(model) {
            problems.push(Problem::new(
                field,
                format!("model `{model}` is listed twice"),
            ));
        }
    }
}

fn check_routes(problems: &mut Vec<Problem>, routes: &[Route]) {
    if routes.is_empty() {
        problems.push(Problem::new(
            "routes",
            "a service declares at least one route",
        ));
    }
    if routes.len() > MAX_ROUTES {
        problems.push(Problem::new(
            "routes",
            format!("more than {MAX_ROUTES} routes"),
        ));
    }
    for (position, route) in routes.iter().take(MAX_ROUTES).enumerate() {
        check_route(problems, &format!("routes[{position}]"), route);
        let same = |earlier: &Route| earlier.method == route.method && earlier.path == route.path;
        if let Some(first) = routes[..position].iter().position(same) {
            let reason = format!(
                "same method and path as routes[{first}]; the first match wins, so this one is never used"
            );
            problems.push(Problem::new(format!("routes[{position}]"), reason));
        }
    }
}

fn check_route(problems: &mut Vec<Problem>, field: &str, route: &Route) {
    if !METHODS.contains(&route.method.as_str()) {
        let shown = shorten(&route.method);
        let reason = format!("`{shown}` is not a method; allowed: {}", METHODS.join(", "));
        problems.push(Problem::new(format!("{field}.method"), reason));
    }
    if let Err(reason) = check_path(&route.path) {
        problems.push(Problem::new(format!("{field}.path"), reason));
    }
    if !(MIN_TIMEOUT..=MAX_TIMEOUT).contains(&route.timeout) {
        let reason = format!(
            "{} ms is out of range; allowed: 1ms to 1h",
            route.timeout.as_millis()
        );
        problems.push(Problem::new(format!("{field}.timeout"), reason));
    }
}

fn check_path(path: &str) -> Result<(), String> {
    let shown = shorten(path);
    if path.len() > MAX_PATH_BYTES {
        return Err(format!("`{shown}` is longer than {MAX_PATH_BYTES} bytes"));
    }
    let Some(rest) = path.strip_prefix('/') else {
        return Err(format!(
            "`{shown}` is not a path; allowed: `/`, then segments"
        ));
    };
    if !path
        .bytes()
        .all(|byte| byte.is_ascii_graphic() && !b"?#\\".contains(&byte))
    {
        return Err(format!("`{shown}` holds a character that no path holds"));
    }
    let segments: Vec<&str> = rest.split('/').collect();
    for (position, segment) in segments.iter().enumerate() {
        let last = position + 1 == segments.len();
        if segment.contains('*') && !(*segment == "*" || (*segment == "**" && last)) {
            return Err(format!(
                "`{shown}`: `*` stands alone in its segment, and `**` only as the last one"
            ));
        }
        if matches!(*segment, "." | "..") || (segment.is_empty() && !last) {
            return Err(format!("`{shown}` holds an empty, `.` or `..` segment"));
        }
    }
    Ok(())
}

fn check_limits(problems: &mut Vec<Problem>, limits: &Limits) {
    let mut check = |field: &str, value: u32, min: u32| {
        if !(min..=MAX_REQUESTS).contains(&value) {
            let reason = format!("{value} is out of range; allowed: {min} to {MAX_REQUESTS}");
            problems.push(Problem::new(format!("limits.{field}"), reason));
        }
    };
    check("cold_floor", limits.cold_floor, 1);
    check("concurrency", limits.concurrency, 1);
    check("queue", limits.queue, 0);
    if limits.cold_floor > limits.concurrency {
        let reason = format!(
            "{} is above concurrency ({})",
            limits.cold_floor, limits.concurrency
        );
        problems.push(Problem::new("limits.cold_floor", reason));
    }
}

fn check_tokens(problems: &mut Vec<Problem>, kind: ServiceKind, tokens: Option<u32>) {
    let Some(tokens) = tokens else {
        return;
    };
    if kind == ServiceKind::Plain {
        let reason = "only a service of kind `model` has a limit in tokens";
        problems.push(Problem::new("limits.tokens", reason));
    }
    if !(1..=MAX_TOKENS).contains(&tokens) {
        let reason = format!("{tokens} is out of range; allowed: 1 to {MAX_TOKENS}");
        problems.push(Problem::new("limits.tokens", reason));
    }
}

fn check_group(problems: &mut Vec<Problem>, kind: ServiceKind, group: &Group) {
    if kind == ServiceKind::Plain {
        problems.push(Problem::new(
            "group",
            "only a service of kind `model` has a group",
        ));
    }
    let mut check = |field: &str, value: u32, max: u32| {
        if !(1..=max).contains(&value) {
            let reason = format!("{value} is out of range; allowed: 1 to {max}");
            problems.push(Problem::new(format!("group.{field}"), reason));
        }
    };
    check("ranks", group.ranks, MAX_RANKS);
    check("experts", group.experts, MAX_EXPERTS);
    check("slots", group.slots, MAX_EXPERTS);
    let total_slots = u64::from(group.ranks) * u64::from(group.slots);
    if total_slots < u64::from(group.experts) {
        let reason = format!(
            "{total_slots} slots on all ranks hold fewer than {} experts",
            group.experts
        );
        problems.push(Problem::new("group.slots", reason));
    }
}

fn check_account(problems: &mut Vec<Problem>, field: &str, account: &Account) {
    if !(1..=MAX_WEIGHT).contains(&account.weight) {
        let reason = format!(
            "{} is out of range; allowed: 1 to {MAX_WEIGHT}",
            account.weight
        );
        problems.push(Problem::new(format!("{field}.weight"), reason));
    }
    if account.keys.len() > MAX_KEYS {
        problems.push(Problem::new(
            format!("{field}.keys"),
            format!("more than {MAX_KEYS} keys"),
        ));
    }
    for (position, key) in account.keys.iter().enumerate() {
        if !is_digest(key) {
            let reason =
                "not a digest; allowed: SHA-256 in 64 lower-case hex digits, never the key itself";
            problems.push(Problem::new(format!("{field}.keys[{position}]"), reason));
        }
    }
}

fn check_domains(problems: &mut Vec<Problem>, domains: &BTreeMap<String, DomainState>) {
    if domains.is_empty() {
        problems.push(Problem::new(
            "domains",
            "at least one failure domain is declared",
        ));
    } else if domains
        .values()
        .all(|state| *state == DomainState::Withdrawn)
    {
        let reason = "every failure domain is withdrawn; at least one stays `in-service`";
        problems.push(Problem::new("domains", reason));
    }
}

fn shared_keys(accounts: &BTreeMap<String, Account>) -> Vec<Problem> {
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    let mut problems = Vec::new();
    for (name, account) in accounts {
        for (position, key) in account.keys.iter().enumerate() {
            if let Some(owner) = owners.insert(key, name) {
                let reason = format!("the same key belongs to account `{owner}`");
                problems.push(Problem::new(
                    format!("accounts.{name}.keys[{position}]"),
                    reason,
                ));
            }
        }
    }
    problems
}

/// Returns whether `text` is a SHA-256 in lower-case hex.
pub fn is_digest(text: &str) -> bool {
    text.len() == 64
        && text
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}

fn shorten(text: &str) -> String {
    const SHOWN_CHARS: usize = 60;
    let clean: String = text
        .chars()
        .take(SHOWN_CHARS)
        .flat_map(char::escape_debug)
        .collect();
    match text.chars().count() > SHOWN_CHARS {
        true => format!("{clean}..."),
        false => clean,
    }
}
