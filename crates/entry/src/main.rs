//! The entry process and the operators' command line.

fn main() {}
