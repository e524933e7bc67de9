//! Differences between two declarations. Items are matched by name, not by position.

use std::fmt;

use indexmap::IndexMap;
use serde::Serialize;
use serde_json::{Map, Value};

use crate::{Declaration, pointer};

/// One difference.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// The list of the item.
    pub list: List,
    /// The name of the item.
    pub name: String,
    /// The kind of change.
    pub kind: Kind,
}

/// A list of the declaration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum List {
    /// The workspaces.
    Workspaces,
    /// The services.
    Services,
    /// The models.
    Models,
    /// The priorities.
    Priorities,
    /// The endpoints.
    Endpoints,
}

/// The kind of change to an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The item is only in the new declaration.
    Added,
    /// The item is only in the old declaration.
    Removed,
    /// A field of the item differs.
    Changed {
        /// The field's name.
        field: String,
    },
}

impl fmt::Display for List {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Workspaces => "workspaces",
            Self::Services => "services",
            Self::Models => "models",
            Self::Priorities => "priorities",
            Self::Endpoints => "endpoints",
        })
    }
}

/// Writes `+/models/formula-llm`, `-/models/formula-llm` or `/models/formula-llm/replicas`.
impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let place = pointer::join(&format!("/{}", self.list), &self.name);
        match &self.kind {
            Kind::Added => write!(f, "+{place}"),
            Kind::Removed => write!(f, "-{place}"),
            Kind::Changed { field } => write!(f, "{place}/{field}"),
        }
    }
}

/// Returns all differences, list by list. The order of items is ignored.
///
/// ```
/// use kumquatdrum_declaration::{diff, parse};
///
/// let old = parse(r#"{"priorities": [{"name": "card", "level": 0, "aging_ms": 5}]}"#).unwrap();
/// let new = parse(r#"{"priorities": [{"name": "card", "level": 1, "aging_ms": 5}]}"#).unwrap();
/// let changes: Vec<_> = diff(&old, &new).iter().map(ToString::to_string).collect();
/// assert_eq!(changes, ["/priorities/card/level"]);
/// ```
pub fn diff(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let lists = [
        compare(List::Workspaces, &old.workspaces, &new.workspaces),
        compare(List::Services, &old.services, &new.services),
        compare(List::Models, &old.models, &new.models),
        compare(List::Priorities, &old.priorities, &new.priorities),
        compare(List::Endpoints, &old.endpoints, &new.endpoints),
    ];
    lists.concat()
}

type Items = IndexMap<String, Map<String, Value>>;

fn compare<T: Serialize>(list: List, old: &[T], new: &[T]) -> Vec<Change> {
    let old = index_by_name(old);
    let new = index_by_name(new);
    let change = |name: &str, kind| Change {
        list,
        name: name.to_owned(),
        kind,
    };
    let removed = old.keys().filter(|name| !new.contains_key(*name));
    let removed = removed.map(|name| change(name, Kind::Removed));
    let present = new.iter().flat_map(|(name, item)| {
        let kinds = match old.get(name) {
            None => vec![Kind::Added],
            Some(before) => changed_fields(before, item),
        };
        kinds.into_iter().map(move |kind| change(name, kind))
    });
    removed.chain(present).collect()
}

fn changed_fields(old: &Map<String, Value>, new: &Map<String, Value>) -> Vec<Kind> {
    let changed = new
        .iter()
        .filter(|(field, value)| old.get(*field) != Some(value));
    changed
        .map(|(field, _)| Kind::Changed {
            field: field.clone(),
        })
        .collect()
}

fn index_by_name<T: Serialize>(items: &[T]) -> Items {
    let objects = items
        .iter()
        .filter_map(|item| match serde_json::to_value(item) {
            Ok(Value::Object(object)) => Some(object),
            _ => None,
        });
    objects
        .filter_map(|object| {
            let name = object.get("name")?.as_str()?.to_owned();
            Some((name, object))
        })
        .collect()
}
