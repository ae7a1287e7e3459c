//! Encoding of crashes and crash reports as messages between entries and agents.

use std::time::{Duration, Instant};

use larkspring_core::quarantine::{Crash, CrashReport, Feature};
use larkspring_proto::residency as wire;

/// Encodes crashes that an entry observed for an agent.
pub fn encode_crashes(crashes: &[(Feature, Crash)]) -> wire::EndedUnder {
    let ms = |at: Instant| at.elapsed().as_millis() as u64;
    let mut encoded = wire::EndedUnder::default();
    for (feature, crash) in crashes {
        let (list, content) = match *feature {
            Feature::Content(hash) => (&mut encoded.ends, hash),
            Feature::Part(id) => (&mut encoded.parts, id),
        };
        list.push(wire::End {
            content,
            attempt: crash.attempt,
            began_ms: ms(crash.sent_at),
            age_ms: ms(crash.crashed_at),
            answered_ms: crash.answered_at.map(ms),
        });
    }
    encoded
}

/// Decodes crashes that an entry observed.
pub fn decode_crashes(encoded: &wire::EndedUnder) -> Vec<(Feature, Crash)> {
    let contents = encoded.ends.iter().map(|e| (Feature::Content(e.content), e));
    let parts = encoded.parts.iter().map(|e| (Feature::Part(e.content), e));
    let all = contents.chain(parts);
    all.map(|(feature, end)| (feature, decode_crash(end))).collect()
}

fn decode_crash(end: &wire::End) -> Crash {
    let now = Instant::now();
    let ago = |ms| now.checked_sub(Duration::from_millis(ms)).unwrap_or(now);
    Crash {
        attempt: end.attempt,
        sent_at: ago(end.began_ms),
        crashed_at: ago(end.age_ms),
        answered_at: end.answered_ms.map(ago),
    }
}

/// Encodes crash reports.
pub fn encode_reports(reports: &[CrashReport]) -> wire::Findings {
    let ms = |age: Duration| age.as_millis() as u64;
    let mut encoded = wire::Findings::default();
    for report in reports {
        let (list, content) = match report.feature {
            Feature::Content(hash) => (&mut encoded.findings, hash),
            Feature::Part(id) => (&mut encoded.parts, id),
        };
        list.push(wire::Finding {
            content,
            ends: report.crashes,
            age_ms: ms(report.age),
            span_ms: ms(report.span),
            answered_ms: report.answered.map(ms),
        });
    }
    encoded
}

/// Decodes crash reports.
pub fn decode_reports(encoded: &wire::Findings) -> Vec<CrashReport> {
    let contents = encoded.findings.iter().map(|f| (Feature::Content(f.content), f));
    let parts = encoded.parts.iter().map(|f| (Feature::Part(f.content), f));
    let all = contents.chain(parts);
    all.map(|(feature, found)| CrashReport {
        feature,
        crashes: found.ends,
        age: Duration::from_millis(found.age_ms),
        span: Duration::from_millis(found.span_ms),
        answered: found.answered_ms.map(Duration::from_millis),
    })
    .collect()
}
