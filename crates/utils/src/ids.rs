//! Type aliases for the ids that travel between packages.

/// One process of the system, as the platform names it.
pub type InstanceId = String;

/// A failure domain, as operators name it.
pub type FailureDomainId = String;

/// A client account.
pub type ClientAccountId = String;

/// A backend server instance.
pub type BackendServerId = String;

/// A declared service or model group.
pub type ServiceId = String;

/// A model, as callers name it.
pub type ModelId = String;

/// One caller request; unique over the fleet.
pub type RequestId = String;

/// One try of a request at one agent; unique within its request.
pub type AttemptId = u32;

/// Distinguishes successive lives of one process; a later life has a larger number.
pub type Incarnation = u64;

/// Fencing number of a group's leader.
pub type Term = u64;

/// The configuration service's own modification index.
pub type ConfigIndex = u64;

/// Position of a rank in its group, from 0.
pub type Rank = u32;

/// Expert number within a layer, from 0.
pub type ExpertId = u32;
