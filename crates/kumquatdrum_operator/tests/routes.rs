//! The operators' routes over an in-memory control plane.

mod support;

use std::sync::Arc;

use kumquatdrum_declaration::parse::MAX_BYTES;
use kumquatdrum_operator::report::{
    ACCEPTED_HEADER, DIGEST_HEADER, HostState, Report, STANDING_HEADER, VERSION_HEADER,
};
use kumquatdrum_setup::control::{Page, Status as SystemStatus};
use kumquatdrum_setup::{Failure, Standing, audit};
use kumquatdrum_types::{Version, digest};
use rocket::http::{Header, Status};
use rocket::local::blocking::{Client, LocalResponse};
use support::{CALLER_KEY, Fake, Fault, KEY, Lines, START_MS, request, text};

struct Fixture {
    control: Arc<Fake>,
    lines: Lines,
    client: Client,
}

impl Fixture {
    fn new(control: Fake) -> Self {
        let control = Arc::new(control);
        let lines = Lines::default();
        let rocket = support::rocket(Arc::clone(&control), lines.clone());
        let client = Client::untracked(rocket).expect("valid routes");
        Self {
            control,
            lines,
            client,
        }
    }

    fn post(&self, path: &str, body: impl AsRef<[u8]>) -> LocalResponse<'_> {
        self.client
            .post(path.to_owned())
            .header(bearer(KEY))
            .body(body)
            .dispatch()
    }

    fn get(&self, path: &str) -> LocalResponse<'_> {
        self.client
            .get(path.to_owned())
            .header(bearer(KEY))
            .dispatch()
    }

    fn apply(&self, path: &str, level: u8) -> (Status, Report) {
        report(self.post(path, text(level)))
    }
}

fn bearer(key: &str) -> Header<'static> {
    Header::new("Authorization", format!("Bearer {key}"))
}

fn report(response: LocalResponse<'_>) -> (Status, Report) {
    let status = response.status();
    let body = response.into_string().expect("a body");
    (status, serde_json::from_str(&body).expect("a report"))
}

fn accepted(version: u64) -> Report {
    Report::Accepted {
        version: Version(version),
        rollout: None,
    }
}

#[test]
fn requests_without_an_operators_key_are_unauthorized() {
    let fixture = Fixture::new(Fake::default());
    let digest = digest::hex(KEY.as_bytes());
    let headers = [
        None,
        Some(bearer("")),
        Some(bearer(CALLER_KEY)),
        Some(bearer(&digest)),
        Some(Header::new("Authorization", KEY)),
        Some(Header::new("Authorization", format!("Basic {KEY}"))),
    ];
    for header in headers {
        let mut requests = vec![fixture.client.post("/v1/apply?base=0").body(text(1))];
        for path in ["/v1/declaration", "/v1/audit", "/v1/status", "/v1/schema"] {
            requests.push(fixture.client.get(path));
        }
        for mut request in requests {
            if let Some(header) = &header {
                request.add_header(header.clone());
            }
            let answer = report(request.dispatch());
            assert_eq!(answer, (Status::Unauthorized, Report::Unauthorized));
        }
    }
    assert!(fixture.control.state.lock().unwrap().trail().is_empty());
}

