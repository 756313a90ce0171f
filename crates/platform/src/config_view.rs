//! The configuration known to a process, and the rule by which it changes.

use std::sync::Arc;

use jj_operator::published::{Offer, Published, Refusal};
use jj_policy::config_versions::{self, ConfigVersion, ConfigVersions};
use jj_utils::{clock::Timestamp, events, ids::ConfigIndex, log_event};
use tokio::sync::watch;

/// The configuration in force, the last refused version and the last confirmation.
#[derive(Debug, Clone, Default)]
pub struct ConfigView {
    /// The last accepted publication.
    pub published: Option<Arc<Published>>,
    /// Latest time at which the configuration service is known to have had nothing newer. A
    /// response is dated by when it was made at the earliest, not by when it was received.
    pub confirmed_at: Option<Timestamp>,
    /// The last refused publication newer than the accepted one.
    pub refused: Option<Arc<Refusal>>,
    /// Whether a publication has been accepted, after the first poll of the peers.
    pub ready: bool,
    versions: ConfigVersions,
}

impl ConfigView {
    /// Returns the index of the accepted publication; 0 before the first.
    pub fn index(&self) -> ConfigIndex {
        self.versions.index_in_force()
    }

    fn refused_index(&self) -> ConfigIndex {
        self.refused.as_ref().map_or(0, |refusal| refusal.index)
    }
}

/// Checks a publication and installs it if it is newer than the accepted one.
pub fn accept(view: &watch::Sender<ConfigView>, offer: Offer) {
    if offer.index < view.borrow().index() {
        return;
    }
    let version = ConfigVersion {
        index: offer.index,
        digest: offer.bundle.digest(),
    };
    // Parsed before the view is locked, since parsing is slow for a large fleet.
    let checked = Published::parse(offer.index, Arc::new(offer.bundle));
    let mut decision = config_versions::VersionDecision::Stale;
    view.send_if_modified(|view| {
        let check = || match &checked {
            Ok(_) => Ok(()),
            Err(refusal) => Err(refusal.to_string()),
        };
        decision = view.versions.offer(&version, check);
        let accepted = decision == config_versions::VersionDecision::Accepted;
        if let (true, Ok(published)) = (accepted, &checked) {
            view.install(published.clone());
        }
        accepted
    });
    let ConfigVersion { index, digest } = version;
    match (decision, checked) {
        (config_versions::VersionDecision::Refused(_), Err(refusal)) => refuse(view, refusal),
        (config_versions::VersionDecision::Conflict, _) => {
            let text =
                format!("publication {digest} conflicts with the one in force at index {index}");
            log_event!(events::CONFIG_REFUSED, "{text}; it is ignored");
        }
        _ => {}
    }
}

/// Records a refusal if it is newer than the last one.
pub fn refuse(view: &watch::Sender<ConfigView>, refusal: Refusal) {
    if refusal.index <= view.borrow().refused_index() {
        return;
    }
    view.send_modify(|view| view.refused = Some(Arc::new(refusal)));
}

impl ConfigView {
    fn install(&mut self, published: Published) {
        let index = published.index;
        self.published = Some(Arc::new(published));
        self.ready = true;
        self.refused = self.refused.take().filter(|refusal| refusal.index > index);
    }
}
