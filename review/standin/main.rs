//! Stand-ins of clients, workers and the platform's store, and the scripts' cases.
//!
//! `standin CASE FOLDER` plays a case and writes `record.txt` into its folder. It exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
//! `TROUBLE=0` it plays the same without the disruption.

mod case1;
mod case3;
mod http;
mod node;
mod store;

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::process::exit;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time after which a case counts as one that couldn't run.
const LIMIT: Duration = Duration::from_secs(110);

/// What a case needs of its surroundings.
pub struct Stage {
    pub network: node::Network,
    pub record: Arc<Record>,
    pub has_trouble: bool,
}

/// The record of what was sent, answered and run.
pub struct Record {
    start: Instant,
    out: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let mut out = self.out.lock().unwrap_or_else(|e| e.into_inner());
        let _ = writeln!(out, "{at:8.3} {}", text.as_ref());
    }

    /// Writes a line to the record and to the terminal.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
        let _ = self.out.lock().unwrap_or_else(|e| e.into_inner()).flush();
    }
}

/// A small generator of random numbers (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new() -> Self {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let nanos = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        let count = COUNT.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        Self((nanos.as_nanos() as u64 ^ count) | 1)
    }

    /// Returns a number from `from` to below `to`.
    pub fn between(&mut self, from: u64, to: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        from + (self.0 >> 11) % (to - from)
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: standin CASE FOLDER");
        exit(2);
    };
    let folder = PathBuf::from(folder);
    let stage = match prepare(&folder) {
        Ok(stage) => Arc::new(stage),
        Err(e) => {
            eprintln!("the case can't run: {e}");
            exit(2);
        }
    };
    let scratch = stage.network.folder.clone();
    thread::spawn(move || {
        thread::sleep(LIMIT);
        eprintln!("the case took too long");
        node::end_processes();
        exit(2);
    });
    let (played, case) = (stage.clone(), case.clone());
    let play = move || match case.as_str() {
        "1" => case1::play(&played),
        "3" => case3::play(&played),
        _ => Err(io::Error::other("there is no such case")),
    };
    let result = thread::spawn(play).join();
    node::end_processes();
    let code = match result {
        Ok(Ok(held)) => {
            stage.record.say(if held { "the rule held" } else { "THE RULE WAS BROKEN" });
            i32::from(!held)
        }
        Ok(Err(e)) => {
            stage.record.say(format!("the case couldn't run: {e}"));
            2
        }
        Err(_) => {
            stage.record.say("the case couldn't run: a stand-in failed");
            2
        }
    };
    let _ = std::fs::remove_dir_all(scratch);
    exit(code);
}

fn prepare(folder: &Path) -> io::Result<Stage> {
    let root = folder.join("../..").canonicalize()?;
    let out = Mutex::new(BufWriter::new(File::create(folder.join("record.txt"))?));
    let record = Arc::new(Record { start: Instant::now(), out });
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let trouble = if has_trouble { "with" } else { "without" };
    record.line(format!("played {trouble} the disruption"));
    Ok(Stage { network: node::Network::new(&root)?, record, has_trouble })
}
