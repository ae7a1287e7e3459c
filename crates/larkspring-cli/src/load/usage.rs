//! CPU time and memory of processes, from `/proc`.

use std::fs;

/// CPU time and memory that a process has used so far.
#[derive(Debug, Clone, Default)]
pub struct Usage {
    pid: u32,
    cpu_us: u64,
    peak_kb: u64,
    resident_kb: u64,
}

/// Length of a clock tick of `/proc/PID/stat`, in microseconds.
const TICK_US: u64 = 10_000;
/// Indexes of user and system time among the fields after the program's name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

impl Usage {
    /// Returns the usage of each process; zero for a process that has ended.
    pub fn read_all(pids: &[u32]) -> Vec<Self> {
        pids.iter().map(|pid| Self::read(*pid).unwrap_or_default()).collect()
    }

    /// Returns a line of text with the CPU time since `before`, in total and for each of
    /// `chunks` relayed reads, and with the memory.
    pub fn describe_since(&self, before: &Self, chunks: u64) -> String {
        let cpu = self.cpu_us - before.cpu_us;
        format!(
            "process {}: {} ms of processor, {:.1} us a chunk, resident {} KB, peak {} KB",
            self.pid,
            cpu / 1000,
            cpu as f64 / chunks.max(1) as f64,
            self.resident_kb,
            self.peak_kb
        )
    }

    fn read(pid: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let (_, fields) = stat.rsplit_once(") ")?;
        let fields: Vec<_> = fields.split(' ').collect();
        let ticks = |index: usize| fields.get(index)?.parse::<u64>().ok();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        Some(Self {
            pid,
            cpu_us: (ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?) * TICK_US,
            peak_kb: kb_field(&status, "VmHWM:")?,
            resident_kb: kb_field(&status, "VmRSS:")?,
        })
    }
}

fn kb_field(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with(name))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
