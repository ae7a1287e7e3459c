//! Tests of the next step for each end of an attempt.

use larkspring_core::fleet::attempt::{
    next_step, AttemptHistory, AttemptStatus, NextStep, MAX_ATTEMPTS,
};
use larkspring_core::fleet::routes::RouteClass;

const ENDS: [AttemptStatus; 6] = [
    AttemptStatus::Unsent,
    AttemptStatus::Rejected,
    AttemptStatus::EndpointReplaced,
    AttemptStatus::AdapterMissing,
    AttemptStatus::EndpointError,
    AttemptStatus::Unknown,
];

const CLASSES: [RouteClass; 4] = [
    RouteClass::Retryable,
    RouteClass::AtMostOnce,
    RouteClass::Stream { resumable: true },
    RouteClass::Stream { resumable: false },
];

struct Case {
    name: &'static str,
    class: RouteClass,
    end: AttemptStatus,
    history: AttemptHistory,
    max_endpoints: u32,
    budget: bool,
    next: NextStep,
}

const FIRST: AttemptHistory =
    AttemptHistory { may_have_run: false, endpoints: 1, attempts: 1 };
const RAN: AttemptHistory =
    AttemptHistory { may_have_run: true, endpoints: 1, attempts: 1 };
const BOTH: AttemptHistory =
    AttemptHistory { may_have_run: false, endpoints: 2, attempts: 2 };
const ONCE: RouteClass = RouteClass::AtMostOnce;
const SAFE: RouteClass = RouteClass::Retryable;
const PLAIN_STREAM: RouteClass = RouteClass::Stream { resumable: false };
const RESUMABLE: RouteClass = RouteClass::Stream { resumable: true };

#[test]
fn each_attempt_end_has_its_next_step() {
    let cases = [
        (
            "once, nothing sent",
            ONCE,
            AttemptStatus::Unsent,
            FIRST,
            1,
            true,
            NextStep::RetryElsewhere,
        ),
        (
            "once, rejected, one endpoint allowed",
            ONCE,
            AttemptStatus::Rejected,
            FIRST,
            1,
            true,
            NextStep::Refuse,
        ),
        (
            "once, rejected, two endpoints allowed",
            ONCE,
            AttemptStatus::Rejected,
            FIRST,
            2,
            true,
            NextStep::RetryElsewhere,
        ),
        (
            "once, rejected, no budget",
            ONCE,
            AttemptStatus::Rejected,
            FIRST,
            2,
            false,
            NextStep::Refuse,
        ),
        (
            "once, endpoint gone",
            ONCE,
            AttemptStatus::EndpointReplaced,
            FIRST,
            1,
            true,
            NextStep::RetryElsewhere,
        ),
        ("once, no answer", ONCE, AttemptStatus::Unknown, FIRST, 2, true, NextStep::Fail),
        (
            "once, failed there",
            ONCE,
            AttemptStatus::EndpointError,
            FIRST,
            2,
            true,
            NextStep::ForwardAnswer,
        ),
        (
            "stream, adapter missing",
            PLAIN_STREAM,
            AttemptStatus::AdapterMissing,
            FIRST,
            1,
            true,
            NextStep::RetrySame,
        ),
        (
            "stream, adapter missing, no budget",
            PLAIN_STREAM,
            AttemptStatus::AdapterMissing,
            FIRST,
            1,
            false,
            NextStep::Refuse,
        ),
        (
            "stream, no answer",
            PLAIN_STREAM,
            AttemptStatus::Unknown,
            FIRST,
            2,
            true,
            NextStep::Fail,
        ),
        (
            "resumable, no answer",
            RESUMABLE,
            AttemptStatus::Unknown,
            FIRST,
            2,
            true,
            NextStep::RetryElsewhere,
        ),
        (
            "resumable, no answer, no budget",
            RESUMABLE,
            AttemptStatus::Unknown,
            FIRST,
            2,
            false,
            NextStep::Fail,
        ),
        (
            "resumable, no answer, endpoints used up",
            RESUMABLE,
            AttemptStatus::Unknown,
            BOTH,
            2,
            true,
            NextStep::Fail,
        ),
        (
            "safe, failed there",
            SAFE,
            AttemptStatus::EndpointError,
            FIRST,
            2,
            true,
            NextStep::RetryElsewhere,
        ),
        (
            "safe, failed there, no budget",
            SAFE,
            AttemptStatus::EndpointError,
            FIRST,
            2,
            false,
            NextStep::ForwardAnswer,
        ),
        (
            "safe, failed at both",
            SAFE,
            AttemptStatus::EndpointError,
            BOTH,
            2,
            true,
            NextStep::ForwardAnswer,
        ),
        (
            "safe, ran before, now rejected, no budget",
            SAFE,
            AttemptStatus::Rejected,
            RAN,
            2,
            false,
            NextStep::Fail,
        ),
        (
            "safe, ran before, now nothing sent",
            SAFE,
            AttemptStatus::Unsent,
            RAN,
            2,
            false,
            NextStep::RetryElsewhere,
        ),
    ];
    let cases = cases.map(|(name, class, end, history, max_endpoints, budget, next)| {
        Case { name, class, end, history, max_endpoints, budget, next }
    });
    for c in cases {
        let got = next_step(c.class, c.end, c.history, c.max_endpoints, || c.budget);
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
    end: AttemptStatus,
    ran: bool,
    attempts: u32,
    endpoints: u32,
    budget: bool,
) {
    let history = AttemptHistory { may_have_run: ran, endpoints, attempts };
    let got = next_step(class, end, history, 2, || budget);
    let may_have_run = ran || end.may_have_run();
    let again = matches!(got, NextStep::RetryElsewhere | NextStep::RetrySame);
    let case = (class, end, history, budget, got);
    assert!(!(again && may_have_run && !class.is_retryable()), "sent twice: {case:?}");
    assert!(!(got == NextStep::Refuse && may_have_run), "false refusal: {case:?}");
    assert!(!(again && attempts >= MAX_ATTEMPTS), "goes on: {case:?}");
    assert!(!(again && end.was_received() && !budget), "over the budget: {case:?}");
    let used_up = endpoints >= 2;
    let counts = matches!(
        end,
        AttemptStatus::Rejected | AttemptStatus::EndpointError | AttemptStatus::Unknown
    );
    assert!(
        !(got == NextStep::RetryElsewhere && counts && used_up),
        "too many endpoints: {case:?}"
    );
    assert!(
        !(got == NextStep::ForwardAnswer && end != AttemptStatus::EndpointError),
        "no answer: {case:?}"
    );
}
