//! Pages are held against the code.

use std::{collections::BTreeSet, fs, path::Path};

/// Beginning of the names of all metrics.
const PREFIX: &str = "toucan_";

#[test]
fn the_page_of_metrics_names_what_the_code_counts() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = fs::read_to_string(root.join("docs/gateway-metrics.md")).expect("the page is there");
    let mut counted = BTreeSet::new();
    collect(&root.join("crates/toucan_gateway/src"), &mut counted);
    collect(&root.join("platform/src"), &mut counted);
    let named: BTreeSet<String> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|rest| rest.split('`').next())
        .map(ToOwned::to_owned)
        .collect();
    assert_eq!(named, counted);
}

fn collect(folder: &Path, names: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).expect("the folder is there") {
        let path = entry.expect("it can be listed").path();
        if path.is_dir() {
            collect(&path, names);
            continue;
        }
        let text = fs::read_to_string(&path).expect("it is text");
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
