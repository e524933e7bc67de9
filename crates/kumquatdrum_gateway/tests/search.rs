//! The search for the leader, with replicas that are silent, gone, or name others.

use std::time::Duration;

use kumquatdrum_gateway::control::search::{Pace, Search, Step};
use kumquatdrum_types::{HostId, Moment};

const SILENCE: Duration = Duration::from_millis(150);
const RETRY: Duration = Duration::from_millis(60);
/// The time that a caller has.
const LIMIT: Moment = Moment::from_millis(900);

/// How a replica answers.
#[derive(Debug, Clone)]
enum Answer {
    /// Never.
    Silent,
    /// At once, as a follower that knows of this leader.
    Follower(Option<&'static str>),
    /// As a follower, after this many milliseconds.
    Late(u64, Option<&'static str>),
    /// At once, as the leader.
    Leader,
}

/// The requests of a search that has ended, with their times.
#[derive(Debug, Default)]
struct Outcome {
    asked: Vec<(Moment, String)>,
    /// When a leader answered.
    found: Option<Moment>,
}

impl Outcome {
    fn found(&self) -> Moment {
        self.found
            .unwrap_or_else(|| panic!("no leader: {:?}", self.asked))
    }

    fn count(&self, host: &str) -> usize {
        self.asked.iter().filter(|(_, asked)| asked == host).count()
    }
}

/// Searches among replicas, which answer as `answer` tells for the time of a request.
fn play(hosts: &[&str], pace: Pace, answer: impl Fn(&str, Moment) -> Answer) -> Outcome {
    let candidates = || hosts.iter().copied().map(HostId::new).collect();
    let mut search = Search::new(pace, None);
    let mut outcome = Outcome::default();
    let mut answers: Vec<(Moment, HostId, Option<HostId>)> = Vec::new();
    let mut now = Moment::ZERO;
    while now < LIMIT {
        let due = match search.step(now, candidates) {
            Step::Ask(host) => {
                outcome.asked.push((now, host.as_str().to_owned()));
                let (millis, leader) = match answer(host.as_str(), now) {
                    Answer::Leader => {
                        outcome.found = Some(now);
                        return outcome;
                    }
                    Answer::Silent => continue,
                    Answer::Follower(leader) => (1, leader),
                    Answer::Late(millis, leader) => (millis, leader),
                };
                let at = now + Duration::from_millis(millis);
                answers.push((at, host, leader.map(HostId::new)));
                continue;
            }
            Step::Wait(due) => due,
        };
        answers.sort_by_key(|(at, ..)| *at);
        if answers.first().is_some_and(|(at, ..)| *at <= due) {
            let (at, host, leader) = answers.remove(0);
            now = at;
            search.refuse(now, &host, leader);
        } else {
            now = due;
        }
    }
    outcome
}

const HEDGED: Pace = Pace {
    silence: Some(SILENCE),
    retry: RETRY,
};
const SEQUENTIAL: Pace = Pace {
    silence: None,
    retry: RETRY,
};

#[test]
fn silent_replicas_keep_no_other_from_being_asked() {
    let hosts = ["local", "b", "c", "d", "e"];
    let outcome = play(&hosts, HEDGED, |host, _| match host {
        "e" => Answer::Leader,
        "local" => Answer::Follower(Some("b")),
        _ => Answer::Silent,
    });
    assert!(outcome.found() <= Moment::from_millis(1) + SILENCE * 3);
    assert_eq!(outcome.asked.len(), 5, "{outcome:?}");
}

#[test]
fn a_replica_that_owes_an_answer_is_not_asked_again() {
    let hosts = ["local", "b", "c"];
    let outcome = play(&hosts, HEDGED, |host, _| match host {
        "b" => Answer::Silent,
        _ => Answer::Follower(Some("b")),
    });
    assert_eq!(outcome.found, None);
    assert_eq!(outcome.count("b"), 1);
    assert!(outcome.count("local") > 1 && outcome.count("c") > 1);
}

/// Guards against a search that asks only the leader that followers still name.
#[test]
fn a_named_leader_that_is_gone_keeps_no_other_from_being_asked() {
    let hosts = ["local", "b", "c", "d"];
    let outcome = play(&hosts, HEDGED, |host, _| match host {
        "d" => Answer::Leader,
        "b" => Answer::Late(0, None),
        _ => Answer::Follower(Some("b")),
    });
    assert!(outcome.found() < Moment::ZERO + RETRY * 3);
}

#[test]
fn a_new_leader_is_asked_as_soon_as_one_replica_names_it() {
    let hosts = ["local", "b", "c", "d", "e", "f"];
    let elected = Moment::from_millis(400);
    let outcome = play(&hosts, HEDGED, |host, now| match host {
        "b" => Answer::Silent,
        "f" if now >= elected => Answer::Leader,
        _ if now >= elected => Answer::Follower(Some("f")),
        _ => Answer::Follower(Some("b")),
    });
    let found = outcome.found();
    assert!(found <= elected + SILENCE + RETRY, "{found:?}");
}

#[test]
fn an_answer_that_is_late_still_leads_to_the_leader() {
    let hosts = ["local", "b", "c"];
    let outcome = play(&hosts, HEDGED, |host, _| match host {
        "leader" => Answer::Leader,
        "local" => Answer::Late(200, Some("leader")),
        _ => Answer::Silent,
    });
    assert_eq!(outcome.found(), Moment::from_millis(200));
}

/// Guards against requests without a pause between replicas that name each other.
#[test]
fn replicas_that_name_each_other_are_asked_at_the_pace_of_retries() {
    let hosts = ["local", "b"];
    let outcome = play(&hosts, HEDGED, |host, _| match host {
        "local" => Answer::Follower(Some("b")),
        _ => Answer::Follower(Some("local")),
    });
    let rounds = LIMIT.elapsed_from_zero().as_millis() / RETRY.as_millis() + 1;
    assert!(outcome.asked.len() as u128 <= 2 * rounds, "{outcome:?}");
}

/// Guards against a command that is sent to all replicas again and again while the leader is slow.
#[test]
fn a_slow_leader_gets_its_followers_asked_once_per_silence() {
    let hosts = ["local", "b", "c", "d", "e", "f", "g", "h"];
    let outcome = play(&hosts, HEDGED, |host, _| match host {
        "b" => Answer::Silent,
        _ => Answer::Follower(Some("b")),
    });
    let silences = LIMIT.elapsed_from_zero().as_millis() / SILENCE.as_millis();
    assert!(outcome.asked.len() as u128 <= silences + 2, "{outcome:?}");
}

#[test]
fn replicas_without_a_leader_are_asked_again_after_the_retry_delay() {
    let hosts = ["local", "b", "c"];
    let elected = Moment::from_millis(500);
    let outcome = play(&hosts, HEDGED, |host, now| match host {
        "c" if now >= elected => Answer::Leader,
        _ => Answer::Follower(None),
    });
    assert!(outcome.found() <= elected + RETRY * 2, "{outcome:?}");
}

/// Guards against a change that two replicas have at once, and that makes itself stale.
#[test]
fn a_change_is_sent_to_one_replica_at_a_time() {
    let hosts = ["local", "b", "c"];
    let outcome = play(&hosts, SEQUENTIAL, |host, _| match host {
        "local" => Answer::Follower(Some("b")),
        _ => Answer::Silent,
    });
    let asked: Vec<&str> = outcome
        .asked
        .iter()
        .map(|(_, host)| host.as_str())
        .collect();
    assert_eq!(asked, ["local", "b"]);
}

#[test]
fn a_change_goes_to_the_next_replica_after_a_refusal() {
    let hosts = ["local", "b", "c"];
    let outcome = play(&hosts, SEQUENTIAL, |host, _| match host {
        "c" => Answer::Leader,
        "b" => Answer::Late(400, None),
        _ => Answer::Follower(None),
    });
    assert_eq!(outcome.found(), Moment::from_millis(401));
}
