//! Markdown reference of all fields.

use crate::{FieldKind, FieldSpec, SCHEMA};

/// Returns Markdown tables of all objects of the document and their fields.
#[must_use]
pub fn reference_tables() -> String {
    let mut page = String::new();
    for object in SCHEMA {
        page.push_str(&format!("### `{}`\n\n", object.path));
        page.push_str("| field | value | if left out | meaning |\n|---|---|---|---|\n");
        for field in object.fields {
            page.push_str(&format!(
                "| `{}` | {} | {} | {} |\n",
                field.name,
                value_text(field.kind),
                default_text(field),
                field.doc
            ));
        }
        page.push('\n');
    }
    page
}

fn default_text(field: &FieldSpec) -> String {
    match field.default {
        None => "must be given".to_owned(),
        Some(words) if words.starts_with('(') => words.trim_matches(['(', ')']).to_owned(),
        Some(json) => format!("`{json}`"),
    }
}

fn value_text(kind: FieldKind) -> String {
    match kind {
        FieldKind::Number { unit, min, max } => {
            let range = if max == u64::MAX {
                format!("number from {min}")
            } else {
                format!("number from {min} to {max}")
            };
            if unit.is_empty() {
                range
            } else {
                format!("{range}, {unit}")
            }
        }
        FieldKind::Flag => "`true` or `false`".to_owned(),
        FieldKind::Text => "text".to_owned(),
        FieldKind::Name(table) => format!("name in `{table}`"),
        FieldKind::Names(table) => format!("list of names in `{table}`"),
        FieldKind::Object(path) => format!("object `{path}`"),
        FieldKind::Table(path) => format!("objects `{path}` by name"),
        FieldKind::List(path) => format!("list of `{path}`"),
    }
}
