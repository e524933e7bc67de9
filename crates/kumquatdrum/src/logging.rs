//! Logs: one line of key=value pairs for each event.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use slog::{Drain, Level, Logger, Record, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

/// Lines that wait for a slow reader of the log; beyond them lines are dropped and counted.
const WAITING: usize = 8_192;

fn prefix(line: &mut dyn Write, record: &Record<'_>) -> slog::Result {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let level = record.level().as_str().to_ascii_lowercase();
    write!(
        line,
        "time={}.{:03} level={level} ",
        now.as_secs(),
        now.subsec_millis()
    )?;
    Ok(())
}

/// A logger of events at `level` and above, to `output`. Dropping the guard writes out what still waits.
pub fn start(level: Level, output: impl Write + Send + 'static) -> (Logger, AsyncGuard) {
    let lines = slog_logfmt::Logfmt::new(output)
        .set_prefix(prefix)
        .build()
        .fuse();
    let (drain, guard) = Async::new(lines)
        .chan_size(WAITING)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let drain = slog::LevelFilter::new(drain.fuse(), level).fuse();
    (Logger::root(drain, o!()), guard)
}
