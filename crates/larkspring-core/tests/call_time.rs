//! Adaptive time-out of calls.

use std::time::Duration;

use larkspring_core::call_timeout::{CallTimeout, TimeoutBounds};

const BOUNDS: TimeoutBounds = TimeoutBounds {
    shortest: Duration::from_millis(30),
    longest: Duration::from_millis(250),
};

#[derive(Clone, Copy)]
enum Call {
    /// Answered after this time in milliseconds.
    Answered(u64),
    Lost,
}

#[test]
fn timeout_follows_response_times() {
    struct Case {
        name: &'static str,
        calls: Vec<Call>,
        limit: u64,
    }
    use Call::{Answered, Lost};
    let cases = [
        Case { name: "nothing is known", calls: vec![], limit: 250 },
        Case { name: "quick answers", calls: vec![Answered(2); 20], limit: 30 },
        Case { name: "steady slow ones", calls: vec![Answered(60); 40], limit: 60 },
        Case { name: "very slow ones", calls: vec![Answered(240); 3], limit: 250 },
        Case {
            name: "a lost one among quick ones is waited for twice as long at most",
            calls: [vec![Answered(2); 20], vec![Lost]].concat(),
            limit: 60,
        },
        Case {
            name: "an answer after lost ones ends their effect",
            calls: [vec![Answered(2); 20], vec![Lost; 5], vec![Answered(2)]].concat(),
            limit: 30,
        },
        Case {
            name: "a peer that fell silent is given the longest time",
            calls: [vec![Answered(2); 20], vec![Lost; 40]].concat(),
            limit: 250,
        },
    ];
    for c in cases {
        let mut timeout = CallTimeout::new(BOUNDS);
        for call in c.calls {
            match call {
                Answered(ms) => timeout.record_answer(Duration::from_millis(ms)),
                Lost => timeout.record_loss(),
            }
        }
        assert_eq!(timeout.current().as_millis() as u64, c.limit, "{}", c.name);
    }
}
