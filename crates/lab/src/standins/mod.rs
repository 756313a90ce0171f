//! Small stand-ins for what the system talks to.

pub mod platform;
pub mod platform_state;
