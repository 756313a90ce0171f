//! Type aliases for the ids shared by all packages.

/// Process of the system, by the platform's name for it.
pub type InstanceId = String;

/// Failure domain, by the operators' name for it.
pub type FailureDomainId = String;

/// Client account.
pub type ClientAccountId = String;

/// Backend server instance.
pub type BackendServerId = String;

/// Declared service or model group.
pub type ServiceId = String;

/// Model, by the callers' name for it.
pub type ModelId = String;

/// Caller's request; unique in the fleet.
pub type RequestId = String;

/// Attempt of a request at one agent; unique within its request.
pub type AttemptId = u32;

/// Number of one run of a process; increases with each restart.
pub type Incarnation = u64;

/// Term of a group's leader, used as fencing token.
pub type Term = u64;

/// Modification index of the configuration service.
pub type ConfigIndex = u64;

/// Index of a rank in its group, from 0.
pub type Rank = u32;

/// Index of an expert within a layer, from 0.
pub type ExpertId = u32;
