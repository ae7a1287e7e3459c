//! Tests of the estimated prefill backlog of an engine.

use std::time::{Duration, Instant};

use larkspring_core::fleet::prefill::PrefillBacklog;

struct Case {
    name: &'static str,
    /// Prompts, each with the milliseconds since the start at which it is sent.
    sent: &'static [(u64, u32)],
    /// Time of the check, and the expected backlog to within a token.
    at: u64,
    left: u32,
}

#[test]
fn prefill_backlog_shrinks_at_the_prefill_speed() {
    let cases = [
        Case { name: "nothing", sent: &[], at: 5, left: 0 },
        Case { name: "just sent", sent: &[(0, 3870)], at: 0, left: 3870 },
        Case { name: "half read", sent: &[(0, 3870)], at: 50, left: 1935 },
        Case { name: "read", sent: &[(0, 3870)], at: 101, left: 0 },
        Case {
            name: "one behind the other",
            sent: &[(0, 3870), (50, 387)],
            at: 60,
            left: 1935,
        },
        Case {
            name: "idle time is not saved up",
            sent: &[(0, 387), (500, 387)],
            at: 500,
            left: 387,
        },
    ];
    let start = Instant::now();
    let after = |ms| start + Duration::from_millis(ms);
    for c in cases {
        let mut backlog = PrefillBacklog::new(start, 0);
        for (at, tokens) in c.sent {
            backlog.add(after(*at), *tokens);
        }
        let left = backlog.tokens_at(after(c.at));
        assert!(left.abs_diff(c.left) <= 1, "{}: {left}", c.name);
    }
    let backlog = PrefillBacklog::new(after(100), 3870);
    assert_eq!(
        backlog.tokens_at(start),
        3870,
        "a clock that a task read earlier changes nothing"
    );
}
