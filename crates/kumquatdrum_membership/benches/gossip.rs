//! Bench.

fn main() {}
