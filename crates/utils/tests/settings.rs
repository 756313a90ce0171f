//! Settings reader: flags override variables, and all errors are reported together.

use googletest::prelude::*;
use jj_utils::settings::SettingsReader;

#[gtest]
fn flag_wins_over_variable() {
    let env = |name: &str| (name == "JUJUBE_MAX_BODY").then(|| "7".to_owned());
    let mut reader = SettingsReader::new(&env);

    let from_env: u32 = reader.optional("max-body", None, 1);
    let from_flag: u32 = reader.optional("max-body", Some("9".into()), 1);

    expect_that!(from_env, eq(7));
    expect_that!(from_flag, eq(9));
}

#[gtest]
fn all_errors_are_reported_together() {
    let env = |_: &str| None;
    let mut reader = SettingsReader::new(&env);

    let _: u32 = reader.optional("max-body", Some("x".into()), 1);
    let _: Option<String> = reader.required("instance", None);
    let error = reader.finish().unwrap_err().to_string();

    expect_that!(error, contains_substring("--max-body"));
    expect_that!(error, contains_substring("JUJUBE_INSTANCE"));
}
