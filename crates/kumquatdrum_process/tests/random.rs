//! Guards against replicas that restart at the same moment and draw the same election timeouts, so
//! that every election is a split vote.

use std::collections::HashSet;

use kumquatdrum_process::random;

#[test]
fn numbers_drawn_at_the_same_moment_differ() {
    const COUNT: usize = 1_000;
    let drawn: HashSet<u64> = (0..COUNT).map(|_| random::number()).collect();
    assert_eq!(drawn.len(), COUNT);
}
