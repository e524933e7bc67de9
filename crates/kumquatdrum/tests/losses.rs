//! The `losses` command counts late, refused and cut requests by cause.

use std::path::PathBuf;
use std::process::{Command, Output};

use serde_json::Value;
use tempfile::TempDir;

/// The log lines of one request for each cause, and of two requests that were answered on time.
const LOG: &str = "\
time=100.000 host=a prompt=300000 due_ms=2500 sent=0 reason=\"no room: too long a prompt for what else is asked for\" end=given_up request=r1 event=request_ended
time=100.100 host=a sent=0 reason=\"no room: no endpoint is known\" end=given_up request=r2 event=request_ended
time=100.200 host=a status=503 reason=\"this host does not know yet what is in force\" request=r3 event=request_refused
time=100.250 host=a sent=0 reason=\"the request 0a1b is blocked: 3 endpoints crashed while they ran it\" end=blocked request=r15 event=request_ended
time=100.300 host=a sent=1 reason=500 end=answered request=r4 event=request_ended
time=100.400 host=a sent=1 reason=\"no answer in time\" end=given_up request=r5 event=request_ended
time=100.500 host=a prompt=4000 waited_ms=0 backlog_ms=0.0 request=r6 event=placed
time=100.600 host=a sent=1 request=r7 event=retry
time=100.700 host=a prompt=4000 due_ms=300 first_ms=400 pause_ms=250 longest_pause_ms=90 end=streamed request=r7 event=request_ended
time=100.800 host=a prompt=45000 waited_ms=900 backlog_ms=0.0 request=r8 event=placed
time=100.900 host=a prompt=45000 due_ms=1500 first_ms=1700 pause_ms=600 longest_pause_ms=90 end=streamed request=r8 event=request_ended
time=101.000 host=a prompt=4000 waited_ms=0 backlog_ms=110.0 request=r9 event=placed
time=101.100 host=a prompt=4000 due_ms=300 first_ms=350 pause_ms=250 longest_pause_ms=90 end=streamed request=r9 event=request_ended
time=101.200 host=a prompt=4000 waited_ms=0 backlog_ms=10.0 request=r10 event=placed
time=101.300 host=a prompt=4000 due_ms=300 first_ms=350 pause_ms=250 longest_pause_ms=90 end=streamed request=r10 event=request_ended
time=120.000 host=a after=3 request=r11 event=resume
time=120.100 host=a prompt=4000 due_ms=300 first_ms=100 pause_ms=250 longest_pause_ms=400 end=streamed request=r11 event=request_ended
time=120.200 host=a prompt=150000 due_ms=2500 first_ms=100 pause_ms=1000 longest_pause_ms=1200 end=streamed request=r12 event=request_ended
time=120.300 host=a prompt=4000 due_ms=300 first_ms=100 pause_ms=250 longest_pause_ms=90 end=streamed request=r13 event=request_ended
time=120.400 host=a sent=1 reason=200 end=answered request=r14 event=request_ended
time=120.450 host=a peer=b event=host_lost
time=120.500 host=a helper=c request=r16 event=helper_failed
time=120.510 host=a sent=1 prompt=150000 reason=503 end=answered request=r16 event=request_ended
time=120.520 host=a helper=c request=r17 event=helper_failed
time=120.530 host=a sent=1 request=r17 event=retry
time=120.540 host=a prompt=45000 due_ms=1500 first_ms=1700 pause_ms=600 longest_pause_ms=90 end=streamed request=r17 event=request_ended
time=120.600 host=b prompt=4000 waited_ms=0 backlog_ms=0.0 request=r18 event=placed
time=121.000 host=b address=10.0.0.2 event=started
time=121.100 host=b sent=0 reason=\"no room: no endpoint is known\" end=given_up request=r19 event=request_ended
time=121.200 host=b status=503 reason=\"this host does not know yet what is in force\" request=r20 event=request_refused
time=121.300 host=b prompt=4000 sent=0 reason=\"no room: its endpoints have asked for a back-off\" end=given_up request=r21 event=request_ended
time=121.400 host=b delay_ms=3000 request=r22 event=endpoint_backoff
time=121.410 host=b sent=1 reason=503 end=answered request=r22 event=request_ended
time=121.500 host=b decision=waits hold=backoff request=r23 event=request_held
time=121.900 host=b prompt=4000 due_ms=300 first_ms=400 pause_ms=250 longest_pause_ms=90 end=streamed request=r23 event=request_ended
time=122.000 host=a sent=0 reason=\"no room: no host reaches its endpoints\" end=given_up request=r24 event=request_ended
time=122.100 host=a outcome=path_lost reason=\"endpoints answer other hosts only\" request=r25 event=attempt
time=122.110 host=a sent=1 reason=\"the endpoint failed: endpoints answer other hosts only\" end=given_up request=r25 event=request_ended
time=122.200 host=a outcome=path_lost reason=\"endpoints answer other hosts only\" request=r26 event=attempt
time=122.210 host=a sent=1 request=r26 event=retry
time=122.220 host=a outcome=answered relay=b request=r26 event=relayed
time=122.230 host=b for=a request=r26 event=relaying
time=122.500 host=a prompt=4000 due_ms=300 first_ms=400 pause_ms=250 longest_pause_ms=90 end=streamed request=r26 event=request_ended
a line that is cut off: time=120.5 host=a prom
";

