//! Command line of the router fleet.

fn main() {}
