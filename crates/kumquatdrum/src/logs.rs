//! Logs of hosts: lines of key=value pairs, values quoted where they hold spaces.

use std::path::Path;

use indexmap::IndexMap;

/// What every line begins with; what a collector put before it is left aside.
const START: &str = "time=";

/// One line of a log.
#[derive(Debug, Clone)]
pub struct Line {
    /// Seconds since 1970, by the host's clock.
    pub time: f64,
    /// All pairs, in their order.
    pub pairs: IndexMap<String, String>,
}

impl Line {
    /// Reads a line; nothing where it is none of a host's.
    pub fn parse(text: &str) -> Option<Self> {
        let start = text.find(START)?;
        let mut pairs = IndexMap::new();
        let mut rest = &text[start..];
        while let Some((key, tail)) = rest.split_once('=') {
            let (value, next) = value(tail);
            pairs.insert(key.trim().to_owned(), value);
            rest = next;
        }
        let time = pairs.get("time")?.parse().ok()?;
        Some(Self { time, pairs })
    }

    /// A value, or an empty text.
    pub fn get(&self, key: &str) -> &str {
        self.pairs.get(key).map_or("", String::as_str)
    }

    /// A value as a number, where it is one.
    pub fn number(&self, key: &str) -> Option<f64> {
        self.pairs.get(key)?.parse().ok()
    }

    /// What happened.
    pub fn event(&self) -> &str {
        self.get("event")
    }
}

/// The lines of one log.
pub fn read(file: impl AsRef<Path>) -> std::io::Result<Vec<Line>> {
    let text = std::fs::read(file)?;
    let text = String::from_utf8_lossy(&text);
    Ok(text.lines().filter_map(Line::parse).collect())
}

fn value(text: &str) -> (String, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return (text[..end].to_owned(), &text[end..]);
    };
    let mut value = String::new();
    let mut characters = quoted.char_indices();
    while let Some((place, character)) = characters.next() {
        match character {
            '"' => return (value, &quoted[place + 1..]),
            '\\' => value.extend(characters.next().map(|(_, escaped)| escaped)),
            character => value.push(character),
        }
    }
    (value, "")
}
