//! Callers get an answer although the task of their request fails.

use std::cell::Cell;
use std::convert::Infallible;

use http::Response;
use kumquatdrum_gateway::body;
use kumquatdrum_gateway::listener::catch_panic;

#[tokio::test]
async fn a_panic_does_not_end_a_request_without_an_answer() {
    let has_panicked = Cell::new(false);
    let answer = async { panic!("a fault of the host") };
    let answer = catch_panic::<Infallible>(answer, || has_panicked.set(true)).await;
    assert_eq!(answer.expect("a response").status(), 500);
    assert!(has_panicked.get());

    let answer = async { Ok::<_, Infallible>(Response::new(body::full("whole"))) };
    let answer = catch_panic(answer, || panic!("no panic to report")).await;
    assert_eq!(answer.expect("a response").status(), 200);
}
