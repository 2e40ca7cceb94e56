//! Checks that the pages for operators agree with the code.

use std::{collections::BTreeSet, fs, path::Path};

use toucan_node::{API_ROUTES, CALLER_ROUTES, OPERATOR_ROUTES, RefusalCode, SETTINGS_FIELDS};

fn page(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    fs::read_to_string(root.join(name)).expect("the page exists")
}

/// Adds the names of the metrics in the source files below a directory.
fn collect_metric_names(directory: &Path, names: &mut BTreeSet<String>) {
    for entry in fs::read_dir(directory).expect("a directory of sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_metric_names(&path, names);
            continue;
        }
        let text = fs::read_to_string(&path).expect("a source file");
        for macro_name in ["counter!(", "histogram!(", "gauge!("] {
            for after in text.split(macro_name).skip(1) {
                let literal = after.trim_start().strip_prefix('"');
                if let Some((name, _)) = literal.and_then(|literal| literal.split_once('"')) {
                    names.insert(name.to_owned());
                }
            }
        }
    }
}

#[test]
fn the_metrics_page_lists_exactly_the_metrics_of_the_code() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut in_code = BTreeSet::new();
    for name in [
        "toucan_node",
        "toucan_wire",
        "toucan_platform",
        "toucan_ledger",
        "toucan_router",
    ] {
        collect_metric_names(&crates.join(name).join("src"), &mut in_code);
    }
    let text = page("docs/metrics.md");
    let rows = text.lines().filter_map(|line| line.strip_prefix("| `"));
    let on_page: BTreeSet<String> = rows
        .filter_map(|row| Some(row.split_once('`')?.0.to_owned()))
        .collect();
    assert_eq!(on_page, in_code);
}

#[test]
fn the_interfaces_page_lists_every_route() {
    let text = page("docs/interfaces.md");
    for route in CALLER_ROUTES
        .iter()
        .chain(&OPERATOR_ROUTES)
        .chain(&API_ROUTES)
    {
        assert!(text.contains(&format!("`{route}`")), "{route} is missing");
    }
}

#[test]
fn the_interfaces_page_lists_every_setting() {
    let text = page("docs/interfaces.md");
    for field in SETTINGS_FIELDS {
        assert!(
            text.contains(&format!("| `{field}` |")),
            "{field} is missing"
        );
    }
}

#[test]
fn the_interfaces_page_lists_every_refusal() {
    let text = page("docs/interfaces.md");
    for code in RefusalCode::ALL {
        let row = format!("| {} | `{}` |", code.status().as_u16(), code.as_str());
        assert!(text.contains(&row), "{row} is missing");
    }
}
