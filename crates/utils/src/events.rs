//! Catalogue of numbered log events; docs/EVENTS.md describes each for operators.

use log::Level;

/// Kind of log event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Code in the catalogue, printed as `JJ-<code>`.
    pub code: u16,
    /// Level at which the event is logged.
    pub level: Level,
    /// Short name, used in metrics and tests.
    pub name: &'static str,
}

/// Log target of events that occur with each request or pass.
pub const FREQUENT_TARGET: &str = "jujube::frequent";

/// Log target of all other events.
const DEFAULT_TARGET: &str = "jujube";

/// Codes of events about requests.
const REQUEST_CODES: std::ops::Range<u16> = 1_100..1_200;

impl Event {
    /// Returns the log target of the event's lines.
    pub fn target(&self) -> &'static str {
        match REQUEST_CODES.contains(&self.code) || self.level >= Level::Debug {
            true => FREQUENT_TARGET,
            false => DEFAULT_TARGET,
        }
    }
}

macro_rules! catalogue {
    ($($ident:ident = $code:literal $level:ident $name:literal;)*) => {
        $(
            #[doc = concat!("JJ-", $code, ": ", $name, ".")]
            pub const $ident: Event = Event { code: $code, level: Level::$level, name: $name };
        )*

        /// All events, in ascending order of their codes.
        pub const ALL: &[Event] = &[$($ident),*];
    };
}

catalogue! {
    // 10xx: process
    PROCESS_STARTED = 1001 Info "process_started";
    PROCESS_DRAINING = 1002 Info "process_draining";
    PROCESS_STOPPED = 1003 Info "process_stopped";
    PROCESS_FAILED = 1004 Error "process_failed";
    PROCESS_STALLED = 1005 Warn "process_stalled";
    SETTINGS_RELOADED = 1006 Info "settings_reloaded";
    TASK_FAILED = 1007 Error "task_failed";
    // 11xx: requests
    REQUEST_REFUSED = 1101 Debug "request_refused";
    ATTEMPT_RETRIED = 1102 Info "attempt_retried";
    OUTCOME_UNKNOWN = 1103 Warn "outcome_unknown";
    STREAM_RESUMED = 1104 Info "stream_resumed";
    ANSWER_DROPPED = 1105 Warn "answer_dropped";
    KEY_REPLAYED = 1106 Info "key_replayed";
    CALL_REPEATED = 1107 Warn "call_repeated";
    REQUEST_ENDED = 1108 Info "request_ended";
    ATTEMPT_FAILED = 1109 Info "attempt_failed";
    // 12xx: admission
    LIMIT_TO_FLOOR = 1201 Warn "limit_to_floor";
    SERVER_WARM = 1202 Info "server_warm";
    SERVER_UNREACHABLE = 1203 Warn "server_unreachable";
    // 13xx: configuration
    CONFIG_ACCEPTED = 1301 Info "config_accepted";
    CONFIG_REFUSED = 1302 Error "config_refused";
    CONFIG_SERVICE_DOWN = 1303 Warn "config_service_down";
    CONFIG_SERVICE_BACK = 1304 Info "config_service_back";
    CONFIG_STALE_READ = 1305 Warn "config_stale_read";
    STORE_COMPACTED = 1306 Info "store_compacted";
    STORE_NEWS = 1307 Info "store_news";
    STORE_ERA_CHANGED = 1308 Warn "store_era_changed";
    // 14xx: membership and failure domains
    MEMBER_CHANGED = 1401 Info "member_changed";
    DOMAIN_WITHDRAWN = 1402 Warn "domain_withdrawn";
    DOMAIN_RETURNED = 1403 Info "domain_returned";
    AUTHORITY_LOST = 1404 Warn "authority_lost";
    AUTHORITY_BACK = 1405 Info "authority_back";
    AGGREGATOR_CHANGED = 1406 Info "aggregator_changed";
    SERVER_LEAVES = 1407 Info "server_leaves";
    SERVER_PAUSES = 1408 Info "server_pauses";
    SERVER_CRASHED = 1409 Warn "server_crashed";
    SUSPECTS_CHANGED = 1410 Warn "suspects_changed";
    SERVER_RATE_LIMIT = 1411 Info "server_rate_limit";
    CONNECTIONS_FULL = 1412 Warn "connections_full";
    // 15xx: groups
    MAP_PREPARED = 1501 Info "map_prepared";
    MAP_COMMITTED = 1502 Info "map_committed";
    MAP_ABORTED = 1503 Warn "map_aborted";
    ORDER_FENCED = 1504 Warn "order_fenced";
    REBALANCE_PLANNED = 1505 Info "rebalance_planned";
    GROUP_LEADER = 1506 Info "group_leader";
    GROUP_LOAD = 1507 Debug "group_load";
    PASS_SEEN = 1508 Debug "pass_seen";
    GROUP_STATE = 1509 Info "group_state";
    MAP_FETCHED = 1510 Info "map_fetched";
    ORDERS_GIVEN = 1511 Debug "orders_given";
    LOADED_FOR = 1512 Info "loaded_for";
    WATCHERS_CHANGED = 1513 Info "watchers_changed";
    ORDER_NOT_TAKEN = 1514 Debug "order_not_taken";
    DELEGATION_REJECTED = 1515 Info "delegation_rejected";
    DECISION_READ = 1516 Info "decision_read";
    DEPUTY_REPORTED = 1517 Info "deputy_reported";
    ENGINE_READ_REMOTELY = 1518 Info "engine_read_remotely";
    OTHER_GROUP = 1519 Info "other_group";
    GROUP_CHANGED = 1520 Info "group_changed";
}

/// Logs an event of the catalogue with its code and, optionally, fields in addition to the message:
/// `log_event!(events::CONFIG_ACCEPTED, index = index; "accepted")`.
#[macro_export]
macro_rules! log_event {
    ($event:expr, $($key:ident = $value:expr),+; $($arg:tt)+) => {{
        let event: $crate::events::Event = $event;
        ::log::log!(
            target: event.target(), event.level, event = event.code, $($key = $value),+; $($arg)+
        )
    }};
    ($event:expr, $($arg:tt)+) => {{
        let event: $crate::events::Event = $event;
        ::log::log!(target: event.target(), event.level, event = event.code; $($arg)+)
    }};
}
