//! Replicas that restart in the same millisecond must not draw the same election timeouts: they
//! would stand for election together for ever.

use std::collections::HashSet;

use kumquatdrum_process::random;

#[test]
fn numbers_drawn_in_one_moment_differ() {
    const DRAWN: usize = 1_000;
    let drawn: HashSet<u64> = (0..DRAWN).map(|_| random::number()).collect();
    assert_eq!(drawn.len(), DRAWN);
}
