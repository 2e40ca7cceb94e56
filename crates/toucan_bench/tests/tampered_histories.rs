//! The checker accepts a valid history, and rejects one that breaks a promise, for each promise.

use test_case::test_case;
use toucan_bench::{
    Attempt, BillEntry, BudgetHistory, BudgetStatement, ConfigurationSample, Expectation, History,
    LoggedRecord, LoggedRelease, Outcome, Promise, PublishedEdit, Purchase, RequestHistory,
    RunStatus, TargetRun, check,
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

fn refused(code: &str, ran: RunStatus) -> Outcome {
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

/// Returns a history without breaches: two answered and billed requests, the second after a broken
/// attempt at another node, one refused request and one non-idempotent call.
fn valid_history() -> History {
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
                vec![attempt(
                    "n1",
                    300,
                    301,
                    refused("budget_spent", RunStatus::No),
                )],
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
fn valid_history_is_accepted_with_its_figures() {
    let check_result = check(&valid_history());
    assert!(check_result.is_ok(), "{check_result}");
    let figures = check_result.figures;
    assert_eq!(figures.requests, 4);
    assert_eq!(figures.whole_answers, 3);
    assert_eq!(figures.refusals, 1);
    assert_eq!(figures.false_refusals, 0);
    assert_eq!(figures.config_in_force_p99_ms, 90);
    assert!(figures.ok);
}

fn overspend_the_budget(history: &mut History) {
    history.budgets[0].purchases[0].tokens = 80;
}

fn state_more_than_the_log_bills(history: &mut History) {
    history.statements[0].spent_tokens = 120;
}

fn bill_a_wrong_price(history: &mut History) {
    history.records[0].bills[0].tokens = 31;
    history.records[1].bills[0].tokens = 31;
}

fn drop_a_bill(history: &mut History) {
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

fn skip_a_sequence_number(history: &mut History) {
    history.records[4].sequence = 6;
    history.statements[0].spent_tokens = 60;
}

fn mix_two_answers(history: &mut History) {
    history.requests[0].attempts[0].outcome = answered("whole other");
}

fn truncate_an_answer(history: &mut History) {
    history.requests[0].attempts[0].outcome = answered("whole");
}

fn break_off_with_wrong_text(history: &mut History) {
    history.requests[1].attempts[0].outcome = Outcome::Broken {
        text: "other".to_owned(),
    };
}

fn answer_without_a_run(history: &mut History) {
    history.runs.retain(|run| run.request_id != "r1");
}

fn run_a_refused_request(history: &mut History) {
    history.runs.push(run("r3", 300));
}

fn run_before_the_accepted_attempt(history: &mut History) {
    history.requests[1].attempts[0].outcome = refused("no_capacity", RunStatus::No);
}

fn run_a_non_idempotent_call_twice(history: &mut History) {
    history.runs.push(run("r4", 155));
}

fn send_work_to_a_leaving_target(history: &mut History) {
    history.runs[0].after_leaving_ms = Some(5_001);
}

fn cut_off_an_attempt_by_a_planned_stop(history: &mut History) {
    history.planned_stops.push(("n1".to_owned(), 140));
}

fn revert_an_edit(history: &mut History) {
    history.configuration_samples.push(sample(300, 1));
    history.configuration_samples.push(sample(310, 2));
}

fn withhold_an_edit(history: &mut History) {
    history.edits[0].version = 3;
}

#[test_case(overspend_the_budget, Promise::NoOverspend; "overspend")]
#[test_case(state_more_than_the_log_bills, Promise::BilledOnce; "stated more than billed")]
#[test_case(bill_a_wrong_price, Promise::BilledOnce; "another price")]
#[test_case(drop_a_bill, Promise::Billed; "bill lost")]
#[test_case(bill_after_the_release, Promise::Billed; "bill after the release")]
#[test_case(skip_a_sequence_number, Promise::Billed; "bill behind a gap")]
#[test_case(mix_two_answers, Promise::RightAnswers; "mixed answers")]
#[test_case(truncate_an_answer, Promise::RightAnswers; "answer cut short")]
#[test_case(break_off_with_wrong_text, Promise::RightAnswers; "foreign text before a break")]
#[test_case(answer_without_a_run, Promise::RightAnswers; "answer that nobody ran")]
#[test_case(run_a_refused_request, Promise::NotRunMeansNotRun; "refused and run")]
#[test_case(run_before_the_accepted_attempt, Promise::NotRunMeansNotRun; "run too early")]
#[test_case(run_a_non_idempotent_call_twice, Promise::AtMostOnce; "booking run twice")]
#[test_case(send_work_to_a_leaving_target, Promise::NoWorkToLeaving; "work for a leaving target")]
#[test_case(cut_off_an_attempt_by_a_planned_stop, Promise::GracefulStop; "cut off by a planned stop")]
#[test_case(revert_an_edit, Promise::NoRevertedEdits; "version steps back")]
#[test_case(withhold_an_edit, Promise::NoRevertedEdits; "edit never arrives")]
fn tampered_history_breaks_the_expected_promise(tamper: fn(&mut History), promise: Promise) {
    let mut history = valid_history();
    tamper(&mut history);
    let check_result = check(&history);
    assert!(!check_result.figures.ok);
    let broken: Vec<Promise> = check_result
        .shortest()
        .iter()
        .map(|breach| breach.promise)
        .collect();
    assert_eq!(broken, [promise], "{check_result}");
}

/// The planned stop at 140 cuts off the attempt that is open from 100 to 150.
#[test_case(139, true; "silenced while the attempt was open")]
#[test_case(0, false; "silenced before it began")]
#[test_case(900, false; "silenced after it had ended")]
fn silenced_connection_is_not_a_planned_stop_cut_off(silenced_ms: u64, is_ok: bool) {
    let mut history = valid_history();
    cut_off_an_attempt_by_a_planned_stop(&mut history);
    history.silences_ms.push(silenced_ms);
    assert_eq!(check(&history).is_ok(), is_ok);
}

#[test]
fn delayed_work_after_a_heal_is_allowed() {
    let mut history = valid_history();
    history.runs[0].after_leaving_ms = Some(5_001);
    history.heals_ms.push(105);
    assert!(check(&history).is_ok());
    history.heals_ms[0] = 111;
    assert!(!check(&history).is_ok(), "the work came before this heal");
}

#[test]
fn refusal_with_sufficient_budget_is_a_false_refusal() {
    let mut history = valid_history();
    history.budgets[0].purchases[0].tokens = 140;
    assert_eq!(check(&history).figures.false_refusals, 1);
}
