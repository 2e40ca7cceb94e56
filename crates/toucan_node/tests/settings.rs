//! Checks the settings reader with valid, random and mutated texts.

use proptest::prelude::*;
use toucan_node::{NodeSettings, SETTINGS_FIELDS};

const FULL_EXAMPLE: &str = r#"{
    // One router VM.
    "vm": "router-1", "instance": "i-1", "data_centre": "a",
    "listen": { "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0" },
    "platform": { "log": "127.0.0.1:9000", "vm_list": "127.0.0.1:9001", "vm_list_poll_ms": 100 },
    "contacts": { "router-2": "10.0.0.2:7000" },
    "log": { "level": "info", "form": "json" },
    "connections": {
        "connections": 8, "header_ms": 300, "header_bytes": 8192, "header_fields": 20,
        "stall_ms": 300,
    },
    "body": { "body_bytes": 4096, "silence_ms": 200, "whole_ms": 600 },
    "replay": { "held_calls": 1024, "held_bytes": 0 },
    "admission": { "queue_requests": 5 },
    "caller_threads": 1, "leave_notice_ms": 0, "stop_patience_ms": 1000,
}"#;

/// Parses a text and checks that each finding has a position within the text.
fn check_findings(text: &str) -> Result<(), TestCaseError> {
    let Err(findings) = NodeSettings::parse(text) else {
        return Ok(());
    };
    prop_assert!(!findings.is_empty());
    let lines = text.split('\n').count();
    for finding in findings {
        let rendered = finding.to_string();
        let mut parts = rendered.splitn(3, ':');
        let line: usize = parts.next().and_then(|line| line.parse().ok()).unwrap_or(0);
        let column: usize = parts.next().and_then(|text| text.parse().ok()).unwrap_or(0);
        prop_assert!((1..=lines).contains(&line), "{rendered} in {text:?}");
        let line_length = text
            .split('\n')
            .nth(line - 1)
            .map_or(0, |line| line.chars().count());
        prop_assert!(
            (1..=line_length + 1).contains(&column),
            "{rendered} in {text:?}"
        );
        prop_assert!(!finding.message.is_empty() && !finding.path.is_empty());
    }
    Ok(())
}

#[test]
fn the_full_example_is_valid() {
    let settings = NodeSettings::parse(FULL_EXAMPLE).expect("valid settings");
    assert_eq!(settings.connections.write_timeout_ms, 300);
    assert_eq!(settings.replay.max_calls, 1_024);
}

#[test]
fn each_field_of_a_wrong_type_is_reported_at_its_path() {
    for path in SETTINGS_FIELDS {
        let names: Vec<&str> = path.split('.').collect();
        let mut text = "[]".to_owned();
        for name in names.iter().rev() {
            text = format!("{{ \"{name}\": {text} }}");
        }
        let findings = NodeSettings::parse(&text).expect_err("an array is never valid");
        assert!(
            findings
                .iter()
                .any(|finding| finding.path.starts_with(path)),
            "{path}: {findings:?}"
        );
    }
}

proptest! {
    #[test]
    fn random_texts_are_parsed_or_rejected(text in "(?s).{0,200}") {
        check_findings(&text)?;
    }

    #[test]
    fn texts_of_json_pieces_are_parsed_or_rejected(
        pieces in prop::collection::vec(
            prop::sample::select(vec![
                "{", "}", "[", "]", ",", ":", "\"vm\"", "\"body\"", "\"\\u", "\"", "1e999", "-0",
                "99999999999999999999999", "null", "true", "//", "/*", "\n", "é", "\"listen\"",
            ]),
            0..40,
        )
    ) {
        check_findings(&pieces.concat())?;
    }

    #[test]
    fn mutated_settings_are_parsed_or_rejected(
        edits in prop::collection::vec((any::<prop::sample::Index>(), 0..3_u8, any::<char>()), 1..6)
    ) {
        let mut text: Vec<char> = FULL_EXAMPLE.chars().collect();
        for (at, how, character) in edits {
            let at = at.index(text.len());
            match how {
                0 => { text.remove(at); }
                1 => text.insert(at, character),
                _ => text[at] = character,
            }
        }
        check_findings(&text.into_iter().collect::<String>())?;
    }

    #[test]
    fn truncated_settings_are_rejected(at in any::<prop::sample::Index>()) {
        let text: String = FULL_EXAMPLE.chars().take(at.index(FULL_EXAMPLE.len() - 1)).collect();
        prop_assert!(NodeSettings::parse(&text).is_err());
        check_findings(&text)?;
    }
}
