//! Checks that the documentation of metrics matches the code.

use std::{collections::BTreeSet, fs, path::Path};

/// Prefix of all metric names.
const PREFIX: &str = "toucan_";

#[test]
fn metrics_page_lists_all_metrics_in_the_code() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page =
        fs::read_to_string(root.join("docs/gateway-metrics.md")).expect("the page is readable");
    let mut used = BTreeSet::new();
    collect_metric_names(&root.join("crates/toucan_gateway/src"), &mut used);
    collect_metric_names(&root.join("platform/src"), &mut used);
    let documented: BTreeSet<String> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|rest| rest.split('`').next())
        .map(ToOwned::to_owned)
        .collect();
    assert_eq!(documented, used);
}

fn collect_metric_names(folder: &Path, names: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).expect("the folder is readable") {
        let path = entry.expect("the entry is readable").path();
        if path.is_dir() {
            collect_metric_names(&path, names);
            continue;
        }
        let text = fs::read_to_string(&path).expect("the source file is readable");
        for macro_name in ["counter!(\"", "gauge!(\"", "histogram!(\""] {
            let parts = text.split(macro_name).skip(1);
            let found = parts.filter_map(|part| part.split('"').next());
            names.extend(
                found
                    .filter(|name| name.starts_with(PREFIX))
                    .map(ToOwned::to_owned),
            );
        }
    }
}
