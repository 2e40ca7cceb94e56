//! The reference page and the sample document match the schema.

use toucan_config::{Document, SCHEMA, Section, WholeDocument, reference_tables};

const PAGE: &str = include_str!("../../../docs/document.md");
const SAMPLE: &str = include_str!("../../../docs/examples/document.jsonc");

#[test]
fn page_contains_the_tables_of_the_schema() {
    let page_tables = PAGE
        .split_once("<!-- fields: begin -->\n\n")
        .and_then(|(_, rest)| rest.split_once("<!-- fields: end -->"))
        .map(|(tables, _)| tables);
    assert_eq!(page_tables, Some(reference_tables().as_str()));
}

#[test]
fn sample_has_no_findings() {
    let whole = WholeDocument::split(SAMPLE).unwrap();
    let checked = Document::parse(whole.texts()).unwrap();
    assert_eq!(checked.warnings, []);
    assert_eq!(checked.document.targets().len(), 3);
}

#[test]
fn sample_uses_every_field() {
    for object in SCHEMA {
        for field in object.fields {
            let quoted = format!("\"{}\":", field.name);
            assert!(SAMPLE.contains(&quoted), "{}.{}", object.path, field.name);
        }
    }
}

#[test]
fn join_preserves_the_sections() {
    let whole = WholeDocument::split(SAMPLE).unwrap();
    let joined = WholeDocument::join(whole.texts());
    assert_eq!(
        WholeDocument::split(&joined).unwrap().texts(),
        whole.texts()
    );
    assert!(joined.contains("// An issuance binds a member"));
    assert!(whole.texts().get(Section::Finance).starts_with('{'));
}
