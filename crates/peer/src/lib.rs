//! Protocols between the system's own processes.
