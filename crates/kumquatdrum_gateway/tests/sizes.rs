//! Encoded sizes of what hosts exchange about crashes and limits.

use kumquatdrum_gateway::evacuations::Report;
use kumquatdrum_gateway::message::{
    Datagram, EndpointSelection, Event, Hello, Host, Listing, Member, Reach, Request, Response,
    Selection,
};
use kumquatdrum_placement::{EndpointKey, Rate};
use kumquatdrum_quarantine::{
    Crash, Evidence, Fingerprint, Incarnation, Origin, Probe, Subject, Suspect,
};
use kumquatdrum_types::{Checkpoint, HostId};

/// The maximum size of a datagram's events.
const MAX_BATCH_BYTES: usize = 1_300;
/// The maximum number of bytes that hellos carry without news.
const MAX_IDLE_BYTES: usize = 16;

fn suspect(subject: Subject, crashes: u64) -> Suspect {
    let origin = matches!(subject, Subject::Part(_)).then_some(Origin {
        request: u32::MAX,
        workspace: u32::MAX,
    });
    let crash = |endpoint: u64| Crash {
        endpoint: Incarnation(u64::MAX - endpoint),
        age_ms: 3_600_000,
        had_begun: false,
        is_cleared: false,
        origin,
        is_shared: false,
    };
    let probe = |id: u64| Probe {
        id: u64::MAX - id,
        age_ms: 3_600_000,
        is_cleared: false,
    };
    Suspect {
        subject,
        crashes: (0..crashes).map(crash).collect(),
        probes: (0..crashes / 2).map(probe).collect(),
    }
}

#[test]
fn a_suspect_with_the_most_crashes_fits_a_datagram() {
    let encode = |subject, crashes| {
        let event = Event::Suspected(suspect(subject, crashes));
        postcard::to_stdvec(&event).expect("bytes").len()
    };
    let request = Subject::Request(Fingerprint::of("POST", "/x/", None, b"text"));
    let part = Subject::Part(Fingerprint::of_part("llm", None, 7));
    for subject in [request, part] {
        let (one, most) = (encode(subject, 1), encode(subject, 16));
        println!("{subject:?}: 1 crash: {one}, 16 crashes: {most}");
        assert!(most < MAX_BATCH_BYTES, "{most}");
    }
}

#[test]
fn evidence_without_news_adds_few_bytes_to_a_hello() {
    let checkpoint = Checkpoint {
        boot: 1_768_712_430_021,
        changes: 40_000,
    };
    let evidence = Evidence {
        checkpoint,
        suspects: Vec::new(),
    };
    let answer = postcard::to_stdvec(&evidence).expect("bytes").len();
    let known = postcard::to_stdvec(&checkpoint).expect("bytes").len();
    assert!(answer <= MAX_IDLE_BYTES && known <= MAX_IDLE_BYTES);
    println!("hello: {}, answer: {answer}", answer + known);
}

#[test]
fn datagrams_about_limits_are_small() {
    let (service, key) = ("confdraft-llm", EndpointKey(u64::MAX));
    for event in [
        Event::Limited(service.into(), key, Rate::new(1.8)),
        Event::Taken(service.into(), key, u32::MAX),
    ] {
        let datagram = Datagram {
            reach: Reach::Host,
            events: vec![event],
        };
        let bytes = postcard::to_stdvec(&datagram).expect("bytes");
        assert!(bytes.len() < 60, "{}", bytes.len());
    }
}

/// Prints the sizes from which docs/design/recovery.md derives what a start of all hosts costs.
#[test]
fn a_light_hello_and_its_answer_are_small() {
    let host = Host {
        id: HostId::new("10.10.100.100"),
        data_centre: "data-centre-1".into(),
        boot: 1_768_712_430_021,
        accepts_callers: true,
        is_control: false,
        replica: None,
        is_stopping: false,
    };
    let evidence = || Evidence {
        checkpoint: Checkpoint::default(),
        suspects: Vec::new(),
    };
    let checkpoint = Checkpoint {
        boot: host.boot,
        changes: 40_000,
    };
    let hello = Request::Hello(Hello {
        host: host.clone(),
        revision: 40_000,
        endpoints: EndpointSelection::Departures(Some(checkpoint)),
        hosts: Selection::Nothing,
        evidence: evidence(),
        known_evidence: Checkpoint::default(),
        evacuations: Report::default(),
    });
    let welcome = |hosts| Response::Welcome {
        host: host.clone(),
        is_reachable: true,
        hosts,
        has_majority: true,
        revision: 40_000,
        endpoints: Vec::new(),
        refreshes: Vec::new(),
        endpoints_version: Some(checkpoint),
        evidence: evidence(),
        evacuations: Report::default(),
    };
    let member = Member {
        host: host.clone(),
        age_ms: 500,
    };
    let listing = Listing {
        version: Checkpoint::default(),
        is_complete: true,
        hosts: vec![member; 300],
    };
    let hello = postcard::to_stdvec(&hello).expect("bytes").len();
    let light = postcard::to_stdvec(&welcome(None)).expect("bytes").len();
    let listed = postcard::to_stdvec(&welcome(Some(listing)))
        .expect("bytes")
        .len();
    println!("hello: {hello}, answer: {light}, with a listing of 300 hosts: {listed}");
    assert!(hello < 100 && light < 100, "{hello}, {light}");
}
