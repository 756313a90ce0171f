//! Experiments that measure the system or make it fail.
