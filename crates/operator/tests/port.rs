//! The operator port and the audit trail.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use googletest::prelude::*;
use jj_operator::{
    audit::{AuditTrail, Change},
    port::{PortContext, install_metrics, serve_on},
};
use jj_utils::events;
use poem::listener::TcpAcceptor;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

fn change(subject: &str) -> Change {
    Change {
        subject: subject.to_owned(),
        from: "in-service".into(),
        to: "withdrawn".into(),
        reason: "published".into(),
        index: 7,
    }
}

#[gtest]
fn audit_trail_keeps_a_bounded_number_of_recent_changes_in_order() {
    let trail = AuditTrail::default();

    for number in 0..1_000 {
        trail.record(
            events::DOMAIN_WITHDRAWN,
            change(&format!("domain {number}")),
        );
    }
    trail.record(events::DOMAIN_WITHDRAWN, change(&"é".repeat(100_000)));

    let entries = trail.recent();
    let numbers: Vec<u64> = entries.iter().map(|entry| entry.number).collect();
    expect_that!(numbers, eq(&(746..=1_001).collect::<Vec<u64>>()));
    expect_that!(entries[0].change.subject, eq("domain 745"));
    expect_that!(entries[0].name, eq("domain_withdrawn"));
    expect_that!(entries.last().unwrap().change.subject.len(), lt(600));
}

struct Answer {
    status: u16,
    text: String,
}

async fn get(base: &str, path: &str) -> Answer {
    let client = reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("the port answers");
    let response = client
        .get(format!("{base}{path}"))
        .send()
        .await
        .expect("the port answers");
    Answer {
        status: response.status().as_u16(),
        text: response.text().await.expect("the port answers"),
    }
}

#[tokio::test]
async fn port_serves_metrics_health_readiness_status_and_audit() {
    let ready = Arc::new(AtomicBool::new(false));
    let audit = Arc::new(AuditTrail::default());
    audit.record(events::DOMAIN_WITHDRAWN, change("domain a"));
    let shown = ready.clone();
    let context = PortContext {
        metrics: install_metrics().unwrap(),
        readiness: Arc::new(move || match shown.load(Ordering::SeqCst) {
            true => Ok(()),
            false => Err("no configuration yet".into()),
        }),
        status: Arc::new(|| serde_json::json!({"index": 7})),
        audit,
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let base = format!("http://{}", listener.local_addr().unwrap());
    let token = CancellationToken::new();
    let served = tokio::spawn(serve_on(
        TcpAcceptor::from_tokio(listener).unwrap(),
        context,
        token.clone(),
    ));
    metrics::counter!("jujube_test_total").increment(3);

    assert_eq!(get(&base, "/healthz").await.status, 200);
    let unready = get(&base, "/readyz").await;
    assert_eq!(
        (unready.status, unready.text.as_str()),
        (503, "not ready: no configuration yet\n")
    );
    ready.store(true, Ordering::SeqCst);
    assert_eq!(get(&base, "/readyz").await.status, 200);
    let text = get(&base, "/metrics").await.text;
    assert!(text.contains("jujube_test_total 3"), "{text}");
    assert_eq!(get(&base, "/status").await.text, "{\"index\":7}");
    let trail = get(&base, "/audit").await.text;
    assert!(
        trail.contains("\"event\":1402") && trail.contains("domain a"),
        "{trail}"
    );
    token.cancel();
    served.await.unwrap().unwrap();
}
