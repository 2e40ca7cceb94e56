//! The checker must reject a doctored history for each promise, and accept the honest one.

use test_case::test_case;
use toucan_bench::{
    Attempt, BillEntry, BudgetHistory, BudgetStatement, ConfigurationSample, Expectation, History,
    LoggedRecord, LoggedRelease, Outcome, Promise, PublishedEdit, Purchase, Ran, RequestHistory,
    TargetRun, check,
};

fn attempt(node: &str, started_ms: u64, ended_ms: u64, outcome: Outcome) -> Attempt {
    Attempt {
        node: node.to_owned(),
        started_ms,
        ended_ms,
        first_token_us: Some(20_000),
        between_tokens_us: Some(15_000),
        outcome,
    }
}

fn answered(text: &str) -> Outcome {
    Outcome::Answered {
        text: text.to_owned(),
        usage_tokens: 30,
    }
}

fn refused(code: &str, ran: Ran) -> Outcome {
    Outcome::Refused {
        status: 503,
        code: code.to_owned(),
        ran,
    }
}

fn request(id: &str, attempts: Vec<Attempt>) -> RequestHistory {
    RequestHistory {
        organisation: "guild".to_owned(),
        budget: "main".to_owned(),
        request_id: id.to_owned(),
        bill: format!("bill-{id}"),
        most_tokens: 50,
        non_idempotent: false,
        expectation: Expectation::Text {
            text: "whole answer".to_owned(),
            usage_tokens: 30,
        },
        attempts,
    }
}

fn record(sequence: u64, id: &str, tokens: u64) -> LoggedRecord {
    LoggedRecord {
        stream: "ledger-0".to_owned(),
        offset: sequence,
        incarnation: 7,
        sequence,
        bills: vec![BillEntry {
            bill: format!("bill-{id}"),
            budget: "main".to_owned(),
            tokens,
        }],
    }
}

fn run(id: &str, at_ms: u64) -> TargetRun {
    TargetRun {
        target: "engine-1".to_owned(),
        at_ms,
        request_id: id.to_owned(),
        after_leaving_ms: None,
        generated_tokens: 10,
    }
}

fn sample(at_ms: u64, version: u64) -> ConfigurationSample {
    ConfigurationSample {
        at_ms,
        node: "n1".to_owned(),
        reachable: true,
        section: "finance".to_owned(),
        version,
    }
}

/// Two requests answered and billed, one of them after a first node died; one refused.
fn honest() -> History {
    let broken = Outcome::Broken {
        text: "whole".to_owned(),
    };
    let mut booking = request(
        "r4",
        vec![attempt("n1", 150, 160, answered("ran whole answer"))],
    );
    booking.non_idempotent = true;
    booking.expectation = Expectation::Echo {
        text: "whole answer".to_owned(),
    };
    History {
        budgets: vec![BudgetHistory {
            budget: "main".to_owned(),
            organisation: "guild".to_owned(),
            purchases: vec![Purchase {
                at_ms: 0,
                tokens: 120,
            }],
        }],
        requests: vec![
            request(
                "r1",
                vec![attempt("n1", 100, 200, answered("whole answer"))],
            ),
            request(
                "r2",
                vec![
                    attempt("n1", 100, 150, broken),
                    attempt("n2", 160, 260, answered("whole answer")),
                ],
            ),
            request(
                "r3",
                vec![attempt("n1", 300, 301, refused("budget_spent", Ran::No))],
            ),
            booking,
        ],
        runs: vec![run("r1", 110), run("r2", 111), run("r4", 151)],
        records: vec![
            record(1, "r1", 30),
            record(1, "r1", 30),
            record(2, "r2", 30),
            record(3, "r2", 30),
            record(4, "r4", 30),
        ],
        statements: vec![BudgetStatement {
            node: "n1".to_owned(),
            budget: "main".to_owned(),
            purchased_tokens: 120,
            remaining_tokens: 30,
            spent_tokens: 90,
            ..BudgetStatement::default()
        }],
        edits: vec![PublishedEdit {
            at_ms: 100,
            section: "finance".to_owned(),
            version: 2,
        }],
        configuration_samples: vec![sample(90, 1), sample(190, 2), sample(290, 2)],
        planned_stops: vec![("n2".to_owned(), 170)],
        duration_ms: 1_000,
        nodes: 2,
        appends: 5,
        ..History::default()
    }
}

#[test]
fn the_honest_history_is_accepted_with_its_figures() {
    let verdict = check(&honest());
    assert!(verdict.is_ok(), "{verdict}");
    let figures = verdict.figures;
    assert_eq!(figures.requests, 4);
    assert_eq!(figures.whole_answers, 3);
    assert_eq!(figures.refusals, 1);
    assert_eq!(figures.false_refusals, 0);
    assert_eq!(figures.config_in_force_p99_ms, 90);
    assert!(figures.ok);
}

fn spend_beyond_the_budget(history: &mut History) {
    history.budgets[0].purchases[0].tokens = 80;
}

fn state_more_than_the_log_holds(history: &mut History) {
    history.statements[0].spent_tokens = 120;
}

fn bill_another_price(history: &mut History) {
    history.records[0].bills[0].tokens = 31;
    history.records[1].bills[0].tokens = 31;
}

