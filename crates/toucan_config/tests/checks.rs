//! Findings of the checks, with their path, line and column.

use test_case::test_case;
use toucan_config::{Document, Section, SectionTexts, WholeDocument, effect_warnings};
use toucan_types::{Finding, OrganisationName, Severity};

fn findings_of(section: Section, text: &str) -> Vec<Finding> {
    Document::findings(&SectionTexts::default().with(section, text))
}

#[test_case(Section::Finance, "{", "finance", 1, 1, "Unterminated object"; "unterminated")]
#[test_case(Section::Finance, "[]", "finance", 1, 1, "expected an object"; "a list")]
#[test_case(Section::Finance, "", "finance", 1, 1, "expected an object"; "no value")]
#[test_case(Section::Finance, "{'a': 1}", "finance", 1, 2, "Single-quoted strings are not allowed"; "single quotes")]
#[test_case(Section::Finance, "{\n \"organisations\": []\n}", "finance.organisations", 2, 19, "expected an object with one entry for each name"; "table as list")]
#[test_case(Section::Finance, "{\"organisations\": {\"a b\": {}}}", "finance.organisations[\"a b\"]", 1, 20, "a name has 1 to 128 bytes without blanks"; "blank in a name")]
#[test_case(Section::Finance, "{\"organisations\": {\"*\": {}}}", "finance.organisations[\"*\"]", 1, 20, "`*` stands for every name and names nothing"; "star as a name")]
#[test_case(Section::Finance, "{\"organisations\": {\"a\": {}, \"a\": {}}}", "finance.organisations.a", 1, 29, "the name is given twice"; "name twice")]
#[test_case(Section::Finance, "{\"organisations\": {\"é\": {\"bridge_ms\": -1}}}", "finance.organisations[\"é\"].bridge_ms", 1, 39, "expected a whole number from 0 to 2592000000 ms"; "negative number")]
#[test_case(Section::Finance, "{\"organisations\": {\"a\": {\"bridge_ms\": 1.5}}}", "finance.organisations.a.bridge_ms", 1, 39, "expected a whole number from 0 to 2592000000 ms"; "fraction")]
#[test_case(Section::Finance, "{\"organisations\": {\"a\": {\"title\": 1}}}", "finance.organisations.a.title", 1, 35, "expected a text in double quotes"; "number for text")]
#[test_case(Section::Finance, "{\"budgets\": {}, \"budgets\": {}}", "finance.budgets", 1, 17, "the field is given twice"; "field twice")]
#[test_case(Section::Models, "{\"models\": {\"m\": {\"serving_version\": \"v\"}}}", "models.models.m.serving_version", 1, 38, "`v` is not among the versions"; "unknown version")]
#[test_case(Section::Models, "{\"models\": {\"m\": {\"serving_version\": \"v\", \"versions\": {\"v\": {}}, \"organisations\": [\"x\"]}}}", "models.models.m.organisations[0]", 1, 84, "`x` is not in finance.organisations"; "unknown organisation")]
#[test_case(Section::Operations, "{\"ledger\": {\"shards\": 0}}", "operations.ledger.shards", 1, 23, "expected a whole number from 1 to 1024"; "no shards")]
#[test_case(Section::Operations, "{\"services\": {\"s\": {\"kind\": \"x\"}}}", "operations.services.s.kind", 1, 29, "expected one of models, plain"; "unknown kind")]
#[test_case(Section::Operations, "{\"services\": {\"s\": {}}}", "operations.services.s.kind", 1, 15, "the field is missing"; "missing field")]
#[test_case(Section::Operations, "{\"limits\": {\"x\": {}}}", "operations.limits.x", 1, 13, "`x` is not in finance.organisations"; "limits of nobody")]
fn one_finding(section: Section, text: &str, path: &str, line: u32, column: u32, message: &str) {
    let findings = findings_of(section, text);
    assert_eq!(findings.len(), 1, "{findings:?}");
    let finding = &findings[0];
    let position = (finding.position.line, finding.position.column);
    assert_eq!(finding.path, path);
    assert_eq!(position, (line, column));
    assert_eq!(finding.message, message);
    assert_eq!(finding.severity, Severity::Error);
}

