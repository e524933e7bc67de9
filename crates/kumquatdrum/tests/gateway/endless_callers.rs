//! Callers that send bytes without end.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::caller::{self, Framing, Request};
use crate::cluster::{CONTROL_HOSTS, Cluster, config};
use crate::endless::{MAX_RESIDENT_BYTES, peak_bytes};
use crate::endpoint::{Behaviour, Endpoint};

const HOST: usize = CONTROL_HOSTS;
const DEADLINE_MS: u64 = 2_000;
/// The time in which each caller has an answer, or its connection ends.
const MAX_TIME: Duration = Duration::from_millis(DEADLINE_MS + 1_000);
/// The time after which a host reads no more: the deadline, 10 s for the rest of a refused body, 5 s for the
/// close in stages.
const MAX_READ_ON: Duration = Duration::from_millis(DEADLINE_MS + 18_000);
/// The time in which other requests are served on a busy machine.
const MAX_TAKEN: Duration = Duration::from_secs(2);

/// Sends a start and then bytes without end, and returns whether the host answers or ends the
/// connection in time.
async fn press(address: SocketAddr, start: String, more: &'static str) -> bool {
    let stream = TcpStream::connect(address).await.expect("a host");
    let (mut reader, mut writer) = stream.into_split();
    let more = more.repeat((64 << 10) / more.len());
    let sending = async {
        let mut written = writer.write_all(start.as_bytes()).await;
        while written.is_ok() {
            written = writer.write_all(more.as_bytes()).await;
        }
    };
    let mut buffer = [0; 1_024];
    let ended = timeout(MAX_TIME, async {
        tokio::select! {
            () = sending => {}
            _ = reader.read(&mut buffer) => {}
        }
    });
    ended.await.is_ok()
}

/// Sends a start and then bytes without end, and returns how long the host takes them.
async fn press_to_end(address: SocketAddr, start: &str, more: &str) -> Option<Duration> {
    let started = Instant::now();
    let mut stream = TcpStream::connect(address).await.expect("a host");
    let more = more.repeat((64 << 10) / more.len());
    let ended = timeout(MAX_READ_ON, async {
        let mut written = stream.write_all(start.as_bytes()).await;
        while written.is_ok() {
            written = stream.write_all(more.as_bytes()).await;
        }
    });
    ended.await.ok().map(|()| started.elapsed())
}

async fn play(cluster: &Cluster, name: &str, start: String, more: &'static str) -> Vec<String> {
    let address = cluster.callers(HOST);
    let pressing = tokio::spawn(press(address, start, more));
    let (mut most, mut longest, mut faults) = (0, Duration::ZERO, Vec::new());
    let started = Instant::now();
    while !pressing.is_finished() {
        let sent_at = Instant::now();
        let end = caller::call(address, &Request::new("/safe/x", "at-other")).await;
        if end.status() != 200 {
            faults.push(format!("{name}: {end:?}"));
        }
        longest = longest.max(sent_at.elapsed());
        most = most.max(peak_bytes(cluster.process(HOST)));
        sleep(Duration::from_millis(20)).await;
    }
    let is_answered = pressing.await.expect("a caller");
    let elapsed = started.elapsed();
    println!(
        "{name}: answered {is_answered} in {elapsed:?}, {most} at the peak, others in {longest:?}"
    );
    let checks = [
        (!is_answered, "not answered in time".to_owned()),
        (
            longest > MAX_TAKEN,
            format!("another request took {longest:?}"),
        ),
        (
            most > MAX_RESIDENT_BYTES,
            format!("{most} bytes at the peak"),
        ),
    ];
    let wrong = checks.into_iter().filter(|(is_fault, _)| *is_fault);
    faults.extend(wrong.map(|(_, fault)| format!("{name}: {fault}")));
    faults
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_send_without_end_harm_no_other_request() {
    let cluster = Cluster::start(328);
    cluster.apply(&config(1)).await;
    let endpoint = Endpoint::start("i-1", Behaviour::CompleteBody).await;
    cluster.announce(&endpoint, "plain", "ready", 1).await;
    cluster.wait_until_ready(HOST, &endpoint).await;
    let chunked = Request {
        framing: Framing::Chunked,
        deadline_ms: DEADLINE_MS,
        ..Request::new("/safe/x", "at-endless")
    };
    let head = chunked.head();
    let cases = [
        ("request line", "POST /".to_owned(), "x"),
        ("blank lines", String::new(), "\r\n"),
        ("headers", "POST / HTTP/1.1\r\n".to_owned(), "X-More: x\r\n"),
        ("header line", "POST / HTTP/1.1\r\nX-More: ".to_owned(), "x"),
        ("body", head.clone(), "5\r\nwhole\r\n"),
        ("chunk size", head.clone(), "0"),
        ("chunk space", head.clone() + "5", " "),
        ("chunk extension", head.clone() + "5;", "x"),
        ("trailers", head.clone() + "0\r\n", "X-More: x\r\n"),
        ("behind a request", head.clone() + "0\r\n\r\n", "\r\n"),
    ];
    let mut faults = Vec::new();
    for (name, start, more) in cases {
        faults.extend(play(&cluster, name, start, more).await);
    }
    assert!(faults.is_empty(), "{faults:#?}");
    let address = cluster.callers(HOST);
    let (sizes, spaces) = (head.clone(), head + "5");
    let (sizes, spaces) = tokio::join!(
        press_to_end(address, &sizes, "0"),
        press_to_end(address, &spaces, " ")
    );
    println!("read for {sizes:?} and {spaces:?}");
    assert!(sizes.is_some() && spaces.is_some());
}