fn lose_a_bill(history: &mut History) {
    history.records.retain(|record| record.sequence != 4);
    history.statements[0].spent_tokens = 60;
}

fn bill_after_the_release(history: &mut History) {
    history.releases.push(LoggedRelease {
        stream: "ledger-0".to_owned(),
        offset: 3,
        incarnation: 7,
    });
    history.statements[0].spent_tokens = 60;
}

fn skip_a_number(history: &mut History) {
    history.records[4].sequence = 6;
    history.statements[0].spent_tokens = 60;
}

fn mix_two_answers(history: &mut History) {
    history.requests[0].attempts[0].outcome = answered("whole other");
}

fn cut_an_answer_short(history: &mut History) {
    history.requests[0].attempts[0].outcome = answered("whole");
}

fn break_off_with_foreign_text(history: &mut History) {
    history.requests[1].attempts[0].outcome = Outcome::Broken {
        text: "other".to_owned(),
    };
}

fn answer_what_nobody_ran(history: &mut History) {
    history.runs.retain(|run| run.request_id != "r1");
}

fn run_what_was_refused(history: &mut History) {
    history.runs.push(run("r3", 300));
}

fn run_before_the_attempt_that_may_have_run(history: &mut History) {
    history.requests[1].attempts[0].outcome = refused("no_capacity", Ran::No);
}

fn run_a_booking_twice(history: &mut History) {
    history.runs.push(run("r4", 155));
}

fn work_for_a_leaving_target(history: &mut History) {
    history.runs[0].after_leaving_ms = Some(5_001);
}

fn cut_off_by_a_planned_stop(history: &mut History) {
    history.planned_stops.push(("n1".to_owned(), 140));
}

fn step_back(history: &mut History) {
    history.configuration_samples.push(sample(300, 1));
    history.configuration_samples.push(sample(310, 2));
}

fn never_arrive(history: &mut History) {
    history.edits[0].version = 3;
}

#[test_case(spend_beyond_the_budget, Promise::NoOverspend; "overspend")]
#[test_case(state_more_than_the_log_holds, Promise::BilledOnce; "stated more than billed")]
#[test_case(bill_another_price, Promise::BilledOnce; "another price")]
#[test_case(lose_a_bill, Promise::Billed; "bill lost")]
#[test_case(bill_after_the_release, Promise::Billed; "bill after the release")]
#[test_case(skip_a_number, Promise::Billed; "bill behind a gap")]
#[test_case(mix_two_answers, Promise::RightAnswers; "mixed answers")]
#[test_case(cut_an_answer_short, Promise::RightAnswers; "answer cut short")]
#[test_case(break_off_with_foreign_text, Promise::RightAnswers; "foreign text before a break")]
#[test_case(answer_what_nobody_ran, Promise::RightAnswers; "answer that nobody ran")]
#[test_case(run_what_was_refused, Promise::NotRunMeansNotRun; "refused and run")]
#[test_case(run_before_the_attempt_that_may_have_run, Promise::NotRunMeansNotRun; "run too early")]
#[test_case(run_a_booking_twice, Promise::AtMostOnce; "booking run twice")]
#[test_case(work_for_a_leaving_target, Promise::NoWorkToLeaving; "work for a leaving target")]
#[test_case(cut_off_by_a_planned_stop, Promise::GracefulStop; "cut off by a planned stop")]
#[test_case(step_back, Promise::NoRevertedEdits; "version steps back")]
#[test_case(never_arrive, Promise::NoRevertedEdits; "edit never arrives")]
fn a_doctored_history_is_rejected(doctor: fn(&mut History), promise: Promise) {
    let mut history = honest();
    doctor(&mut history);
    let verdict = check(&history);
    assert!(!verdict.figures.ok);
    let broken: Vec<Promise> = verdict
        .shortest()
        .iter()
        .map(|breach| breach.promise)
        .collect();
    assert_eq!(broken, [promise], "{verdict}");
}

/// The attempt that the planned stop cuts off begins at 130 or sooner and ends at 140 or later.
#[test_case(139, true; "silenced while the attempt was open")]
#[test_case(0, false; "silenced before it began")]
#[test_case(900, false; "silenced after it had ended")]
fn a_silenced_connection_is_not_cut_off_by_a_stop(silenced_ms: u64, is_ok: bool) {
    let mut history = honest();
    cut_off_by_a_planned_stop(&mut history);
    history.silences_ms.push(silenced_ms);
    assert_eq!(check(&history).is_ok(), is_ok);
}

#[test]
fn work_that_a_healing_let_through_was_sent_before_it() {
    let mut history = honest();
    history.runs[0].after_leaving_ms = Some(5_001);
    history.heals_ms.push(105);
    assert!(check(&history).is_ok());
    history.heals_ms[0] = 111;
    assert!(
        !check(&history).is_ok(),
        "the work came before this healing"
    );
}

#[test]
fn a_refusal_while_the_budget_covers_the_request_is_false() {
    let mut history = honest();
    history.budgets[0].purchases[0].tokens = 140;
    assert_eq!(check(&history).figures.false_refusals, 1);
}
