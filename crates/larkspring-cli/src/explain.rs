//! The command `explain`: the log lines of several processes about one request.

use std::collections::BTreeSet;
use std::io::Read;
use std::path::PathBuf;
use std::sync::Arc;

use serde_json::{Map, Value};

use crate::args::ExplainArgs;
use crate::AnyError;

/// Events that change the replicated state of a process, independent of a request.
const STATE_EVENTS: [&str; 5] =
    ["routing in force", "dependency lost", "dependency regained", "start", "stop"];
/// Maximum number of lines shown from before the request's first line.
const MAX_EARLIER_LINES: usize = 8;
/// Fields that are printed in front of the others, or not at all.
const OMITTED_FIELDS: [&str; 7] =
    ["timestamp", "vm", "event", "level", "target", "request", "fields"];

/// Prints the last state changes before a request, then the lines about it, by time.
pub fn run(args: &ExplainArgs) -> Result<(), AnyError> {
    let lines = read_lines(&args.logs)?;
    let shown = lines_of_request(&lines, &args.id);
    if shown.is_empty() {
        let text = "no line names the request; lines may have been left out";
        return Err(format!("{}: {text}", args.id).into());
    }
    for line in shown {
        println!("{}", line.to_text());
    }
    Ok(())
}

/// A log line with its origin.
#[derive(Debug)]
pub struct Line {
    /// VM of the process that wrote the line, or the file's name if the line has no VM.
    pub vm: Arc<str>,
    /// Time of writing as text, whose order is the order of time.
    pub time: String,
    fields: Map<String, Value>,
}

/// Reads the lines of log files, or of standard input if `files` is empty, by time.
pub fn read_lines(files: &[PathBuf]) -> Result<Vec<Line>, AnyError> {
    let mut lines = Vec::new();
    if files.is_empty() {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text)?;
        lines.extend(parse_lines("-", &text));
    }
    for file in files {
        let name = file.display().to_string();
        let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
        lines.extend(parse_lines(&name, &text));
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    Ok(lines)
}

/// Returns the lines to show for a request: those that name it, and lines about its VMs'
/// state, its endpoints and other requests with its fingerprint.
fn lines_of_request<'a>(lines: &'a [Line], id: &str) -> Vec<&'a Line> {
    let of_request: Vec<_> = lines.iter().filter(|l| l.field("request") == id).collect();
    let Some(first) = of_request.first() else { return Vec::new() };
    let last = of_request.last().map_or("", |l| &l.time);
    let vms: BTreeSet<_> = of_request.iter().map(|l| &l.vm).collect();
    let endpoints: BTreeSet<_> = of_request.iter().map(|l| l.field("endpoint")).collect();
    // Crashes under other requests with the same fingerprint lead to its refusal.
    let fingerprints: BTreeSet<_> =
        of_request.iter().map(|l| l.field("content")).collect();
    let is_related = |l: &&Line| {
        let of_state = STATE_EVENTS.contains(&l.field("event")) && vms.contains(&l.vm);
        let endpoint = l.field("endpoint");
        let of_endpoint = l.field("request").is_empty()
            && !endpoint.is_empty()
            && endpoints.contains(endpoint);
        let content = l.field("content");
        let of_fingerprint = !content.is_empty() && fingerprints.contains(content);
        of_state || of_endpoint || of_fingerprint
    };
    let before: Vec<_> =
        lines.iter().filter(|l| l.time < first.time).filter(is_related).collect();
    let during = lines.iter().filter(|l| l.time >= first.time && *l.time <= *last);
    let during = during.filter(|l| l.field("request") == id || is_related(l));
    let skipped = before.len().saturating_sub(MAX_EARLIER_LINES);
    before[skipped..].iter().copied().chain(during).collect()
}

fn parse_lines<'a>(file: &'a str, text: &'a str) -> impl Iterator<Item = Line> + 'a {
    let file: Arc<str> = file.into();
    // Log collectors may add a prefix to each line. Lines without JSON, for example of
    // other programs in the same stream, are skipped.
    let json = text.lines().filter_map(|l| Some(&l[l.find('{')?..]));
    let parsed = json.filter_map(|l| serde_json::from_str(l).ok());
    parsed.map(move |fields: Map<String, Value>| {
        let text = |name| fields.get(name).and_then(Value::as_str);
        let time = text("timestamp").unwrap_or_default().into();
        let vm = text("vm").map_or_else(|| file.clone(), Into::into);
        Line { vm, time, fields }
    })
}

impl Line {
    /// Returns a text field; empty if it is missing.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns a field that holds a non-negative integer.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    fn to_text(&self) -> String {
        let mut text = format!("{}  {}  {}", self.time, self.vm, self.field("event"));
        for (name, value) in &self.fields {
            if !OMITTED_FIELDS.contains(&name.as_str()) {
                text += &format!("  {name}={value}");
            }
        }
        text
    }
}
