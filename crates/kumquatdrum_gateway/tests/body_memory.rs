//! The budget for bodies is never exceeded, and nothing that waits for it is passed over.

use std::time::Duration;

use kumquatdrum_gateway::body_memory::{Budget, Reservation};
use tokio::time::timeout;

const TOTAL: u32 = 1_000;
const SHORT: Duration = Duration::from_millis(20);

async fn try_reserve(budget: &Budget, bytes: usize) -> Option<Reservation> {
    timeout(SHORT, budget.reserve(bytes)).await.ok()
}

#[tokio::test]
async fn a_body_waits_until_others_have_returned_their_memory() {
    let budget = Budget::new(TOTAL);
    let first = budget.reserve(700).await;
    assert!(try_reserve(&budget, 400).await.is_none());
    assert_eq!(budget.reserved(), 700);
    drop(first);
    assert!(try_reserve(&budget, 400).await.is_some());
}

/// Guards against a large body that waits for ever while small ones come after it.
#[tokio::test]
async fn a_large_body_is_not_passed_over() {
    let budget = Budget::new(TOTAL);
    let first = budget.reserve(500).await;
    let waiting = tokio::spawn({
        let budget = budget.clone();
        async move { budget.reserve(900).await }
    });
    tokio::task::yield_now().await;
    assert!(try_reserve(&budget, 100).await.is_none());
    drop(first);
    let large = waiting.await.expect("the task ends");
    assert_eq!(budget.reserved(), 900);
    drop(large);
}

#[tokio::test]
async fn a_body_larger_than_the_budget_takes_all_of_it() {
    let budget = Budget::new(TOTAL);
    let reservation = try_reserve(&budget, 5_000).await;
    assert!(reservation.is_some());
    assert_eq!(budget.reserved(), 1_000);
}

#[tokio::test]
async fn what_a_body_did_not_need_is_returned() {
    let budget = Budget::new(TOTAL);
    let mut reservation = budget.reserve(800).await;
    reservation.shrink_to(300);
    assert_eq!(budget.reserved(), 300);
    reservation.shrink_to(900);
    assert_eq!(budget.reserved(), 300);
}

/// Guards against memory that stays reserved after a request was given up while it waited.
#[tokio::test]
async fn a_request_that_was_given_up_reserves_nothing() {
    let budget = Budget::new(TOTAL);
    let first = budget.reserve(1_000).await;
    assert!(try_reserve(&budget, 10).await.is_none());
    drop(first);
    assert_eq!(budget.reserved(), 0);
}
