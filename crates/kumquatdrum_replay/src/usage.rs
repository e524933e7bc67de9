//! CPU time and memory of a process of this machine, from `/proc`.

use std::fs;
use std::io;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Clock ticks a second in `/proc`, the same on all common builds of Linux.
const TICKS_PER_SECOND: u64 = 100;
/// Fields of `/proc/PID/stat` after the process's name: user and system time.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// What a process has used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// CPU time since its start, in milliseconds; the kernel counts in steps of ten.
    pub cpu_ms: u64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

impl Usage {
    /// What a process has used so far.
    ///
    /// ```
    /// let usage = kumquatdrum_replay::usage::Usage::of(std::process::id()).unwrap();
    /// assert!(usage.resident_bytes > 0);
    /// ```
    pub fn of(pid: u32) -> io::Result<Self> {
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

    /// The share of one core used between an earlier moment and this one.
    ///
    /// ```
    /// use std::time::Duration;
    /// use kumquatdrum_replay::usage::Usage;
    /// let then = Usage { cpu_ms: 100, resident_bytes: 0 };
    /// let now = Usage { cpu_ms: 150, resident_bytes: 0 };
    /// assert!((now.core_share(&then, Duration::from_secs(1)) - 0.05).abs() < 1e-9);
    /// ```
    pub fn core_share(&self, earlier: &Self, elapsed: Duration) -> f64 {
        let used = self.cpu_ms.saturating_sub(earlier.cpu_ms) as f64 / 1_000.0;
        used / elapsed.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}

/// The name, in parentheses, may itself hold blanks and parentheses.
fn cpu_ms(stat: &str) -> Option<u64> {
    let (_, fields) = stat.rsplit_once(") ")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index)?.parse::<u64>().ok();
    Some((ticks(USER_TIME)? + ticks(SYSTEM_TIME)?) * 1_000 / TICKS_PER_SECOND)
}

fn resident_bytes(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kibibytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kibibytes * 1_024)
}
