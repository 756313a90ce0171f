//! The operators' publishing step against the stand-in platform.

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

/// Collects the operators' files below `directory` and puts them into the platform.
///
/// # Errors
/// When the files have findings or the platform does not take them.
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

/// Puts documents first and the manifest last; returns the manifest's index.
///
/// # Errors
/// When the platform does not take them.
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
    let index = index.context("the platform names no index")?;
    Ok(index.to_str()?.parse()?)
}
