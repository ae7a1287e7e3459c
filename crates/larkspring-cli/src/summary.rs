//! The command `summary`: tables of latencies, refusals and adapter loads, computed from
//! the log lines of several processes.

use std::collections::{BTreeMap, HashMap, HashSet};

use hdrhistogram::Histogram;

use crate::args::SummaryArgs;
use crate::explain::{read_lines, Line};
use crate::AnyError;

/// Upper bounds of the classes of prompt sizes in tokens, with their labels.
const PROMPT_SIZES: [(u64, &str); 5] = [
    (2_000, "under 2,000"),
    (6_000, "under 6,000"),
    (12_000, "under 12,000"),
    (20_000, "under 20,000"),
    (u64::MAX, "longer"),
];
/// The longest time that a histogram records, in milliseconds. Longer times are clamped.
const MAX_TIME_MS: u64 = 120_000;
/// Length of a timestamp up to and including the seconds.
const TIMESTAMP_SECONDS_LEN: usize = "2000-01-01T00:00:00".len();

/// Prints tables of answers, refusals, adapter loads and seconds.
pub fn run(args: &SummaryArgs) -> Result<(), AnyError> {
    let lines = read_lines(&args.logs)?;
    let mut by_size = BTreeMap::new();
    let mut by_holding = BTreeMap::new();
    let mut refused: BTreeMap<&str, u64> = BTreeMap::new();
    let mut unknown: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    let mut loads = LoadCounts::default();
    let mut seconds: BTreeMap<&str, SecondCounts> = BTreeMap::new();
    for line in &lines {
        let time = line.time.get(..TIMESTAMP_SECONDS_LEN).unwrap_or(&line.time);
        let second = seconds.entry(time).or_default();
        second.record(line);
        match line.field("event") {
            "answered" => {
                let Some(tokens) = line.number("prompt_tokens") else { continue };
                let size = PROMPT_SIZES.iter().position(|(under, _)| tokens < *under);
                let size = size.unwrap_or(PROMPT_SIZES.len() - 1);
                by_size.entry(size).or_insert_with(Latencies::new).record(line);
                let holding = line.field("holding");
                by_holding.entry(holding).or_insert_with(Latencies::new).record(line);
            }
            "unserved" => *refused.entry(line.field("reason")).or_default() += 1,
            "unknown word" => {
                let word = (line.field("place"), line.field("name"));
                *unknown.entry(word).or_default() += 1;
            }
            "order" => second.fetches += u64::from(loads.record_order(line)),
            "engine restarted" => loads.record_restart(&line.vm),
            _ => {}
        }
    }
    println!("{}", Latencies::HEAD);
    for (size, times) in &by_size {
        times.print(PROMPT_SIZES[*size].1);
    }
    for (holding, times) in &by_holding {
        times.print(holding);
    }
    println!("\nunserved");
    for (reason, count) in refused {
        println!("{count:>7}  {reason}");
    }
    println!("\nunknown words, by the processes that met them");
    for ((place, name), count) in unknown {
        println!("{count:>7}  {place} {name}");
    }
    println!("\nloads of adapters");
    for (reason, count) in &loads.counts {
        println!("{count:>7}  {reason}");
    }
    println!("\n{}", SecondCounts::HEAD);
    for (time, second) in &seconds {
        second.print(time);
    }
    Ok(())
}

/// Counts of one second, over all processes.
#[derive(Default)]
struct SecondCounts<'a> {
    answers: u64,
    /// Answers that waited for their adapter longer than half of their latency objective.
    waited: u64,
    lost_orders: u64,
    /// Attempts that the endpoint rejected, or that reached another run of it.
    rejected: u64,
    fetches: u64,
    unserved: BTreeMap<&'a str, u64>,
}

impl<'a> SecondCounts<'a> {
    const HEAD: &'static str = "second               answers  waited long  orders lost  \
        sends rejected  fetches  unserved";

    fn record(&mut self, line: &'a Line) {
        match line.field("event") {
            "answered" => {
                self.answers += 1;
                let waited = line.number("waited_ms").unwrap_or_default();
                let objective = line.number("objective_ms");
                self.waited += u64::from(objective.is_some_and(|ms| waited * 2 > ms));
            }
            "unserved" => *self.unserved.entry(line.field("reason")).or_default() += 1,
            "order" => self.lost_orders += u64::from(line.field("answer") == "no answer"),
            "attempt ended" => {
                let end = line.field("end");
                let rejected = matches!(end, "rejected" | "moved" | "lacking");
                self.rejected += u64::from(rejected);
            }
            _ => {}
        }
    }

