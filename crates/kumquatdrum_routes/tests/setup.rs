//! Validation, lookups, and the order of revisions.

use std::time::Duration;

use kumquatdrum_routes::{
    Delivery, Record, Register, Route, Service, Setup, Share, Table, Workspace, validate,
};
use kumquatdrum_types::{ServiceName, WorkspaceName};

fn route(host: &str, prefix: &str, service: &str) -> Route {
    Route {
        name: prefix.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        delivery: Delivery::Safe,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        priority: 1,
        shares: vec![Share {
            service: ServiceName::new(service),
            weight: 1,
        }],
        max_attempts: 2,
        is_public: false,
    }
}

fn setup(routes: Vec<Route>) -> Setup {
    Setup {
        revision: 3,
        routes,
        services: [(ServiceName::new("s"), Service::default())].into(),
        ..Setup::default()
    }
}

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    Workspace {
        name: WorkspaceName::new(name),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        priority: None,
    }
}

fn places(setup: &Setup) -> Vec<String> {
    validate(setup)
        .into_iter()
        .map(|finding| finding.place)
        .collect()
}

#[test]
fn every_error_is_reported_with_its_place() {
    let mut unknown = route("a", "/x/", "nobody");
    unknown.timeout = Duration::ZERO;
    let mut weightless = route("a", "/y/", "s");
    weightless.shares[0].weight = 0;
    let twice = route("A", "/y/", "s");
    let mut setup = setup(vec![unknown, weightless, twice]);
    setup.workspaces = Some(vec![
        workspace("one", &["k", "l"]),
        workspace("two", &["l"]),
    ]);
    let expected = [
        "/routes/0/service",
        "/routes/0/timeout",
        "/routes/1/weight",
        "/routes/2",
        "/workspaces/1",
    ];
    assert_eq!(places(&setup), expected);
}

#[test]
fn a_workspace_may_list_a_key_twice() {
    let mut setup = setup(vec![route("a", "/", "s")]);
    setup.workspaces = Some(vec![workspace("one", &["k", "k"])]);
    assert_eq!(places(&setup), [] as [&str; 0]);
}

#[test]
fn the_longest_prefix_of_a_host_wins() {
    let routes = vec![
        route("a.example", "/", "s"),
        route("a.example", "/x/", "s"),
        route("a.example", "/x/y/", "s"),
        route("b.example", "/x/", "s"),
    ];
    let table = Table::new(setup(routes));
    let prefix = |host: &str, path: &str| table.route(host, path).map(|route| &*route.prefix);
    assert_eq!(prefix("a.example", "/x/y/z"), Some("/x/y/"));
    assert_eq!(prefix("A.Example:80", "/x/yz"), Some("/x/"));
    assert_eq!(prefix("a.example", "/x"), Some("/"));
    assert_eq!(prefix("b.example", "/y/"), None);
    assert_eq!(prefix("c.example", "/x/"), None);
}

#[test]
fn a_key_maps_to_its_workspace() {
    let mut setup = setup(Vec::new());
    setup.workspaces = Some(vec![workspace("one", &["k"]), workspace("two", &["l"])]);
    let table = Table::new(setup);
    let name = |key: &str| {
        table
            .workspace(key)
            .map(|workspace| workspace.name.as_str())
    };
    assert_eq!(name("l"), Some("two"));
    assert_eq!(name("m"), None);
}

#[test]
fn only_a_higher_revision_is_taken() {
    let record =
        |revision, text: &str| Record::new(revision, text.as_bytes()).expect("a short text");
    let mut register = Register::default();
    assert!(register.apply(record(5, "five")));
    assert!(!register.apply(record(5, "other content under the same number")));
    assert!(!register.apply(record(4, "four")));
    assert_eq!(register.current(), Some(&record(5, "five")));
    assert!(register.apply(record(9, "nine")));
    assert_eq!(register.revision(), 9);
}
