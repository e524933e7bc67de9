//! Load runs against stand-in engines, and their bounds.

use std::time::Duration;

use kumquatdrum_replay::load::{self, Error, Options, Path};
use kumquatdrum_testing::Fault;
use kumquatdrum_testing::engine::{self, Engine};

async fn start(name: &str) -> Engine {
    let options = engine::Options::new(name, "formula-llm", "formula", "hall-raatuse");
    Engine::start(options).await.unwrap()
}

fn path(address: std::net::SocketAddr) -> Path {
    Path {
        address,
        service: "formula-llm".to_owned(),
        key: None,
    }
}

fn options(through: std::net::SocketAddr, straight: std::net::SocketAddr) -> Options {
    Options {
        through: path(through),
        straight: path(straight),
        rate: 400.0,
        count: 40,
        warm_up: 10,
        prompt_tokens: 100,
        max_tokens: 4,
        bytes_per_token: 4.0,
        deadline: Duration::from_secs(30),
        pid: Some(std::process::id()),
    }
}

/// Guards against a client that expects another text than stand-in engines send.
#[tokio::test]
async fn both_paths_are_measured_in_one_run() {
    let (one, two) = (start("e1").await, start("e2").await);
    let comparison = load::run(&options(one.address(), two.address()))
        .await
        .unwrap();
    assert_eq!(comparison.through.finished, 30);
    assert_eq!(comparison.straight.finished, 30);
    assert!(comparison.first_token_ratio.is_some());
    assert!(comparison.daemon.is_some());
    assert_eq!(one.counts().duplicate_digests().count(), 0);
    one.shutdown().await;
    two.shutdown().await;
}

#[tokio::test]
async fn failures_are_counted_by_code() {
    let (one, two) = (start("e1").await, start("e2").await);
    one.inject(&Fault::Fail);
    two.inject(&Fault::Cross {
        count: 40,
        header: false,
    });
    let comparison = load::run(&options(one.address(), two.address()))
        .await
        .unwrap();
    assert_eq!(comparison.through.others, 30);
    assert_eq!(comparison.through.codes["internal"], 30);
    assert_eq!(comparison.straight.codes["client_crossed_answer"], 30);
    one.shutdown().await;
    two.shutdown().await;
}

#[tokio::test]
async fn load_out_of_bounds_is_refused() {
    let loopback = "127.0.0.1:9".parse().unwrap();
    let remote = "192.0.2.1:9".parse().unwrap();
    let base = options(loopback, loopback);
    let refused = async |options: Options| load::run(&options).await.unwrap_err();
    let not_loopback = refused(options(loopback, remote)).await;
    assert!(matches!(not_loopback, Error::NotLoopback(address) if address == remote));
    for rate in [0.0, -1.0, f64::NAN, load::MAX_RATE * 2.0] {
        let error = refused(Options {
            rate,
            ..base.clone()
        });
        assert!(matches!(error.await, Error::InvalidRate), "{rate}");
    }
    for count in [0, 10, load::MAX_COUNT + 1] {
        let error = refused(Options {
            count,
            ..base.clone()
        });
        assert!(matches!(error.await, Error::InvalidCount), "{count}");
    }
    let slow = Options { rate: 0.1, ..base };
    assert!(matches!(refused(slow).await, Error::TooLong));
}