const TABLE: &str = "\
prompts                                  none    short     long  longest
asked                                      11       10        2        3
refused: too much else is asked for         0        0        0        1
refused: no endpoint                        1        0        0        0
refused: no host reaches endpoints          1        0        0        0
refused: endpoints in back-off              1        1        0        0
refused: host not informed                  1        0        0        0
refused: host starting                      2        0        0        0
refused: it crashes endpoints               1        0        0        0
failed: by its endpoint                     1        0        0        0
failed: path to its endpoint lost           1        0        0        0
failed: by a helper                         0        0        0        1
failed: time up                             1        0        0        0
no end: host lost                           0        1        0        0
no end: caller left                         0        1        0        0
late: retried                               0        1        0        0
late: path to an endpoint lost              0        1        0        0
late: a helper failed                       0        0        1        0
late: held back by an endpoint              0        1        0        0
late: waited for its turn                   0        0        1        0
late: behind what its engine read           0        1        0        0
late: engine slower than foreseen           0        1        0        0
pause: broken and resumed                   0        1        0        0
pause: engine read meanwhile                0        0        0        1
";

fn losses(arguments: &[&str], files: &[PathBuf]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_kumquatdrum"))
        .arg("losses")
        .args(arguments)
        .args(files)
        .output()
        .expect("the command")
}

fn write_log(folder: &TempDir, name: &str, text: &str) -> PathBuf {
    let path = folder.path().join(name);
    std::fs::write(&path, text).expect("a log");
    path
}

#[test]
fn each_lost_request_has_one_cause() {
    let folder = TempDir::new().expect("a folder");
    let log = write_log(&folder, "a.log", LOG);
    let output = losses(&[], &[log]);
    assert!(output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stdout), TABLE);
}

#[test]
fn json_has_the_counts_of_each_span() {
    let folder = TempDir::new().expect("a folder");
    let log = write_log(&folder, "a.log", LOG);
    let output = losses(&["--json", "--every", "10"], &[log]);
    let printed: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let seconds: Vec<&Value> = printed["spans"]
        .as_array()
        .expect("spans")
        .iter()
        .map(|span| &span["second"])
        .collect();
    assert_eq!(seconds, [0, 20]);
    let late = &printed["spans"][1]["lost"]["pause: broken and resumed"];
    assert_eq!((&late["short"], &late["long"]), (&1.into(), &0.into()));
}

#[test]
fn files_that_are_not_logs_are_reported_and_skipped() {
    let folder = TempDir::new().expect("a folder");
    let log = write_log(&folder, "a.log", LOG);
    let empty = write_log(&folder, "empty.log", "");
    let other = write_log(&folder, "other.log", "GET / 200\n");
    let missing = folder.path().join("missing.log");
    let output = losses(&[], &[empty.clone(), other, missing, log]);
    assert!(output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stdout), TABLE);
    let warnings = String::from_utf8_lossy(&output.stderr).into_owned();
    for name in ["empty.log", "other.log", "missing.log"] {
        assert!(warnings.contains(name), "{warnings}");
    }
    assert_eq!(losses(&[], &[empty]).status.code(), Some(1));
}
