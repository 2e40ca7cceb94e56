//! Reads fields of JSON objects with comments and collects findings.

use std::{cell::RefCell, net::SocketAddr};

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{Object, ObjectProp, Value},
    common::Ranged,
    parse_to_ast,
};
use toucan_types::{Finding, Position, Severity};

/// Findings on a text, collected while it is read.
pub(super) struct Findings<'t> {
    text: &'t str,
    found: RefCell<Vec<Finding>>,
}

impl<'t> Findings<'t> {
    pub(super) fn new(text: &'t str) -> Self {
        Self {
            text,
            found: RefCell::default(),
        }
    }

    pub(super) fn add(&self, path: &str, at_byte: usize, message: impl Into<String>) {
        let position = Position::of_byte(self.text, at_byte);
        let finding = Finding::new(Severity::Error, path, message).at(position);
        self.found.borrow_mut().push(finding);
    }

    pub(super) fn into_sorted(self) -> Vec<Finding> {
        let mut found = self.found.into_inner();
        found.sort_by_key(|finding| finding.position);
        found
    }
}

/// Parses a text and passes its root object to `read`.
pub(super) fn read_root<T: Default>(
    findings: &Findings<'_>,
    read: impl FnOnce(&SettingsObject<'_, '_>) -> T,
) -> T {
    let options = ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        ..strict()
    };
    match parse_to_ast(findings.text, &CollectOptions::default(), &options) {
        Ok(parsed) => match &parsed.value {
            Some(Value::Object(object)) => read(&SettingsObject {
                findings,
                object: Some(object),
                path: String::new(),
                at_byte: 0,
            }),
            _ => {
                findings.add("settings", 0, "expected an object");
                T::default()
            }
        },
        Err(error) => {
            findings.add("settings", error.range().start, error.kind().to_string());
            T::default()
        }
    }
}

const fn strict() -> ParseOptions {
    ParseOptions {
        allow_comments: false,
        allow_loose_object_property_names: false,
        allow_trailing_commas: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

/// One object of the settings; empty if it is missing.
pub(super) struct SettingsObject<'r, 'a> {
    findings: &'r Findings<'r>,
    object: Option<&'r Object<'a>>,
    path: String,
    at_byte: usize,
}

impl<'r, 'a> SettingsObject<'r, 'a> {
    /// Adds a finding for each field that is not among these.
    pub(super) fn reject_unknown_fields(&self, fields: &[&str]) {
        for property in self.object.iter().flat_map(|object| &object.properties) {
            let name = property.name.as_str();
            if !fields.contains(&name) {
                let message = format!("unknown field; expected one of {}", fields.join(", "));
                self.findings
                    .add(&self.child(name), property.range().start, message);
            }
        }
    }

    /// Returns a required text.
    pub(super) fn text(&self, name: &str) -> String {
        match self.optional_text(name) {
            Some(text) => text,
            None => {
                if self.property(name).is_none() {
                    self.findings
                        .add(&self.child(name), self.at_byte, "must be given");
                }
                String::new()
            }
        }
    }

    /// Returns a text, if it is present.
    pub(super) fn optional_text(&self, name: &str) -> Option<String> {
        let property = self.property(name)?;
        if let Value::StringLit(text) = &property.value
            && !text.value.is_empty()
        {
            return Some(text.value.to_string());
        }
        self.add_finding_at(property, "expected a text in double quotes");
        None
    }

    /// Adds a finding on a field.
    pub(super) fn add_finding(&self, name: &str, message: &str) {
        match self.property(name) {
            Some(property) => self.add_finding_at(property, message),
            None => self.findings.add(&self.child(name), self.at_byte, message),
        }
    }

    /// Returns a whole number within a range, or the default.
    pub(super) fn number<T: TryFrom<u64> + Copy>(
        &self,
        name: &str,
        default: T,
        range: std::ops::RangeInclusive<u64>,
    ) -> T {
        let Some(property) = self.property(name) else {
            return default;
        };
        let number = match &property.value {
            Value::NumberLit(literal) => literal.value.parse::<u64>().ok(),
            _ => None,
        };
        let in_range = number.filter(|number| range.contains(number));
        in_range
            .and_then(|number| T::try_from(number).ok())
            .unwrap_or_else(|| {
                let (min, max) = (range.start(), range.end());
                self.add_finding_at(
                    property,
                    &format!("expected a whole number from {min} to {max}"),
                );
                default
            })
    }

    /// Returns an IP address and port, or the default.
    pub(super) fn address(&self, name: &str, default: SocketAddr) -> SocketAddr {
        let Some(property) = self.property(name) else {
            return default;
        };
        let parsed = match &property.value {
            Value::StringLit(text) => text.value.parse().ok(),
            _ => None,
        };
        parsed.unwrap_or_else(|| {
            self.add_finding_at(
                property,
                "expected an IP address and port, such as \"10.0.0.1:8080\"",
            );
            default
        })
    }

    /// Returns the value of one of the given words, or the default.
    pub(super) fn choice<T: Copy>(&self, name: &str, default: T, words: &[(&str, T)]) -> T {
        let Some(property) = self.property(name) else {
            return default;
        };
        let text = match &property.value {
            Value::StringLit(text) => text.value.as_ref(),
            _ => "",
        };
        let Some((_, value)) = words.iter().find(|(word, _)| *word == text) else {
            let words: Vec<_> = words.iter().map(|(word, _)| *word).collect();
            self.add_finding_at(property, &format!("expected one of {}", words.join(", ")));
            return default;
        };
        *value
    }

    /// Returns an object; [`None`] if it is missing.
    pub(super) fn object(&self, name: &str) -> Option<SettingsObject<'r, 'a>> {
        let property = self.property(name)?;
        let Value::Object(object) = &property.value else {
            self.add_finding_at(property, "expected an object");
            return None;
        };
        Some(SettingsObject {
            findings: self.findings,
            object: Some(object),
            path: self.child(name),
            at_byte: object.range().start,
        })
    }

    /// Returns an object; an empty one if it is missing.
    pub(super) fn object_or_empty(&self, name: &str) -> SettingsObject<'r, 'a> {
        self.object(name).unwrap_or_else(|| SettingsObject {
            findings: self.findings,
            object: None,
            path: self.child(name),
            at_byte: self.at_byte,
        })
    }

    /// Returns the names of the fields.
    pub(super) fn names(&self) -> Vec<String> {
        let properties = self.object.iter().flat_map(|object| &object.properties);
        properties
            .map(|property| property.name.as_str().to_owned())
            .collect()
    }

    fn property(&self, name: &str) -> Option<&'r ObjectProp<'a>> {
        let properties = &self.object?.properties;
        properties
            .iter()
            .find(|property| property.name.as_str() == name)
    }

    fn add_finding_at(&self, property: &ObjectProp<'_>, message: &str) {
        let path = self.child(property.name.as_str());
        self.findings
            .add(&path, property.value.range().start, message);
    }

    fn child(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }
}
