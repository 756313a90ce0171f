//! What the deputy of a switch remembers of its orders, and what it may say about them.
//!
//! A deputy answers from memory. Its answer is evidence only for the switch that it names: a process
//! that has started since, or that never received the leader's request, names none.

use jj_utils::common_derives;

use crate::{
    map_switch::{Activation, MapVersion, Pass},
    switch_messages::{DeputyReport, DeputyState},
};

common_derives! {copy:
    /// Orders of a deputy for one switch.
    pub struct DeputyRecord {
        /// Version of the map of the switch.
        version: MapVersion,
        state: DeputyState,
    }
}

impl DeputyRecord {
    /// Returns the record with which a deputy begins to handle a leader's request for a map. What
    /// was ordered for earlier requests of the same switch stays.
    pub fn begin(known: Option<Self>, version: MapVersion) -> Self {
        let same_switch = known.filter(|it| it.version == version);
        same_switch.unwrap_or(Self {
            version,
            state: DeputyState::NotOrdered,
        })
    }

    /// Records that the activation is sent to the leader's engine; until the engine has confirmed
    /// it, its outcome is unknown.
    pub fn record_sent(&mut self) {
        if !matches!(self.state, DeputyState::Active(_)) {
            self.state = DeputyState::Unknown;
        }
    }

    /// Records that the leader's engine has confirmed the activation.
    pub fn record_active(&mut self, pass: Pass) {
        let version = self.version;
        self.state = DeputyState::Active(Activation { version, pass });
    }

    /// Returns what the deputy says about its orders; `None` stands for a deputy without a record.
    pub fn report(record: Option<Self>) -> DeputyReport {
        record.map_or(DeputyReport::UNINFORMED, |it| DeputyReport {
            version: it.version,
            state: it.state,
        })
    }
}