#[test_case("{\"finance\": {\"organisations\": [5]}, \"nonsense\": true}", &[("finance.organisations", 1, 31), ("nonsense", 1, 37)]; "unknown section")]
#[test_case("{\"x\": 1, \"models\": [], \"y\": 2}", &[("x", 1, 2), ("models", 1, 20), ("y", 1, 24)]; "two unknown sections")]
#[test_case("{\"models\": {},\n\"models\": {}}", &[("models", 2, 1)]; "section twice")]
fn unknown_sections_do_not_hide_other_findings(text: &str, expected: &[(&str, u32, u32)]) {
    let Err(findings) = WholeDocument::split(text) else {
        panic!("nothing is found in {text}");
    };
    let positions: Vec<_> = findings
        .iter()
        .map(|finding| {
            let position = finding.position;
            (finding.path.as_str(), position.line, position.column)
        })
        .collect();
    assert_eq!(positions, expected);
}

#[test]
fn all_findings_are_reported_together() {
    let texts = SectionTexts::default()
        .with(
            Section::Finance,
            r#"{"budgets": {"b": {"organisation": "nobody", "purchased_tokens": "many"}}}"#,
        )
        .with(Section::Models, r#"{"models": {"m": {}}}"#)
        .with(
            Section::Operations,
            r#"{"targets": {"t": {"service": "s", "data_centre": "d", "address": "host:1"}}}"#,
        );
    let findings = Document::parse(&texts).unwrap_err();
    let paths: Vec<_> = findings
        .iter()
        .map(|finding| finding.path.as_str())
        .collect();
    assert_eq!(
        paths,
        [
            "finance.budgets.b.organisation",
            "finance.budgets.b.purchased_tokens",
            "models.models.m.serving_version",
            "models.models.m.serving_version",
            "operations.targets.t.service",
            "operations.targets.t.data_centre",
            "operations.targets.t.address",
        ]
    );
}

#[test]
fn unknown_field_is_a_warning() {
    let findings = findings_of(Section::Finance, r#"{"organisation": {}}"#);
    assert_eq!(findings.len(), 1);
    assert_eq!(findings[0].severity, Severity::Warning);
    assert_eq!(
        findings[0].hint,
        "known here: organisations, budgets, caller_keys"
    );
}

#[test]
fn model_in_two_services_is_an_error() {
    let texts = SectionTexts::default()
        .with(
            Section::Models,
            r#"{"models": {"m": {"serving_version": "v", "versions": {"v": {}}}}}"#,
        )
        .with(
            Section::Operations,
            r#"{"services": {"a": {"kind": "models", "models": ["m"]},
                          "b": {"kind": "models", "models": ["m"]}}}"#,
        );
    let findings = Document::parse(&texts).unwrap_err();
    assert_eq!(findings.len(), 1);
    assert_eq!(findings[0].message, "`m` is also served by `a`");
}

#[test]
fn positions_are_relative_to_the_whole_document() {
    let text =
        "{\n\"finance\": {},\n  \"operations\": {\"ledger\": {\"shards\": 0},\n\"order\": 1}}";
    let whole = WholeDocument::split(text).unwrap();
    let findings = whole.relocate(Document::parse(whole.texts()).unwrap_err());
    let positions: Vec<_> = findings
        .iter()
        .map(|finding| finding.position.to_string())
        .collect();
    assert_eq!(positions, ["3:39", "4:10"]);
}

#[test]
fn defaults_apply() {
    let document = Document::default();
    let limits = document.limits(&OrganisationName::from("anyone"));
    assert_eq!(limits.concurrency, 256);
    assert_eq!(document.operations().ledger.shards, 4);
    assert_eq!(document.operations().order.ageing_ms, 2000);
}

#[test]
fn effect_warnings_name_cuts_and_removals() {
    let sample = include_str!("../../../docs/examples/document.jsonc");
    let old = WholeDocument::split(sample).unwrap();
    let cut = sample
        .replace("\"purchased_tokens\": 2000000", "\"purchased_tokens\": 10")
        .replace("\"serving_version\": \"v2\"", "\"serving_version\": \"v1\"")
        .replace(
            "\"10.1.0.11:9000\"",
            "\"10.1.0.11:9000\", \"drained\": true",
        );
    let new = WholeDocument::split(&cut).unwrap();
    let parse = |whole: &WholeDocument| Document::parse(whole.texts()).unwrap().document;
    let spent = toucan_config::BudgetUse {
        spent_tokens: toucan_types::Tokens(11),
        ..Default::default()
    };
    let findings = effect_warnings(&parse(&old), &parse(&new), |_| Some(spent));
    let messages: Vec<_> = findings
        .iter()
        .map(|finding| finding.message.as_str())
        .collect();
    assert_eq!(
        messages,
        [
            "cut from 2000000 to 10 tokens, below the 11 already spent",
            "requests change from version v2 to v1, which service drafting serves",
            "no target is left to serve it",
        ]
    );
}
