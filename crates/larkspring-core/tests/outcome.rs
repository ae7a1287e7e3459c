//! The outcome of a refusal after several attempts at a request.

use larkspring_core::outcome::{Outcome, Refusal, Step};

#[test]
fn refusal_keeps_an_earlier_outcome_that_may_have_run() {
    struct Case {
        earlier: Option<Outcome>,
        last: fn(Step, &'static str) -> Refusal,
        outcome: Outcome,
    }
    let case = |earlier, last, outcome| Case { earlier, last, outcome };
    let cases = [
        case(None, Refusal::not_run, Outcome::NotRun),
        case(Some(Outcome::NotRun), Refusal::not_run, Outcome::NotRun),
        case(Some(Outcome::Unknown), Refusal::not_run, Outcome::Unknown),
        case(Some(Outcome::Failed), Refusal::not_run, Outcome::Failed),
        case(Some(Outcome::Unknown), Refusal::failed, Outcome::Failed),
        case(Some(Outcome::Failed), Refusal::unknown, Outcome::Unknown),
    ];
    for (n, case) in cases.iter().enumerate() {
        let refusal = (case.last)(Step::Load, "refused").after(case.earlier);
        assert_eq!(refusal.outcome, case.outcome, "case {n}");
    }
}
