//! Reading the operators' file, with the place of each thing that can't be read.
//!
//! The lists are read item by item, so that one broken item doesn't hide the next one's faults.
//! No message repeats a text of the file: it could be a secret in the wrong place.

use std::fmt;

use kumquatdrum_types::Finding;
use schemars::schema_for;
use serde::de::{DeserializeOwned, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use serde_path_to_error::Segment;

use crate::{Declaration, pointer};

/// The longest file, in bytes.
pub const MAX_BYTES: usize = 8 << 20;

/// Reads a file; all its findings otherwise. See [`crate::parse_and_check`] for what it must mean.
///
/// ```
/// let findings = kumquatdrum_declaration::parse(
///     r#"{"priorities": [{"name": "card", "level": -1, "aging_ms": 5}], "modles": []}"#,
/// );
/// let places: Vec<_> = findings.unwrap_err().into_iter().map(|found| found.place).collect();
/// assert_eq!(places, ["/priorities/0/level", "/modles"]);
/// ```
pub fn parse(text: &str) -> Result<Declaration, Vec<Finding>> {
    let read = read(text)?;
    if read.findings.is_empty() {
        Ok(read.declaration)
    } else {
        Err(read.findings)
    }
}

/// What could be read of a file.
pub(crate) struct Read {
    pub(crate) declaration: Declaration,
    pub(crate) findings: Vec<Finding>,
    /// Each item of each list was read, so that what the file means can be checked as well.
    pub(crate) is_whole: bool,
}

pub(crate) fn read(text: &str) -> Result<Read, Vec<Finding>> {
    if text.len() > MAX_BYTES {
        let message = format!("is longer than {MAX_BYTES} bytes");
        return Err(vec![Finding::new("", message)]);
    }
    let object: Object<'_> = match serde_json::from_str(text) {
        Ok(object) => object,
        Err(error) => return Err(vec![Finding::new("", without_values(&error.to_string()))]),
    };
    let mut reader = Reader::default();
    let declaration = reader.declaration(&object);
    Ok(Read {
        declaration,
        findings: reader.findings,
        is_whole: !reader.lost,
    })
}

/// The JSON Schema of the file.
///
/// ```
/// assert!(kumquatdrum_declaration::schema()["properties"]["workspaces"].is_object());
/// ```
pub fn schema() -> serde_json::Value {
    schema_for!(Declaration).to_value()
}

/// The top of the file, all keys in order, doubled ones included.
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
struct Reader {
    findings: Vec<Finding>,
    /// Something of a list could not be read.
    lost: bool,
}

impl Reader {
    fn declaration(&mut self, object: &Object<'_>) -> Declaration {
        let mut declaration = Declaration::default();
        for (position, (key, raw)) in object.0.iter().enumerate() {
            let place = pointer::join("", key);
            if object.0[..position]
                .iter()
                .any(|(earlier, _)| earlier == key)
            {
                self.lost = true;
                self.findings
                    .push(Finding::new(place, "stands more than once"));
                continue;
            }
            match key.as_str() {
                "workspaces" => declaration.workspaces = self.list(&place, raw),
                "services" => declaration.services = self.list(&place, raw),
                "models" => declaration.models = self.list(&place, raw),
                "priorities" => declaration.priorities = self.list(&place, raw),
                "endpoints" => declaration.endpoints = self.list(&place, raw),
                _ => self
                    .findings
                    .push(Finding::new(place, "is not a known key")),
            }
        }
        declaration
    }

    fn list<T: DeserializeOwned>(&mut self, place: &str, raw: &RawValue) -> Vec<T> {
        let Ok(items) = serde_json::from_str::<Vec<&RawValue>>(raw.get()) else {
            self.lost = true;
            self.findings.push(Finding::new(place, "must be a list"));
            return Vec::new();
        };
        let items = items.into_iter().enumerate();
        items
            .filter_map(|(position, item)| self.item(&pointer::join(place, position), item))
            .collect()
    }

    fn item<T: DeserializeOwned>(&mut self, place: &str, raw: &RawValue) -> Option<T> {
        let mut deserializer = serde_json::Deserializer::from_str(raw.get());
        match serde_path_to_error::deserialize(&mut deserializer) {
            Ok(item) => Some(item),
            Err(error) => {
                self.lost = true;
                self.findings.push(unreadable(place, &error));
                None
            }
        }
    }
}

/// The finding of an item that can't be read.
fn unreadable(item: &str, error: &serde_path_to_error::Error<serde_json::Error>) -> Finding {
    let message = error.inner().to_string();
    let message = message.split(" at line ").next().unwrap_or_default();
    let place = place_of(item, error.path().iter());
    let parent = || {
        let segments = error.path().iter().len();
        place_of(item, error.path().iter().take(segments.saturating_sub(1)))
    };
    // A key could stand where a variant or a field of a key belongs.
    let names_variant = message.starts_with("unknown variant `");
    let names_field_of_key = message.starts_with("unknown field `") && place.contains("/keys/");
    if names_variant || names_field_of_key {
        Finding::new(parent(), without_name(message))
    } else {
        Finding::new(place, without_values(message))
    }
}

fn place_of<'a>(place: &str, path: impl Iterator<Item = &'a Segment>) -> String {
    path.fold(place.to_owned(), |place, segment| match segment {
        Segment::Seq { index } => pointer::join(&place, index),
        Segment::Map { key } => pointer::join(&place, key),
        Segment::Enum { variant } => pointer::join(&place, variant),
        Segment::Unknown => place,
    })
}

/// Drops texts of the file from a message of the JSON reader, such as
/// `invalid type: string "...", expected u32`.
fn without_values(message: &str) -> String {
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

/// Drops the name from a message such as "unknown field `...`, expected one of ...".
fn without_name(message: &str) -> String {
    let start = message.find(" `").unwrap_or(message.len());
    let tail = message
        .find("`, expected")
        .map_or("", |end| &message[end + 1..]);
    format!("{}{tail}", &message[..start])
}
