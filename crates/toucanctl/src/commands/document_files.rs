//! Checks of document files without a node.

use toucan_config::{Document, Section, SectionTexts, WholeDocument};
use toucan_types::{Finding, Severity};

use crate::cli_error::CliError;
use crate::options::{Options, read_file};
use crate::report::finding_lines;
use crate::{Exit, Report};

/// Findings of one file.
struct FileFindings {
    file: String,
    findings: Vec<Finding>,
}

/// Checks whole documents, and the sections given as `SECTION=FILE` as one document.
pub(crate) fn check_files(files: &[String], options: &Options) -> Result<Report, CliError> {
    if files.is_empty() {
        return Err(CliError::usage("FILE is missing"));
    }
    let mut results = Vec::new();
    let mut texts = SectionTexts::default();
    let mut section_files: Vec<(Section, String)> = Vec::new();
    for argument in files {
        let named = argument
            .split_once('=')
            .and_then(|(name, file)| Some((Section::from_name(name)?, file)));
        match named {
            Some((section, file)) => {
                texts = texts.with(section, read_file(file)?.as_str());
                section_files.push((section, file.to_owned()));
            }
            None => results.push(check_whole(argument)?),
        }
    }
    if !section_files.is_empty() {
        results.extend(check_sections(&texts, &section_files));
    }
    Ok(report(&results, options))
}

fn check_whole(file: &str) -> Result<FileFindings, CliError> {
    let text = read_file(file)?;
    let findings = match WholeDocument::split(&text) {
        Ok(whole) => whole.relocate(Document::findings(whole.texts())),
        Err(findings) => findings,
    };
    Ok(FileFindings {
        file: file.to_owned(),
        findings,
    })
}

fn check_sections(texts: &SectionTexts, files: &[(Section, String)]) -> Vec<FileFindings> {
    let findings = Document::findings(texts);
    Section::ALL
        .into_iter()
        .map(|section| {
            let file = files.iter().find(|(given, _)| *given == section);
            let is_here =
                |finding: &&Finding| finding.path.split(['.', '[']).next() == Some(section.name());
            FileFindings {
                file: file.map_or_else(|| section.to_string(), |(_, file)| file.clone()),
                findings: findings.iter().filter(is_here).cloned().collect(),
            }
        })
        .filter(|result| {
            !result.findings.is_empty() || files.iter().any(|(_, file)| *file == result.file)
        })
        .collect()
}

fn report(results: &[FileFindings], options: &Options) -> Report {
    let has_errors = results
        .iter()
        .flat_map(|result| &result.findings)
        .any(|finding| finding.severity == Severity::Error);
    let code = if has_errors {
        Exit::Findings
    } else {
        Exit::Done
    };
    if options.is_json {
        let files: serde_json::Map<_, _> = results
            .iter()
            .map(|result| (result.file.clone(), serde_json::json!(result.findings)))
            .collect();
        return Report::json(&files, code);
    }
    let mut out = String::new();
    for result in results {
        if result.findings.is_empty() {
            out.push_str(&format!("{}: no findings\n", result.file));
        }
        out.push_str(&finding_lines(&result.file, &result.findings));
    }
    Report::done(out).with_code(code)
}
