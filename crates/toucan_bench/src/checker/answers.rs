//! Checks that answers are complete and belong to their request.

use super::billing::describe_request;
use super::{Breach, Promise};
use crate::history::{Expectation, History, Outcome, RequestHistory};

/// Returns the requests with an answer, complete or broken off, that differs from the expected one.
pub(crate) fn wrong_answers(history: &History) -> Vec<Breach> {
    let wrong = history
        .requests
        .iter()
        .filter(|request| has_wrong_answer(request));
    wrong
        .map(|request| {
            let mut excerpt = describe_request(request);
            excerpt.push(format!("expected {:?}", request.expectation));
            Breach::one(Promise::RightAnswers, excerpt)
        })
        .collect()
}

fn has_wrong_answer(request: &RequestHistory) -> bool {
    let mut attempts = request.attempts.iter();
    attempts.any(|attempt| match &attempt.outcome {
        Outcome::Answered { text, usage_tokens } => {
            !is_expected(&request.expectation, text, *usage_tokens)
        }
        Outcome::Broken { text } => !is_expected_prefix(&request.expectation, text),
        Outcome::Refused { .. } => false,
    })
}

fn is_expected(expectation: &Expectation, text: &str, usage_tokens: u64) -> bool {
    match expectation {
        Expectation::Text {
            text: expected,
            usage_tokens: expected_tokens,
        } => text == expected && usage_tokens == *expected_tokens,
        Expectation::Echo { text: expected } => text.contains(expected.as_str()),
    }
}

fn is_expected_prefix(expectation: &Expectation, text: &str) -> bool {
    match expectation {
        Expectation::Text { text: expected, .. } => expected.starts_with(text),
        Expectation::Echo { .. } => true,
    }
}
