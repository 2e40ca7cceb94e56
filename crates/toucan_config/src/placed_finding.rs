//! Findings located by byte offset, and their conversion to lines and columns.

use toucan_types::{Finding, Position};

/// A finding with its byte offset in the section's text.
#[derive(Clone, Debug)]
pub(crate) struct PlacedFinding {
    pub(crate) finding: Finding,
    pub(crate) at_byte: usize,
}

/// Sorts findings by byte offset and sets their lines and columns in one pass over the text.
pub(crate) fn resolve_positions(text: &str, mut findings: Vec<PlacedFinding>) -> Vec<Finding> {
    findings.sort_by_key(|placed| placed.at_byte);
    let mut characters = text.char_indices().peekable();
    let mut position = Position::default();
    let mut done = Vec::with_capacity(findings.len());
    for placed in findings {
        while let Some((_, character)) = characters.next_if(|(at, _)| *at < placed.at_byte) {
            if character == '\n' {
                position.line += 1;
                position.column = 1;
            } else {
                position.column += 1;
            }
        }
        done.push(placed.finding.at(position));
    }
    done
}
