//! Requests from caller to endpoint without faults.

mod support;

use support::{System, answer, call, completion, send, streamed_text};

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_complete() {
    let system = System::start(1).await;
    let engine = system.engine("e1", 0).await;
    let response = send(call(system.callers(0), &completion("shade 7.1", 5, false))).await;
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.text(), answer("shade 7.1", 5));
    engine.shutdown().await;
    system.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_answer_ends_with_its_end_marker() {
    let system = System::start(3).await;
    let engine = system.engine("e1", 0).await;
    let response = send(call(system.callers(0), &completion("shade 7.1", 5, true))).await;
    assert_eq!(
        streamed_text(&response.body),
        Some(answer("shade 7.1", 5)),
        "{response:?}"
    );
    engine.shutdown().await;
    system.stop().await;
}
