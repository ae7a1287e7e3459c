//! Tests of the next step for each end of an attempt.

use larkspring_core::fleet::attempt::{next, AttemptEnd, History, Next, MAX_ATTEMPTS};
use larkspring_core::fleet::routes::RouteClass;

const ENDS: [AttemptEnd; 6] = [
    AttemptEnd::Unsent,
    AttemptEnd::Rejected,
    AttemptEnd::Moved,
    AttemptEnd::Lacking,
    AttemptEnd::Failed,
    AttemptEnd::Unclear,
];

const CLASSES: [RouteClass; 4] = [
    RouteClass::Repeatable,
    RouteClass::Once,
    RouteClass::Stream { resumable: true },
    RouteClass::Stream { resumable: false },
];

struct Case {
    name: &'static str,
    class: RouteClass,
    end: AttemptEnd,
    history: History,
    max_endpoints: u32,
    budget: bool,
    next: Next,
}

const FIRST: History = History { may_have_run: false, endpoints: 1, attempts: 1 };
const RAN: History = History { may_have_run: true, endpoints: 1, attempts: 1 };
const BOTH: History = History { may_have_run: false, endpoints: 2, attempts: 2 };
const ONCE: RouteClass = RouteClass::Once;
const SAFE: RouteClass = RouteClass::Repeatable;
const PLAIN_STREAM: RouteClass = RouteClass::Stream { resumable: false };
const RESUMABLE: RouteClass = RouteClass::Stream { resumable: true };

#[test]
fn each_attempt_end_has_its_next_step() {
    let cases = [
        ("once, nothing sent", ONCE, AttemptEnd::Unsent, FIRST, 1, true, Next::Elsewhere),
        (
            "once, rejected, one endpoint allowed",
            ONCE,
            AttemptEnd::Rejected,
            FIRST,
            1,
            true,
            Next::Refuse,
        ),
        (
            "once, rejected, two endpoints allowed",
            ONCE,
            AttemptEnd::Rejected,
            FIRST,
            2,
            true,
            Next::Elsewhere,
        ),
        (
            "once, rejected, no budget",
            ONCE,
            AttemptEnd::Rejected,
            FIRST,
            2,
            false,
            Next::Refuse,
        ),
        ("once, endpoint gone", ONCE, AttemptEnd::Moved, FIRST, 1, true, Next::Elsewhere),
        ("once, no answer", ONCE, AttemptEnd::Unclear, FIRST, 2, true, Next::Fail),
        ("once, failed there", ONCE, AttemptEnd::Failed, FIRST, 2, true, Next::Deliver),
        (
            "stream, adapter missing",
            PLAIN_STREAM,
            AttemptEnd::Lacking,
            FIRST,
            1,
            true,
            Next::Same,
        ),
        (
            "stream, adapter missing, no budget",
            PLAIN_STREAM,
            AttemptEnd::Lacking,
            FIRST,
            1,
            false,
            Next::Refuse,
        ),
        (
            "stream, no answer",
            PLAIN_STREAM,
            AttemptEnd::Unclear,
            FIRST,
            2,
            true,
            Next::Fail,
        ),
        (
            "resumable, no answer",
            RESUMABLE,
            AttemptEnd::Unclear,
            FIRST,
            2,
            true,
            Next::Elsewhere,
        ),
        (
            "resumable, no answer, no budget",
            RESUMABLE,
            AttemptEnd::Unclear,
            FIRST,
            2,
            false,
            Next::Fail,
        ),
        (
            "resumable, no answer, endpoints used up",
            RESUMABLE,
            AttemptEnd::Unclear,
            BOTH,
            2,
            true,
            Next::Fail,
        ),
        ("safe, failed there", SAFE, AttemptEnd::Failed, FIRST, 2, true, Next::Elsewhere),
        (
            "safe, failed there, no budget",
            SAFE,
            AttemptEnd::Failed,
            FIRST,
            2,
            false,
            Next::Deliver,
        ),
        ("safe, failed at both", SAFE, AttemptEnd::Failed, BOTH, 2, true, Next::Deliver),
        (
            "safe, ran before, now rejected, no budget",
            SAFE,
            AttemptEnd::Rejected,
            RAN,
            2,
            false,
            Next::Fail,
        ),
        (
            "safe, ran before, now nothing sent",
            SAFE,
            AttemptEnd::Unsent,
            RAN,
            2,
            false,
            Next::Elsewhere,
        ),
    ];
    let cases = cases.map(|(name, class, end, history, max_endpoints, budget, next)| {
        Case { name, class, end, history, max_endpoints, budget, next }
    });
    for c in cases {
        let got = next(c.class, c.end, c.history, c.max_endpoints, || c.budget);
        assert_eq!(got, c.next, "{}", c.name);
    }
}

/// Guards, over all combinations, against retrying a request that may have run and must
/// not run twice, against answering "not run" for a request that may have run, and
/// against endless retries.
#[test]
fn every_combination_keeps_the_retry_rules() {
    for class in CLASSES {
        for end in ENDS {
            for ran in [false, true] {
                for attempts in 1..=MAX_ATTEMPTS {
                    for endpoints in 0..=3 {
                        for budget in [false, true] {
                            check(class, end, ran, attempts, endpoints, budget);
                        }
                    }
                }
            }
        }
    }
}

fn check(
    class: RouteClass,
    end: AttemptEnd,
    ran: bool,
    attempts: u32,
    endpoints: u32,
    budget: bool,
) {
    let history = History { may_have_run: ran, endpoints, attempts };
    let got = next(class, end, history, 2, || budget);
    let may_have_run = ran || end.may_have_run();
    let again = matches!(got, Next::Elsewhere | Next::Same);
    let case = (class, end, history, budget, got);
    assert!(!(again && may_have_run && !class.may_run_again()), "sent twice: {case:?}");
    assert!(!(got == Next::Refuse && may_have_run), "false refusal: {case:?}");
    assert!(!(again && attempts >= MAX_ATTEMPTS), "goes on: {case:?}");
    assert!(!(again && end.arrived() && !budget), "over the budget: {case:?}");
    let used_up = endpoints >= 2;
    let counts =
        matches!(end, AttemptEnd::Rejected | AttemptEnd::Failed | AttemptEnd::Unclear);
    assert!(
        !(got == Next::Elsewhere && counts && used_up),
        "too many endpoints: {case:?}"
    );
    assert!(!(got == Next::Deliver && end != AttemptEnd::Failed), "no answer: {case:?}");
}
