//! CPU time and memory of a local process, read from `/proc`.

use std::fs;
use std::io;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Clock ticks per second in `/proc`, the same on all common builds of Linux.
const TICKS_PER_SECOND: u64 = 100;
/// Position of the user time in `/proc/PID/stat`, among the fields after the process name.
const USER_TIME_INDEX: usize = 11;
/// Position of the system time among the same fields.
const SYSTEM_TIME_INDEX: usize = 12;

/// CPU time and memory of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// CPU time since the start of the process, in milliseconds, with a resolution of 10 ms.
    pub cpu_ms: u64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

impl Usage {
    /// Reads the usage of a process.
    ///
    /// ```
    /// let usage = kumquatdrum_replay::usage::Usage::read(std::process::id()).unwrap();
    /// assert!(usage.resident_bytes > 0);
    /// ```
    pub fn read(pid: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        cpu_ms(&stat)
            .zip(resident_bytes(&status))
            .map(|(cpu_ms, resident_bytes)| Self {
                cpu_ms,
                resident_bytes,
            })
            .ok_or_else(|| io::ErrorKind::InvalidData.into())
    }

    /// Returns the CPU time used since `earlier` as a share of one core.
    ///
    /// ```
    /// use std::time::Duration;
    /// use kumquatdrum_replay::usage::Usage;
    /// let earlier = Usage { cpu_ms: 100, resident_bytes: 0 };
    /// let now = Usage { cpu_ms: 150, resident_bytes: 0 };
    /// assert!((now.core_share(&earlier, Duration::from_secs(1)) - 0.05).abs() < 1e-9);
    /// ```
    pub fn core_share(&self, earlier: &Self, elapsed: Duration) -> f64 {
        let used = self.cpu_ms.saturating_sub(earlier.cpu_ms) as f64 / 1_000.0;
        used / elapsed.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}

/// Parses `/proc/PID/stat`; the process name in parentheses may contain spaces and parentheses.
fn cpu_ms(stat: &str) -> Option<u64> {
    let (_, fields) = stat.rsplit_once(") ")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index)?.parse::<u64>().ok();
    Some((ticks(USER_TIME_INDEX)? + ticks(SYSTEM_TIME_INDEX)?) * 1_000 / TICKS_PER_SECOND)
}

/// Parses `/proc/PID/status`.
fn resident_bytes(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kibibytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kibibytes * 1_024)
}
