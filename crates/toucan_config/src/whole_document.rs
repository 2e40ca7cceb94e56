//! The three sections as one text.

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, parse_to_ast};
use toucan_types::{Finding, Position, Severity};

use crate::reader::PARSE_OPTIONS;
use crate::{Document, Section, SectionTexts};

/// The three sections of one text, with the comments inside them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeDocument {
    texts: SectionTexts,
    section_starts: [Position; 3],
}

impl WholeDocument {
    /// Splits a text `{"finance": {…}, "models": {…}, "operations": {…}}` into its sections.
    ///
    /// A missing section is empty.
    ///
    /// # Errors
    ///
    /// A syntax error, or all findings in the order of the text if a section is unknown or given
    /// twice; these include the findings in the sections.
    pub fn split(text: &str) -> Result<Self, Vec<Finding>> {
        let parsed =
            parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS).map_err(|error| {
                let position = Position::of_byte(text, error.range().start);
                vec![finding("", &error.kind().to_string()).at(position)]
            })?;
        let Some(Value::Object(root)) = &parsed.value else {
            return Err(vec![finding(
                "",
                "expected an object with the three sections",
            )]);
        };
        let mut whole = Self {
            texts: SectionTexts::default(),
            section_starts: [Position::default(); 3],
        };
        let mut findings = Vec::new();
        let mut given = Vec::new();
        for property in &root.properties {
            let name = property.name.as_str();
            let Some(section) = Section::from_name(name) else {
                let position = Position::of_byte(text, property.range.start);
                findings.push(
                    finding(name, "there is no such section")
                        .at(position)
                        .with_hint("the sections are finance, models and operations"),
                );
                continue;
            };
            if given.contains(&section) {
                let position = Position::of_byte(text, property.range.start);
                findings.push(finding(name, "the section is given twice").at(position));
                continue;
            }
            given.push(section);
            let range = property.value.range();
            whole.section_starts[section.index()] = Position::of_byte(text, range.start);
            whole.texts = whole.texts.with(section, &text[range.start..range.end]);
        }
        if findings.is_empty() {
            return Ok(whole);
        }
        findings.extend(whole.relocate(Document::findings(&whole.texts)));
        findings.sort_by_key(|finding| (finding.position.line, finding.position.column));
        Err(findings)
    }

    /// Joins the three sections into one text.
    #[must_use]
    pub fn join(texts: &SectionTexts) -> String {
        let sections: Vec<_> = Section::ALL
            .into_iter()
            .map(|section| format!("\"{section}\": {}", texts.get(section).trim_end()))
            .collect();
        format!("{{\n{}\n}}\n", sections.join(",\n"))
    }

    /// Returns the text of each section.
    #[must_use]
    pub const fn texts(&self) -> &SectionTexts {
        &self.texts
    }

    /// Converts the positions of findings from their section to the whole text.
    #[must_use]
    pub fn relocate(&self, findings: Vec<Finding>) -> Vec<Finding> {
        findings
            .into_iter()
            .map(|finding| self.relocate_one(finding))
            .collect()
    }

    fn relocate_one(&self, finding: Finding) -> Finding {
        let section = Section::ALL
            .into_iter()
            .find(|section| is_within(&finding.path, *section));
        let Some(section) = section else {
            return finding;
        };
        let start = self.section_starts[section.index()];
        let position = finding.position;
        let column = if position.line == 1 {
            position.column + start.column - 1
        } else {
            position.column
        };
        let line = position.line + start.line - 1;
        finding.at(Position { line, column })
    }
}

fn is_within(path: &str, section: Section) -> bool {
    path.strip_prefix(section.name())
        .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
}

fn finding(path: &str, message: &str) -> Finding {
    Finding::new(Severity::Error, path, message)
}