#[test]
fn each_apply_answer_has_a_status() {
    let fixture = Fixture::new(Fake::default());
    let first = "/v1/apply?base=0&apply_id=change-1";
    assert_eq!(fixture.apply(first, 1), (Status::Ok, accepted(1)));
    assert_eq!(
        fixture.apply("/v1/apply?base=1", 2),
        (Status::Ok, accepted(2))
    );
    assert_eq!(fixture.apply(first, 1), (Status::Ok, accepted(1)));
    let conflict = Report::Conflict {
        current: Version(2),
    };
    let answer = fixture.apply("/v1/apply?base=1", 3);
    assert_eq!(answer, (Status::Conflict, conflict));
    let taken = Report::IdTaken {
        version: Version(1),
    };
    let answer = fixture.apply("/v1/apply?base=2&apply_id=change-1", 3);
    assert_eq!(answer, (Status::Conflict, taken));
    let (status, report) = report(fixture.post("/v1/apply?base=2", r#"{"modles": [], "x": 1}"#));
    assert_eq!(status, Status::UnprocessableEntity);
    let Report::Refused { findings } = report else {
        panic!("{report:?}")
    };
    let places: Vec<_> = findings.iter().map(|finding| &finding.place).collect();
    assert_eq!(places, ["/modles", "/x"]);
}

#[test]
fn failures_distinguish_unavailable_from_unknown() {
    let fixture = Fixture::new(Fake::default());
    let leader = Some("h3".into());
    let faults = [
        Fault::Fail(Failure::Unavailable),
        Fault::Fail(Failure::NotLeader { leader }),
        Fault::LoseAnswer,
    ];
    fixture.control.faults.lock().unwrap().extend(faults);
    let response = fixture.post("/v1/apply?base=0", text(1));
    assert_eq!(response.headers().get_one("Retry-After"), Some("1"));
    let unavailable = |leader| Report::Unavailable {
        retry_after_ms: 1_000,
        leader,
    };
    assert_eq!(
        report(response),
        (Status::ServiceUnavailable, unavailable(None))
    );
    let answer = fixture.apply("/v1/apply?base=0", 1);
    assert_eq!(
        answer,
        (Status::ServiceUnavailable, unavailable(Some("h3".into())))
    );
    let answer = fixture.apply("/v1/apply?base=0", 1);
    assert_eq!(answer, (Status::GatewayTimeout, Report::Unknown));
    assert_eq!(
        fixture.apply("/v1/apply?base=0", 1),
        (Status::Ok, accepted(1))
    );
}

#[test]
fn invalid_requests_are_rejected_without_effect() {
    let fixture = Fixture::new(Fake::default());
    let long_id = format!("/v1/apply?base=0&apply_id={}", "x".repeat(129));
    let paths = [
        "/v1/apply",
        "/v1/apply?base=-1",
        "/v1/apply?base=latest",
        "/v1/apply?base=0&wait=soon",
        "/v1/apply?base=0&apply_id=",
        "/v1/apply?base=0&apply_id=%0A",
        &long_id,
    ];
    for path in paths {
        let (status, report) = fixture.apply(path, 1);
        assert_eq!(status, Status::BadRequest, "{path}");
        assert!(matches!(report, Report::BadRequest { .. }), "{path}");
    }
    let (status, _) = report(fixture.post("/v1/apply?base=0", [0xff, 0xfe]));
    assert_eq!(status, Status::BadRequest);
    let (status, _) = report(fixture.post("/v1/apply?base=0", " ".repeat(MAX_BYTES + 1)));
    assert_eq!(status, Status::PayloadTooLarge);
    for path in ["/v1/declaration?version=1&at=1", "/v1/audit?from=x"] {
        assert_eq!(report(fixture.get(path)).0, Status::BadRequest, "{path}");
    }
    assert!(fixture.control.state.lock().unwrap().trail().is_empty());
}

#[test]
fn declarations_are_returned_byte_for_byte() {
    let fixture = Fixture::new(Fake::default());
    fixture.control.apply_now(&request(0, 1));
    fixture.control.apply_now(&request(1, 2));
    let between = START_MS + 1_500;
    let cases = [
        ("/v1/declaration".to_owned(), "2", text(2)),
        ("/v1/declaration?version=1".to_owned(), "1", text(1)),
        (format!("/v1/declaration?at={between}"), "1", text(1)),
        ("/v1/declaration?at=0".to_owned(), "0", "{}".to_owned()),
    ];
    for (path, version, text) in cases {
        let response = fixture.get(&path);
        let header = |name| response.headers().get_one(name).map(str::to_owned);
        assert_eq!(header(VERSION_HEADER).as_deref(), Some(version), "{path}");
        assert_eq!(header(DIGEST_HEADER), Some(digest::hex(text.as_bytes())));
        assert_eq!(header(STANDING_HEADER).as_deref(), Some("\"confirmed\""));
        assert!(header(ACCEPTED_HEADER).is_some());
        assert_eq!(response.into_bytes(), Some(text.into_bytes()));
    }
    let answer = report(fixture.get("/v1/declaration?version=3"));
    assert_eq!(answer, (Status::NotFound, Report::NoSuchVersion));
}

#[test]
fn an_unconfirmed_read_is_marked_as_last_known() {
    let fixture = Fixture::new(Fake::default());
    *fixture.control.standing.lock().unwrap() = Standing::LastKnown {
        as_of_unix_ms: Some(7),
    };
    let response = fixture.get("/v1/declaration");
    let standing = response.headers().get_one(STANDING_HEADER);
    assert_eq!(standing, Some(r#"{"last_known":{"as_of_unix_ms":7}}"#));
}

#[test]
fn audit_pages_verify() {
    let fixture = Fixture::new(Fake::default());
    for base in 0..5 {
        fixture.control.apply_now(&request(base, base as u8));
    }
    let body = fixture.get("/v1/audit?from=3&limit=2").into_string();
    let page: Page = serde_json::from_str(&body.expect("a body")).expect("a page");
    let sequences: Vec<_> = page
        .entries
        .iter()
        .map(|entry| entry.record.sequence)
        .collect();
    assert_eq!(sequences, [3, 4]);
    assert_eq!(page.next, Some(5));
    audit::verify(page.previous, &page.entries).expect("a valid chain");
    let body = fixture.get("/v1/audit?limit=0").into_string();
    let page: Page = serde_json::from_str(&body.expect("a body")).expect("a page");
    assert_eq!(page.entries.len(), 1);
}

#[test]
fn status_and_schema_are_json() {
    let fixture = Fixture::new(Fake::default());
    let body = fixture.get("/v1/status").into_string().expect("a body");
    let status: SystemStatus = serde_json::from_str(&body).expect("a status");
    assert_eq!(status.hosts.len(), 2);
    let body = fixture.get("/v1/schema").into_string().expect("a body");
    let schema: serde_json::Value = serde_json::from_str(&body).expect("a schema");
    assert_eq!(schema, kumquatdrum_declaration::schema());
}

#[test]
fn an_apply_waits_until_its_version_is_in_force_everywhere() {
    let fixture = Fixture::new(Fake::default());
    let versions = [None, Some(0), Some(1)];
    fixture.control.h2_versions.lock().unwrap().extend(versions);
    let (status, report) = fixture.apply("/v1/apply?base=0&wait=60000", 1);
    assert_eq!(status, Status::Ok);
    let Report::Accepted {
        rollout: Some(rollout),
        ..
    } = report
    else {
        panic!("{report:?}")
    };
    assert!(rollout.is_everywhere);
    assert_eq!(rollout.hosts.len(), 2);
}

#[test]
fn an_apply_reports_unreachable_hosts() {
    let fixture = Fixture::new(Fake::default());
    fixture.control.h2_versions.lock().unwrap().push_back(None);
    let (_, report) = fixture.apply("/v1/apply?base=0&wait=1", 1);
    let Report::Accepted {
        rollout: Some(rollout),
        ..
    } = report
    else {
        panic!("{report:?}")
    };
    assert!(!rollout.is_everywhere);
    let states: Vec<_> = rollout.hosts.iter().map(|host| host.state).collect();
    assert_eq!(states, [HostState::InForce, HostState::CutOff]);
}

#[test]
fn logs_contain_the_operator_and_no_secret() {
    let fixture = Fixture::new(Fake::default());
    fixture.apply("/v1/apply?base=0&apply_id=change-1", 1);
    let caller = fixture.client.get("/v1/status").header(bearer(CALLER_KEY));
    caller.dispatch();
    let expected = [
        "event=apply operator=kadri base=0 apply_id=change-1 outcome=accepted ",
        "event=operator_refused path=/v1/status ",
    ];
    assert_eq!(fixture.lines.all(), expected);
}
