//! Daemon that runs on every entry host.

fn main() {}
