//! The cost of one decision at several fleet sizes.

fn main() {}
