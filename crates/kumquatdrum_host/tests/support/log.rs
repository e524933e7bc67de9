//! A log drain to the captured output of a test.

use std::fmt::{Arguments, Write};

use slog::{Drain, KV, Key, Never, OwnedKVList, Record, Serializer};

/// Prints one line per record.
pub struct Stdout;

struct Line(String);

impl Serializer for Line {
    fn emit_arguments(&mut self, key: Key, value: &Arguments<'_>) -> slog::Result {
        write!(self.0, " {key}={value}").map_err(slog::Error::from)
    }
}

impl Drain for Stdout {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let mut line = Line(record.level().as_short_str().to_owned());
        let written = values
            .serialize(record, &mut line)
            .and_then(|()| record.kv().serialize(record, &mut line));
        if written.is_err() {
            line.0.push_str(" incomplete");
        }
        println!("{}", line.0);
        Ok(())
    }
}
