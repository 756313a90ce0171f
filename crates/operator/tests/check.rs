//! Operators' files: all faults are reported at once with file, line, field and what is allowed;
//! merging is deterministic.

use std::path::Path;

use googletest::prelude::*;
use jj_operator::{
    check::{FileText, check_directory, check_files},
    collect::{Collected, read_directory, write_directory},
    files::FileDefaults,
    finding::Finding,
    published::Published,
};
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

const DOMAINS: &str = "[domains]\na = \"in-service\"\n";
const ROUTE: &str = "[[routes]]\nmethod = \"GET\"\npath = \"/x\"\nidempotent = true\n";

fn file(name: &str, text: &str) -> FileText {
    FileText {
        name: name.to_owned(),
        bytes: text.as_bytes().to_vec(),
    }
}

fn check(files: Vec<FileText>) -> std::result::Result<Collected, Vec<Finding>> {
    check_files(files, &FileDefaults::default())
}

fn lines(files: Vec<FileText>) -> Vec<String> {
    let findings = check(files).err().unwrap_or_default();
    findings.iter().map(Finding::to_string).collect()
}

fn plain(name: &str) -> String {
    format!("service = \"{name}\"\nkind = \"plain\"\n{ROUTE}")
}

fn examples() -> [std::path::PathBuf; 2] {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    [root.join("hangang"), root.join("kalahari")]
}

#[gtest]
fn example_deployments_have_no_findings() {
    for directory in examples() {
        let collected = check_directory(&directory).unwrap().unwrap();
        let published = Published::parse(1, collected.bundle.into()).unwrap();

        expect_that!(published.services.len(), eq(2));
        expect_that!(published.fleet.domains.len(), eq(3));
        let once_only = published
            .services
            .values()
            .flat_map(|service| &service.routes);
        expect_that!(once_only.filter(|route| !route.idempotent).count(), eq(1));
    }
}

#[gtest]
fn findings_name_line_field_and_allowed_values() {
    let service = "service = \"desk\"\nkind = \"plain\"\n";
    // Text of one file, and its expected findings in order.
    let cases: &[(&str, &[&str])] = &[
        (
            "kind = \"plain\"\n",
            &["f:1: kind: stands without `service`"],
        ),
        ("", &["f:1: declares nothing"]),
        ("= 3\n", &["f:1: "]),
        (
            "service = \"Desk\"\nkind = \"plain\"\n",
            &[
                "f:1: routes: ",
                "f:1: service: `Desk` is not a name; allowed: 1 to 63",
            ],
        ),
        (
            "service = 7\nkind = \"grpc\"\n",
            &[
                "f:1: service: not valid (integer)",
                "f:2: kind: not a kind of service; allowed: \"model\", \"plain\"",
            ],
        ),
        (
            &format!("{service}colour = 1\n{ROUTE}"),
            &["f:3: colour: unknown field; allowed: service, kind"],
        ),
        (
            &format!("{service}models = [\"m\"]\n{ROUTE}"),
            &["f:3: models: a service of kind `plain` names no models"],
        ),
        (
            &format!(
                "{service}[[routes]]\nmethod = \"get\"\npath = \"x\"\nidempotent = true\ntimeout = \"2h\"\n"
            ),
            &[
                "f:4: routes[0].method: `get` is not a method; allowed: GET",
                "f:5: routes[0].path: `x` is not a path",
                "f:7: routes[0].timeout: 7200000 ms is out of range; allowed: 1ms to 1h",
            ],
        ),
        (
            &format!(
                "{service}[[routes]]\nmethod = \"GET\"\npath = \"/a/**/b\"\nidempotent = true\n"
            ),
            &["f:5: routes[0].path: `/a/**/b`: `*` stands alone"],
        ),
        (
            &format!("{service}[[routes]]\nmethod = \"GET\"\npath = \"/a\"\n"),
            &["f:3: routes[0].idempotent: missing; allowed: true or false"],
        ),
        (
            &format!(
                "{service}[[routes]]\nmethod = \"GET\"\npath = \"/a\"\nidempotent = \"yes\"\ntimeout = 5\n"
            ),
            &[
                "f:6: routes[0].idempotent: not valid (string); allowed: true or false",
                "f:7: routes[0].timeout: not valid (integer); allowed: a duration in quotes",
            ],
        ),
        (
            &format!("{service}{ROUTE}{ROUTE}"),
            &["f:7: routes[1]: same method and path as routes[0]"],
        ),
        (
            &format!(
                "{service}limits = {{ cold_floor = 9, concurrency = 3, queue = -1 }}\n{ROUTE}"
            ),
            &["f:3: limits.queue: not valid (integer)"],
        ),
        (
            &format!("{service}limits = {{ cold_floor = 9, concurrency = 3 }}\n{ROUTE}"),
            &["f:3: limits.cold_floor: 9 is above concurrency (3)"],
        ),
        (
            &format!("{service}limits = {{ tokens = 0 }}\n{ROUTE}"),
            &[
                "f:3: limits.tokens: 0 is out of range; allowed: 1 to 1000000000",
                "f:3: limits.tokens: only a service of kind `model` has a limit in tokens",
            ],
        ),
        (
            &format!("{service}limits = {{ tokens = 4096 }}\n{ROUTE}"),
            &["f:3: limits.tokens: only a service of kind `model` has a limit in tokens"],
        ),
        (
            &format!(
                "{service}{ROUTE}[group]\nranks = 2\nexperts = 9\nslots = 4\nfencing = true\n"
            ),
            &[
                "f:7: group: only a service of kind `model`",
                "f:10: group.slots: 8 slots on all ranks hold fewer than 9 experts",
            ],
        ),
        (
            "[domains]\na = \"out\"\n",
            &["f:2: domains.a: not a state; allowed: \"in-service\", \"withdrawn\""],
        ),
        (
            "[accounts.big]\nweight = 0\nkeys = [\"secret\"]\n",
            &[
                "f:1: accounts.big.keys[0]: not a digest",
                "f:1: accounts.big.weight: 0 is out of range; allowed: 1 to 10000",
            ],
        ),
    ];
    for (text, expected) in cases {
        let mut files = vec![file("f", text)];
        if !text.contains("[domains]") {
            files.push(file("domains", DOMAINS));
        }
        // Another valid service, so that only the case's own faults are reported.
        files.push(file("other", &plain("other")));

        let found = lines(files);

        assert_that!(found.len(), eq(expected.len()), "{text}\n{found:#?}");
        for (line, start) in found.iter().zip(*expected) {
            expect_that!(line, starts_with(*start), "{text}");
        }
    }
}

