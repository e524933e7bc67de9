//! Parser of the declaration file. Each finding holds the JSON pointer of its cause.
//!
//! Lists are parsed item by item, so that all broken items are found. No message repeats text of
//! the file, because it may be a misplaced secret.

use std::fmt;

use kumquatdrum_types::Finding;
use schemars::schema_for;
use serde::de::{DeserializeOwned, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use serde_path_to_error::Segment;

use crate::{Declaration, pointer};

/// The maximum length of the file.
pub const MAX_BYTES: usize = 8 << 20;

/// Parses the text of a declaration without the checks of [`crate::parse_and_check`].
///
/// ```
/// let findings = kumquatdrum_declaration::parse(
///     r#"{"priorities": [{"name": "card", "level": -1, "aging_ms": 5}], "modles": []}"#,
/// );
/// let places: Vec<_> = findings.unwrap_err().into_iter().map(|found| found.place).collect();
/// assert_eq!(places, ["/priorities/0/level", "/modles"]);
/// ```
pub fn parse(text: &str) -> Result<Declaration, Vec<Finding>> {
    let parsed = parse_items(text)?;
    if parsed.findings.is_empty() {
        Ok(parsed.declaration)
    } else {
        Err(parsed.findings)
    }
}

/// The items of a file that could be parsed, and the findings on the others.
pub(crate) struct Parsed {
    pub(crate) declaration: Declaration,
    pub(crate) findings: Vec<Finding>,
    /// Whether all items were parsed, so that the declaration can be checked.
    pub(crate) is_complete: bool,
}

pub(crate) fn parse_items(text: &str) -> Result<Parsed, Vec<Finding>> {
    if text.len() > MAX_BYTES {
        let message = format!("is longer than {MAX_BYTES} bytes");
        return Err(vec![Finding::new("", message)]);
    }
    let object: Object<'_> = match serde_json::from_str(text) {
        Ok(object) => object,
        Err(error) => return Err(vec![Finding::new("", redact_values(&error.to_string()))]),
    };
    let mut parser = Parser::default();
    let declaration = parser.parse_declaration(&object);
    Ok(Parsed {
        declaration,
        findings: parser.findings,
        is_complete: !parser.has_failed,
    })
}

/// Returns the JSON Schema of the file.
///
/// ```
/// assert!(kumquatdrum_declaration::schema()["properties"]["workspaces"].is_object());
/// ```
pub fn schema() -> serde_json::Value {
    schema_for!(Declaration).to_value()
}

/// The top-level object with all keys in order, including duplicates.
struct Object<'a>(Vec<(String, &'a RawValue)>);

impl<'de> Deserialize<'de> for Object<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ObjectVisitor)
    }
}

struct ObjectVisitor;

impl<'de> Visitor<'de> for ObjectVisitor {
    type Value = Object<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut pairs = Vec::new();
        while let Some(pair) = map.next_entry()? {
            pairs.push(pair);
        }
        Ok(Object(pairs))
    }
}

#[derive(Default)]
struct Parser {
    findings: Vec<Finding>,
    /// Whether a list or an item of a list could not be parsed.
    has_failed: bool,
}

impl Parser {
    fn parse_declaration(&mut self, object: &Object<'_>) -> Declaration {
        let mut declaration = Declaration::default();
        for (position, (key, raw)) in object.0.iter().enumerate() {
            let place = pointer::join("", key);
            if object.0[..position]
                .iter()
                .any(|(earlier, _)| earlier == key)
            {
                self.has_failed = true;
                self.findings
                    .push(Finding::new(place, "stands more than once"));
                continue;
            }
            match key.as_str() {
                "workspaces" => declaration.workspaces = self.parse_list(&place, raw),
                "services" => declaration.services = self.parse_list(&place, raw),
                "models" => declaration.models = self.parse_list(&place, raw),
                "priorities" => declaration.priorities = self.parse_list(&place, raw),
                "endpoints" => declaration.endpoints = self.parse_list(&place, raw),
                _ => self
                    .findings
                    .push(Finding::new(place, "is not a known key")),
            }
        }
        declaration
    }

    fn parse_list<T: DeserializeOwned>(&mut self, place: &str, raw: &RawValue) -> Vec<T> {
        let Ok(items) = serde_json::from_str::<Vec<&RawValue>>(raw.get()) else {
            self.has_failed = true;
            self.findings.push(Finding::new(place, "must be a list"));
            return Vec::new();
        };
        let items = items.into_iter().enumerate();
        items
            .filter_map(|(position, item)| self.parse_item(&pointer::join(place, position), item))
            .collect()
    }

    fn parse_item<T: DeserializeOwned>(&mut self, place: &str, raw: &RawValue) -> Option<T> {
        let mut deserializer = serde_json::Deserializer::from_str(raw.get());
        match serde_path_to_error::deserialize(&mut deserializer) {
            Ok(item) => Some(item),
            Err(error) => {
                self.has_failed = true;
                self.findings.push(build_item_finding(place, &error));
                None
            }
        }
    }
}

/// Returns the finding for an item that can't be parsed.
fn build_item_finding(
    item: &str,
    error: &serde_path_to_error::Error<serde_json::Error>,
) -> Finding {
    let message = error.inner().to_string();
    let message = message.split(" at line ").next().unwrap_or_default();
    let place = join_path(item, error.path().iter());
    let parent = || {
        let segments = error.path().iter().len();
        join_path(item, error.path().iter().take(segments.saturating_sub(1)))
    };
    // A misplaced key may be the name of the unknown variant or field.
    let is_variant = message.starts_with("unknown variant `");
    let is_field_of_key = message.starts_with("unknown field `") && place.contains("/keys/");
    if is_variant || is_field_of_key {
        Finding::new(parent(), redact_name(message))
    } else {
        Finding::new(place, redact_values(message))
    }
}

fn join_path<'a>(place: &str, path: impl Iterator<Item = &'a Segment>) -> String {
    path.fold(place.to_owned(), |place, segment| match segment {
        Segment::Seq { index } => pointer::join(&place, index),
        Segment::Map { key } => pointer::join(&place, key),
        Segment::Enum { variant } => pointer::join(&place, variant),
        Segment::Unknown => place,
    })
}

/// Removes text of the file from a message of the JSON parser, such as
/// `invalid type: string "...", expected u32`.
fn redact_values(message: &str) -> String {
    const QUOTED: &str = "string \"";
    let Some(start) = message.find(QUOTED) else {
        return message.to_owned();
    };
    let rest = &message[start + QUOTED.len()..];
    let tail = rest
        .rfind("\", expected")
        .map_or("", |end| &rest[end + 1..]);
    format!("{}a string{tail}", &message[..start])
}

/// Removes the name from a message such as "unknown field `...`, expected one of ...".
fn redact_name(message: &str) -> String {
    let start = message.find(" `").unwrap_or(message.len());
    let tail = message
        .find("`, expected")
        .map_or("", |end| &message[end + 1..]);
    format!("{}{tail}", &message[..start])
}
