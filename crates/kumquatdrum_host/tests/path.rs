//! A request from caller to endpoint and back, without faults.

mod support;

use support::{System, answer, call, completion, got, streamed_text};

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_comes_back_whole() {
    let system = System::start(1).await;
    let engine = system.engine("e1", 0).await;
    let got = got(call(system.callers(0), &completion("shade 7.1", 5, false))).await;
    assert_eq!(got.status, 200, "{got:?}");
    assert_eq!(got.text(), answer("shade 7.1", 5));
    engine.shutdown().await;
    system.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_answer_ends_with_its_marker() {
    let system = System::start(3).await;
    let engine = system.engine("e1", 0).await;
    let got = got(call(system.callers(0), &completion("shade 7.1", 5, true))).await;
    assert_eq!(
        streamed_text(&got.body),
        Some(answer("shade 7.1", 5)),
        "{got:?}"
    );
    engine.shutdown().await;
    system.stop().await;
}
