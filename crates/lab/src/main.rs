//! Stand-ins, load, fault injection and experiments; never shipped.

fn main() {}
