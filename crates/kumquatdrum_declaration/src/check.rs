//! Semantic checks of a declaration. Each submodule holds one group.

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

use crate::parse::parse_items;
use crate::{Declaration, pointer};

/// A group of checks.
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

/// Returns all findings of a declaration, in the order of the groups.
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

/// Parses and checks the text of a declaration.
///
/// ```
/// assert!(kumquatdrum_declaration::parse_and_check("{}").is_ok());
/// assert!(kumquatdrum_declaration::parse_and_check("[]").is_err());
/// ```
pub fn parse_and_check(text: &str) -> Result<Declaration, Vec<Finding>> {
    let parsed = parse_items(text)?;
    let mut findings = parsed.findings;
    if parsed.is_complete {
        findings.extend(check(&parsed.declaration));
    }
    if findings.is_empty() {
        Ok(parsed.declaration)
    } else {
        Err(findings)
    }
}

/// The findings of all groups so far.
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

/// Returns the items of a list with their JSON pointers.
fn places<'p, 'a, T>(
    place: &'p str,
    items: &'a [T],
) -> impl Iterator<Item = (String, &'a T)> + use<'p, 'a, T> {
    let numbered = items.iter().enumerate();
    numbered.map(move |(position, item)| (pointer::join(place, position), item))
}

/// Adds a finding for each name that occurs again.
fn find_duplicates<N: Display>(names: impl Iterator<Item = (String, N)>, findings: &mut Findings) {
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
