//! Snapshot tests: each `<case>.json` must give the findings in `<case>.findings`.
//!
//! `UPDATE_SNAPSHOTS=1` rewrites the snapshots.

use std::fs;
use std::path::{Path, PathBuf};

const SECRET: &str = "plain-secret";

fn cases() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cases");
    let entries = fs::read_dir(folder).expect("the case folder");
    let mut cases: Vec<_> = entries
        .map(|entry| entry.expect("a folder entry").path())
        .filter(|path| {
            path.extension()
                .is_some_and(|extension| extension == "json")
        })
        .collect();
    cases.sort();
    cases
}

fn findings(text: &str) -> String {
    let findings = kumquatdrum_declaration::parse_and_check(text)
        .err()
        .unwrap_or_default();
    let lines: Vec<_> = findings.iter().map(ToString::to_string).collect();
    lines.into_iter().map(|line| line + "\n").collect()
}

#[test]
fn cases_match_their_snapshots() {
    let cases = cases();
    assert_eq!(cases.len(), 12);
    let mut wrong = Vec::new();
    for case in cases {
        let found = findings(&fs::read_to_string(&case).expect("a case"));
        assert!(
            !found.contains(SECRET),
            "{}: a finding shows a secret",
            case.display()
        );
        let expected = case.with_extension("findings");
        if std::env::var_os("UPDATE_SNAPSHOTS").is_some() {
            fs::write(&expected, &found).expect("a writable case folder");
        }
        if fs::read_to_string(&expected).unwrap_or_default() != found {
            wrong.push(format!("{}:\n{found}", case.display()));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn examples_have_no_findings() {
    for (name, engines, plain) in [("toonikaart", 25, 3), ("treasury", 15, 3)] {
        let path = format!("{}/../../examples/{name}.json", env!("CARGO_MANIFEST_DIR"));
        let text = fs::read_to_string(path).expect("an example");
        assert_eq!(findings(&text), "", "{name}");
        let declaration = kumquatdrum_declaration::parse_and_check(&text).expect("no findings");
        let count = |service: usize| {
            let name = &declaration.services[service].name;
            let endpoints = declaration.endpoints.iter();
            endpoints
                .filter(|endpoint| endpoint.service == *name)
                .count()
        };
        assert_eq!((count(0), count(1)), (engines, plain), "{name}");
        assert_eq!(declaration.workspaces.len(), 10, "{name}");
    }
}

#[test]
fn a_file_over_the_limit_is_refused() {
    let text = " ".repeat(kumquatdrum_declaration::parse::MAX_BYTES + 1);
    assert_eq!(findings(&text), "/: is longer than 8388608 bytes\n");
}
