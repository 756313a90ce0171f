//! Recorded traces: small files written by seeded generators.

use std::path::PathBuf;

/// Returns the recorded trace `name`; if `JUJUBE_RECORD` is set, first overwrites it with
/// `generated`.
///
/// # Panics
/// If the recorded trace differs from `generated`.
pub fn recorded(name: &str, generated: String) -> String {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let path = folder.join(format!("{name}.txt"));
    if std::env::var_os("JUJUBE_RECORD").is_some() {
        std::fs::write(&path, &generated).expect("cannot write the trace");
    }
    let text = std::fs::read_to_string(&path).expect("cannot read the recorded trace");
    assert_eq!(
        text, generated,
        "trace {name} differs from the output of its generator"
    );
    text
}
