//! Reads the logs of hosts: lines of key=value pairs, with values quoted if they contain spaces.

use std::path::Path;

use indexmap::IndexMap;

/// Start of every line; a prefix added by a log collector is ignored.
const LINE_START: &str = "time=";

/// One line of a log.
#[derive(Debug, Clone)]
pub struct Line {
    /// Seconds since the Unix epoch, by the host's clock.
    pub time: f64,
    /// All key=value pairs, in the order of the line.
    pub pairs: IndexMap<String, String>,
}

impl Line {
    /// Parses a line; returns `None` if it is not a line of a host's log.
    pub fn parse(text: &str) -> Option<Self> {
        let start = text.find(LINE_START)?;
        let mut pairs = IndexMap::new();
        let mut rest = &text[start..];
        while let Some((key, tail)) = rest.split_once('=') {
            let (value, next) = parse_value(tail);
            pairs.insert(key.trim().to_owned(), value);
            rest = next;
        }
        let time = pairs.get("time")?.parse().ok()?;
        Some(Self { time, pairs })
    }

    /// Returns the value of a key, or an empty string.
    pub fn get(&self, key: &str) -> &str {
        self.pairs.get(key).map_or("", String::as_str)
    }

    /// Returns the value of a key if it is a number.
    pub fn number(&self, key: &str) -> Option<f64> {
        self.pairs.get(key)?.parse().ok()
    }

    /// Returns the name of the line's event.
    pub fn event(&self) -> &str {
        self.get("event")
    }
}

/// Reads the lines of one log file; other text in the file is skipped.
pub fn read(file: impl AsRef<Path>) -> std::io::Result<Vec<Line>> {
    let text = std::fs::read(file)?;
    let text = String::from_utf8_lossy(&text);
    Ok(text.lines().filter_map(Line::parse).collect())
}

fn parse_value(text: &str) -> (String, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return (text[..end].to_owned(), &text[end..]);
    };
    let mut value = String::new();
    let mut characters = quoted.char_indices();
    while let Some((index, character)) = characters.next() {
        match character {
            '"' => return (value, &quoted[index + 1..]),
            '\\' => value.extend(characters.next().map(|(_, escaped)| escaped)),
            character => value.push(character),
        }
    }
    (value, "")
}
