//! Tests of commands that need no node.

use std::ffi::OsString;

use test_case::test_case;
use toucan_config::{ApiKey, HashedKey};
use toucanctl::{Environment, Exit, Report, run};

const SAMPLE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../docs/examples/document.jsonc"
);

fn ctl(arguments: &[&str]) -> Report {
    let arguments = arguments.iter().map(OsString::from).collect();
    run(arguments, &Environment::default())
}

/// Writes a file in the test directory of the build and returns its path.
fn write_file(name: &str, text: &str) -> String {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the directory is writable");
    path.to_string_lossy().into_owned()
}

#[test_case(&[], Exit::Usage; "no command")]
#[test_case(&["nonsense"], Exit::Usage; "unknown command")]
#[test_case(&["document"], Exit::Usage; "no second word")]
#[test_case(&["document", "get"], Exit::Usage; "no node")]
#[test_case(&["document", "get", "--node", "example.org:1"], Exit::Usage; "a name for an address")]
#[test_case(&["document", "get", "nonsense"], Exit::Usage; "unknown section")]
#[test_case(&["document", "schema", "more"], Exit::Usage; "a word too many")]
#[test_case(&["document", "check", "/nonexistent"], Exit::Usage; "no such file")]
#[test_case(&["document", "edit", "finance", "--set", "x"], Exit::Usage; "no value")]
#[test_case(&["budget", "top-up", "b", "--id", "i", "--tokens", "-1"], Exit::Usage; "negative tokens")]
#[test_case(&["document", "get", "--node", "127.0.0.1:1"], Exit::Unavailable; "nobody listens")]
#[test_case(&["document", "check", SAMPLE], Exit::Done; "the sample")]
#[test_case(&["document", "schema"], Exit::Done; "the schema")]
#[test_case(&["--version"], Exit::Done; "the version")]
fn exit_codes(arguments: &[&str], code: Exit) {
    let report = ctl(arguments);
    assert_eq!(report.code, code, "{report:?}");
    assert_eq!(report.code == Exit::Done, report.err.is_empty());
}

#[test]
fn check_reports_file_line_and_column() {
    let broken = write_file("broken.jsonc", "{\n  \"finance\": { \"budgets\": [] }\n}\n");
    let report = ctl(&["document", "check", SAMPLE, &broken]);
    assert_eq!(report.code, Exit::Findings);
    let expected = format!(
        "{SAMPLE}: no findings\n{broken}:2:27: error: finance.budgets: expected an object with \
         one entry for each name\n"
    );
    assert_eq!(report.out, expected);
}

#[test]
fn section_files_are_checked_together() {
    let models = write_file(
        "models.jsonc",
        r#"{"models": {"m": {"serving_version": "v", "versions": {"v": {}}, "organisations": ["o"]}}}"#,
    );
    let finance = write_file("finance.jsonc", r#"{"organisations": {"o": {}}}"#);
    let models = format!("models={models}");
    let finance = format!("finance={finance}");
    assert_eq!(
        ctl(&["document", "check", &models, &finance]).code,
        Exit::Done
    );
    let alone = ctl(&["document", "check", "--json", &models]);
    assert_eq!(alone.code, Exit::Findings);
    let value: serde_json::Value = serde_json::from_str(&alone.out).unwrap();
    let message = &value.as_object().unwrap().values().next().unwrap()[0]["message"];
    assert_eq!(message, "`o` is not in finance.organisations");
}

#[test]
fn new_key_matches_its_hash() {
    let report = ctl(&["key", "new", "k1", "--json"]);
    let value: serde_json::Value = serde_json::from_str(&report.out).unwrap();
    let field = |name: &str| value[name].as_str().unwrap().to_owned();
    let key = field("key");
    let hashed = HashedKey::from_hex(&field("salt"), &field("hash")).unwrap();
    assert!(hashed.matches(&ApiKey::parse(&key).unwrap()));
    assert_eq!(ctl(&["key", "new", "k_1"]).code, Exit::Usage);
}

#[test]
fn documentation_covers_every_command_and_exit_code() {
    let page = include_str!("../../../docs/toucanctl.md");
    for (command, _) in toucanctl::COMMANDS {
        let words: Vec<_> = command
            .split(' ')
            .take_while(|word| word.chars().all(|c| c.is_ascii_lowercase() || c == '-'))
            .collect();
        let heading = format!("### `{}`", words.join(" "));
        assert!(page.contains(&heading), "{heading}");
    }
    let help = ctl(&["--help"]).out;
    for code in 0..=8 {
        assert!(page.contains(&format!("| {code} |")));
        assert!(help.contains(&format!("{code} ")));
    }
}

/// Returns a log line in the format of a gateway.
fn log_line(second: u32, target: &str, message: &str, attributes: &str) -> String {
    format!(
        r#"{{"time":"2026-12-04T02:00:{second:02}.000000000+00:00","level":"INFO","target":"{target}","message":"{message}","attributes":{{{attributes}}}}}"#
    )
}

#[test]
fn explain_merges_logs_of_several_vms() {
    let refused = r#""id":"r-1","organisation":"o","outcome":"budget_in_use""#;
    let first = [
        log_line(1, "budget", "tokens are lacking", r#""organisation":"o""#),
        log_line(
            1,
            "budget",
            "tokens are lacking",
            r#""organisation":"other""#,
        ),
        log_line(2, "call", "call refused", refused),
        log_line(40, "store", "the store does not answer", ""),
        "cut off {".to_owned(),
    ];
    let second = [log_line(
        0,
        "configuration",
        "configuration in force",
        r#""version":"7""#,
    )];
    let first = write_file("first.log", &first.join("\n"));
    let second = write_file("second.log", &second.join("\n"));
    let report = ctl(&["explain", "r-1", "--log", &first, "--log", &second]);
    assert_eq!(report.code, Exit::Done, "{report:?}");
    let lines: Vec<&str> = report.out.lines().collect();
    assert!(
        lines[0].starts_with("request r-1: budget_in_use: "),
        "{lines:?}"
    );
    assert!(
        lines[2].contains("configuration in force version=7"),
        "{lines:?}"
    );
    assert!(
        lines[3].ends_with("tokens are lacking organisation=o"),
        "{lines:?}"
    );
    assert!(lines[4].contains("call refused id=r-1"), "{lines:?}");
    assert_eq!(lines.last(), Some(&"1 lines could not be read"));
    assert_eq!(lines.len(), 7, "{lines:?}");
    assert_eq!(
        ctl(&["explain", "r-2", "--log", &first]).code,
        Exit::NotFound
    );
}
