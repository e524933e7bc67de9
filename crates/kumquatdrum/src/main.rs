//! The kumquatdrum command.

fn main() {}
