//! Publishes the operators' files to the stand-in platform.

use std::path::Path;

use anyhow::{Context, bail};
use jj_operator::{
    check::check_directory,
    documents::{DOCUMENT_PREFIX, MANIFEST_KEY},
    finding::Finding,
    published::Bundle,
};
use jj_platform::wire::INDEX_HEADER;
use jj_utils::ids::ConfigIndex;
use reqwest::Client;

/// Checks the operators' files below `directory` and publishes them; returns the manifest's index.
///
/// # Errors
/// When the check has findings, or the platform refuses a put.
pub async fn publish_directory(
    client: &Client,
    platform: &str,
    directory: &Path,
) -> anyhow::Result<ConfigIndex> {
    match check_directory(directory)? {
        Ok(collected) => publish(client, platform, &collected.bundle).await,
        Err(findings) => {
            let lines: Vec<String> = findings.iter().map(Finding::to_string).collect();
            bail!("not published:\n{}", lines.join("\n"))
        }
    }
}

/// Puts the documents and then the manifest, which refers to them; returns the manifest's index.
///
/// # Errors
/// When the platform refuses a put.
pub async fn publish(
    client: &Client,
    platform: &str,
    bundle: &Bundle,
) -> anyhow::Result<ConfigIndex> {
    for (digest, text) in &bundle.documents {
        put(
            client,
            platform,
            &format!("{DOCUMENT_PREFIX}{digest}"),
            text,
        )
        .await?;
    }
    put(client, platform, MANIFEST_KEY, &bundle.manifest).await
}

async fn put(
    client: &Client,
    platform: &str,
    key: &str,
    text: &str,
) -> anyhow::Result<ConfigIndex> {
    let request = client.put(format!("{platform}/v1/kv/{key}"));
    let response = request.body(text.to_owned()).send().await?;
    let response = response.error_for_status()?;
    let index = response.headers().get(INDEX_HEADER);
    let index = index.context("no index in the platform's response")?;
    Ok(index.to_str()?.parse()?)
}