#[gtest]
fn findings_of_all_files_are_reported_at_once() {
    let found = lines(vec![
        file("a", "service = \"A\"\nkind = \"plain\"\n"),
        file("b", "service = \"b\"\nkind = \"grpc\"\n"),
        FileText {
            name: "c".into(),
            bytes: b"x = 1\ny = \"\xff\"\n".to_vec(),
        },
    ]);

    expect_that!(found, contains(starts_with("a:1: service")));
    expect_that!(found, contains(starts_with("b:2: kind")));
    expect_that!(found, contains(eq("c:2: not UTF-8")));
}

#[gtest]
fn duplicate_declarations_are_reported_at_both_files() {
    let account = "[accounts.big]\nweight = 2\n";
    let model =
        |name: &str| format!("service = \"{name}\"\nkind = \"model\"\nmodels = [\"m\"]\n{ROUTE}");

    let found = lines(vec![
        file("one", &format!("{}{DOMAINS}{account}", plain("desk"))),
        file("two", &format!("{}{DOMAINS}{account}", plain("desk"))),
        file("three", &model("x")),
        file("four", &model("y")),
    ]);

    for field in ["service", "domains.a", "accounts.big"] {
        for file in ["one", "two"] {
            let claims = found.iter().filter(|line| {
                line.starts_with(&format!("{file}:"))
                    && line.contains(&format!(" {field}: "))
                    && line.contains("is claimed by")
            });
            expect_that!(claims.count(), eq(1), "{field} in {file}: {found:#?}");
        }
    }
    expect_that!(
        found,
        contains(contains_substring("model `m` is claimed by service"))
    );
}

#[gtest]
fn missing_domains_or_services_and_withdrawing_all_domains_are_reported() {
    let cases = [
        (
            vec![file("s", &plain("desk"))],
            "(all files): domains: at least one",
        ),
        (
            vec![file("d", DOMAINS)],
            "(all files): no file declares a service",
        ),
        (
            vec![
                file("s", &plain("desk")),
                file("d", "[domains]\na = \"withdrawn\"\n"),
            ],
            "(all files): domains: every failure domain is withdrawn",
        ),
    ];
    for (files, expected) in cases {
        expect_that!(lines(files), elements_are![starts_with(expected)]);
    }
}

#[gtest]
fn file_order_does_not_change_the_published_bytes() {
    let mut random = Pcg64Mcg::new(3);
    let mut files = vec![file("fleet", DOMAINS)];
    for number in 0..40 {
        files.push(file(&format!("s{number}"), &plain(&format!("s{number}"))));
        files.push(file(
            &format!("a{number}"),
            &format!("[accounts.a{number}]\n"),
        ));
    }
    let first = check(files.clone()).unwrap();

    for _ in 0..20 {
        files.shuffle(&mut random);
        let again = check(files.clone()).unwrap();

        expect_that!(again == first, eq(true));
    }
}

#[gtest]
fn accounts_are_split_so_that_one_change_transfers_few_bytes() {
    let fleet = |weight: u32| {
        let mut text = String::from(DOMAINS);
        for number in 0..8_100 {
            let weight = if number == 77 { weight } else { 1 };
            let key = format!("{number:064x}");
            text.push_str(&format!(
                "[accounts.account-{number}]\nweight = {weight}\nkeys = [\"{key}\"]\n"
            ));
        }
        vec![file("s", &plain("desk")), file("fleet", &text)]
    };

    let before = check(fleet(1)).unwrap();
    let after = check(fleet(2)).unwrap();

    let changed = after.bundle.documents.iter();
    let changed: Vec<_> = changed
        .filter(|(digest, _)| !before.bundle.documents.contains_key(*digest))
        .collect();
    let largest = after.bundle.documents.values().map(String::len).max();
    expect_that!(changed.len(), eq(1));
    expect_that!(largest, some(lt(50_000)));
    let published = Published::parse(1, after.bundle.into()).unwrap();
    expect_that!(published.fleet.accounts.len(), eq(8_100));
    expect_that!(published.fleet.accounts["account-77"].weight, eq(2));
}

#[gtest]
fn written_publication_reads_back_unchanged() {
    let out = std::env::temp_dir().join(format!("jujube-collect-{}", std::process::id()));
    let collected = check_directory(&examples()[0]).unwrap().unwrap();

    write_directory(&collected, &out).unwrap();
    let bundle = read_directory(&out).unwrap();

    std::fs::remove_dir_all(&out).unwrap();
    expect_that!(bundle, eq(&collected.bundle));
}
