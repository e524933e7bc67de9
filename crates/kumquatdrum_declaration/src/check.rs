//! What a declaration must mean: all findings at once, one file a group of rules.

mod deadlines;
mod keys;
mod limits;
mod models;
mod names;
mod priorities;
mod references;
mod rules;

use std::fmt::Display;

use indexmap::IndexMap;
use kumquatdrum_types::Finding;

use crate::parse::read;
use crate::{Declaration, pointer};

/// A group of rules.
type Group = fn(&Declaration, &mut Findings);

const GROUPS: [Group; 8] = [
    names::check,
    keys::check,
    limits::check,
    references::check,
    deadlines::check,
    rules::check,
    models::check,
    priorities::check,
];

/// All findings of a declaration, in the order of their places' lists.
///
/// ```
/// let declaration = kumquatdrum_declaration::parse(
///     r#"{"priorities": [{"name": "card", "level": 0, "aging_ms": 0}]}"#,
/// );
/// let findings = kumquatdrum_declaration::check(&declaration.unwrap());
/// assert_eq!(findings[0].place, "/priorities/0/aging_ms");
/// ```
pub fn check(declaration: &Declaration) -> Vec<Finding> {
    let mut findings = Findings::default();
    for group in GROUPS {
        group(declaration, &mut findings);
    }
    findings.0
}

/// Reads and checks a file.
///
/// ```
/// assert!(kumquatdrum_declaration::parse_and_check("{}").is_ok());
/// assert!(kumquatdrum_declaration::parse_and_check("[]").is_err());
/// ```
pub fn parse_and_check(text: &str) -> Result<Declaration, Vec<Finding>> {
    let read = read(text)?;
    let mut findings = read.findings;
    if read.is_whole {
        findings.extend(check(&read.declaration));
    }
    if findings.is_empty() {
        Ok(read.declaration)
    } else {
        Err(findings)
    }
}

/// What the groups have found so far.
#[derive(Debug, Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn push(&mut self, place: String, message: impl Into<String>) {
        self.0.push(Finding::new(place, message));
    }

    fn push_if(&mut self, is_wrong: bool, place: impl FnOnce() -> String, message: &str) {
        if is_wrong {
            self.push(place(), message);
        }
    }
}

/// The items of a list with their places.
fn places<'p, 'a, T>(
    place: &'p str,
    items: &'a [T],
) -> impl Iterator<Item = (String, &'a T)> + use<'p, 'a, T> {
    let numbered = items.iter().enumerate();
    numbered.map(move |(position, item)| (pointer::join(place, position), item))
}

/// Finds each name that stands a second time.
fn duplicates<N: Display>(names: impl Iterator<Item = (String, N)>, findings: &mut Findings) {
    let mut first: IndexMap<String, String> = IndexMap::new();
    for (place, name) in names {
        match first.get(&name.to_string()) {
            Some(earlier) => findings.push(place, format!("is the same as {earlier}")),
            None => {
                first.insert(name.to_string(), place);
            }
        }
    }
}