    fn print(&self, time: &str) {
        let Self { answers, waited, lost_orders, rejected, fetches, .. } = self;
        let unserved: Vec<_> =
            self.unserved.iter().map(|(reason, n)| format!("{n} {reason}")).collect();
        let unserved = unserved.join(", ");
        println!(
            "{time:<20} {answers:>7} {waited:>12} {lost_orders:>12} {rejected:>15} \
             {fetches:>8}  {unserved}"
        );
    }
}

/// Latencies of answered requests, in milliseconds.
struct Latencies {
    count: u64,
    again: u64,
    waited: Histogram<u64>,
    rest: Histogram<u64>,
}

impl Latencies {
    const HEAD: &'static str = "prompt or holding  answers  sent again  \
        adapter: mean  p50  p90  the rest: mean  p50  p90 (ms)";

    fn new() -> Self {
        let histogram = || {
            let made = Histogram::new_with_max(MAX_TIME_MS, 3);
            made.expect("three digits up to two minutes are valid bounds")
        };
        Self { count: 0, again: 0, waited: histogram(), rest: histogram() }
    }

    /// Records an answer: the wait for its adapter, and the remaining time to first byte.
    fn record(&mut self, line: &Line) {
        let waited = line.number("waited_ms").unwrap_or_default();
        let first_byte = line.number("first_byte_ms").unwrap_or_default();
        self.count += 1;
        self.again += u64::from(line.number("attempts").is_some_and(|n| n > 1));
        self.waited.saturating_record(waited);
        self.rest.saturating_record(first_byte.saturating_sub(waited));
    }

    fn print(&self, name: &str) {
        let part = |h: &Histogram<u64>| {
            let (p50, p90) = (h.value_at_quantile(0.5), h.value_at_quantile(0.9));
            format!("{:>9.0} {p50:>6} {p90:>6}", h.mean())
        };
        let (count, again) = (self.count, self.again);
        let (waited, rest) = (part(&self.waited), part(&self.rest));
        println!("{name:<17} {count:>8} {again:>11} {waited} {rest}");
    }
}

/// Reason for a load that needs no fetch from the weight store.
const FROM_HOST_MEMORY: &str = "from the VM's memory: this engine held it";

/// Counts of adapter loads over all engines, by where the adapter was loaded before.
#[derive(Default)]
struct LoadCounts<'a> {
    /// Engines that hold an adapter now, by adapter. The name of an engine is that of its
    /// agent's VM.
    held_by: HashMap<&'a str, HashSet<&'a str>>,
    /// Engines that have unloaded an adapter, by adapter.
    unloaded_by: HashMap<&'a str, HashSet<&'a str>>,
    counts: BTreeMap<&'static str, u64>,
}

impl<'a> LoadCounts<'a> {
    /// Records a load or unload order. Returns whether it fetches an adapter from the
    /// weight store.
    fn record_order(&mut self, line: &'a Line) -> bool {
        let (adapter, engine) = (line.field("of"), &*line.vm);
        match (line.field("kind"), line.field("answer")) {
            ("load", "under way") => {
                let reason = self.load_reason(adapter, engine);
                *self.counts.entry(reason).or_default() += 1;
                self.held_by.entry(adapter).or_default().insert(engine);
                return reason != FROM_HOST_MEMORY;
            }
            ("unload", "done") => {
                self.held_by.entry(adapter).or_default().remove(engine);
                self.unloaded_by.entry(adapter).or_default().insert(engine);
            }
            _ => {}
        }
        false
    }

    /// Removes an engine's adapters, with the host-memory copies, which are lost as well.
    fn record_restart(&mut self, engine: &str) {
        let of_all = self.held_by.values_mut().chain(self.unloaded_by.values_mut());
        for engines in of_all {
            engines.remove(engine);
        }
    }

    fn load_reason(&self, adapter: &str, engine: &str) -> &'static str {
        let unloaded_by = self.unloaded_by.get(adapter);
        if unloaded_by.is_some_and(|engines| engines.contains(engine)) {
            return FROM_HOST_MEMORY;
        }
        if self.held_by.get(adapter).is_some_and(|engines| !engines.is_empty()) {
            return "fetched while another engine holds it";
        }
        if unloaded_by.is_some_and(|engines| !engines.is_empty()) {
            return "fetched though another engine held it";
        }
        match adapter.rsplit_once('@').is_some_and(|(_, version)| version != "1") {
            true => "fetched first, as a newer version",
            false => "fetched first",
        }
    }
}
