//! Writes logs: one line of key=value pairs for each event.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use slog::{Drain, Level, Logger, Record, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

/// Capacity of the queue to the output; further lines are dropped, and their number is logged.
const QUEUE_LINES: usize = 8_192;

fn write_prefix(line: &mut dyn Write, record: &Record<'_>) -> slog::Result {
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

/// Returns a logger of events at `level` and above, and a guard that flushes the queue on drop.
pub fn start(level: Level, output: impl Write + Send + 'static) -> (Logger, AsyncGuard) {
    let lines = slog_logfmt::Logfmt::new(output)
        .set_prefix(write_prefix)
        .build()
        .fuse();
    let (drain, guard) = Async::new(lines)
        .chan_size(QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let drain = slog::LevelFilter::new(drain.fuse(), level).fuse();
    (Logger::root(drain, o!()), guard)
}
