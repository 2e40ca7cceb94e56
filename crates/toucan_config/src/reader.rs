//! Parser of one section by its schema; collects all findings.

use std::cell::RefCell;

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use toucan_types::{Finding, Severity};

use crate::Section;
use crate::edit_path::push_name;
use crate::field_spec::{FieldKind, FieldSpec, ObjectSpec};
use crate::models::EVERY_ORGANISATION;
use crate::placed_finding::PlacedFinding;
use crate::references::{NameKind, Reference, SectionNames};

/// Maximum length of a name in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Strict JSON, except that comments and trailing commas are allowed.
pub(crate) const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Reads the text of one section; collects its findings, names and references.
pub(crate) struct SectionReader<'a> {
    section: Section,
    text: &'a str,
    findings: RefCell<Vec<PlacedFinding>>,
    names: RefCell<SectionNames>,
}

impl<'a> SectionReader<'a> {
    pub(crate) fn new(section: Section, text: &'a str) -> Self {
        Self {
            section,
            text,
            findings: RefCell::default(),
            names: RefCell::default(),
        }
    }

    /// Parses the text and passes its root object to `read`.
    ///
    /// If the text does not parse, adds an error and passes an empty object.
    pub(crate) fn read<T>(
        &self,
        spec: &'static ObjectSpec,
        read: impl FnOnce(&ObjectReader<'_, 'a>) -> T,
    ) -> T {
        let value = match parse_to_ast(self.text, &CollectOptions::default(), &PARSE_OPTIONS) {
            Ok(parsed) => parsed.value,
            Err(error) => {
                let message = error.kind().to_string();
                self.error(self.section.name(), error.range().start, &message, "");
                return read(&ObjectReader::empty(
                    self,
                    spec,
                    self.section.name().to_owned(),
                    0,
                ));
            }
        };
        let path = self.section.name().to_owned();
        match &value {
            Some(Value::Object(object)) => read(&ObjectReader::new(self, spec, path, object)),
            Some(_) | None => {
                self.error(
                    &path,
                    0,
                    "expected an object",
                    "write `{}` for an empty section",
                );
                read(&ObjectReader::empty(self, spec, path, 0))
            }
        }
    }

    /// Records that the section defines a name.
    pub(crate) fn define(&self, kind: NameKind, name: &str) {
        self.names
            .borrow_mut()
            .defined
            .insert((kind, name.to_owned()));
    }

    /// Records that the key of a table entry is a name defined elsewhere.
    pub(crate) fn add_entry_reference(
        &self,
        entry: &ObjectReader<'_, '_>,
        name: &str,
        kind: NameKind,
    ) {
        self.add_reference(Reference {
            kind,
            name: name.to_owned(),
            path: entry.path.clone(),
            at_byte: entry.at_byte,
        });
    }

    /// Records a reference unless the section has already defined the name.
    fn add_reference(&self, reference: Reference) {
        let mut names = self.names.borrow_mut();
        let key = (reference.kind, reference.name.clone());
        if !names.defined.contains(&key) {
            names.used.push(reference);
        }
    }

    /// Returns the findings, and the names defined and used.
    pub(crate) fn finish(self) -> (Vec<PlacedFinding>, SectionNames) {
        (self.findings.into_inner(), self.names.into_inner())
    }

    fn error(&self, path: &str, at_byte: usize, message: &str, hint: &str) {
        self.push(Severity::Error, path, at_byte, message, hint);
    }

    fn push(&self, severity: Severity, path: &str, at_byte: usize, message: &str, hint: &str) {
        let finding = Finding::new(severity, path, message).with_hint(hint);
        self.findings
            .borrow_mut()
            .push(PlacedFinding { finding, at_byte });
    }

    fn check_name(&self, path: &str, at_byte: usize, name: &str) {
        let is_plain = |character: char| !character.is_whitespace() && !character.is_control();
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_plain) {
            let message = "a name has 1 to 128 bytes without blanks";
            self.error(path, at_byte, message, "");
        }
        if name == EVERY_ORGANISATION {
            self.error(
                path,
                at_byte,
                "`*` stands for every name and names nothing",
                "",
            );
        }
    }
}

/// Reads the fields of one object.
pub(crate) struct ObjectReader<'r, 'a> {
    reader: &'r SectionReader<'a>,
    object: Option<&'r Object<'a>>,
    spec: &'static ObjectSpec,
    path: String,
    at_byte: usize,
}

impl<'r, 'a> ObjectReader<'r, 'a> {
    fn new(
        reader: &'r SectionReader<'a>,
        spec: &'static ObjectSpec,
        path: String,
        object: &'r Object<'a>,
    ) -> Self {
        let at_byte = object.range().start;
        let this = Self {
            reader,
            object: Some(object),
            spec,
            path,
            at_byte,
        };
        this.check_fields(object);
        this
    }

    fn empty(
        reader: &'r SectionReader<'a>,
        spec: &'static ObjectSpec,
        path: String,
        at_byte: usize,
    ) -> Self {
        Self {
            reader,
            object: None,
            spec,
            path,
            at_byte,
        }
    }

    /// Adds an error at a field, or at the object if the field is missing.
    pub(crate) fn error(&self, name: &str, message: &str, hint: &str) {
        let at_byte = self
            .property(name)
            .map_or(self.at_byte, |property| property.value.range().start);
        self.reader.error(&self.child(name), at_byte, message, hint);
    }

    /// Reads a whole number within the schema's range.
    pub(crate) fn number<T: TryFrom<u64> + Default>(&self, name: &'static str) -> T {
        if let Some(number) = self.optional_number(name) {
            return number;
        }
        let spec = self.spec_of(name);
        let default = spec.default.and_then(|text| text.parse().ok());
        if default.is_none() && self.property(name).is_none() {
            self.missing(spec);
        }
        default
            .and_then(|number: u64| T::try_from(number).ok())
            .unwrap_or_default()
    }

    /// Reads a whole number within the schema's range, if the field is present.
    pub(crate) fn optional_number<T: TryFrom<u64>>(&self, name: &'static str) -> Option<T> {
        let property = self.property(name)?;
        let FieldKind::Number { unit, min, max } = self.spec_of(name).kind else {
            return None;
        };
        let number = match &property.value {
            Value::NumberLit(literal) => literal.value.parse::<u64>().ok(),
            _ => None,
        };
        let in_range = number.filter(|number| (min..=max).contains(number));
        let converted = in_range.and_then(|number| T::try_from(number).ok());
        if converted.is_none() {
            let message = format!("expected a whole number from {min} to {max} {unit}");
            self.error(name, message.trim_end(), "");
        }
        converted
    }

    /// Reads a boolean.
    pub(crate) fn flag(&self, name: &'static str) -> bool {
        let spec = self.spec_of(name);
        match self.property(name).map(|property| &property.value) {
            Some(Value::BooleanLit(literal)) => literal.value,
            Some(_) => {
                self.error(name, "expected true or false", "");
                false
            }
            None => spec.default == Some("true"),
        }
    }

    /// Reads any string.
    pub(crate) fn text(&self, name: &'static str) -> String {
        let spec = self.spec_of(name);
        match self.property(name).map(|property| &property.value) {
            Some(Value::StringLit(literal)) => literal.value.to_string(),
            Some(_) => {
                self.error(name, "expected a text in double quotes", "");
                String::new()
            }
            None => {
                if spec.default.is_none() {
                    self.missing(spec);
                }
                spec.default
                    .unwrap_or_default()
                    .trim_matches('"')
                    .to_owned()
            }
        }
    }

    /// Reads a string and checks that it is a valid name.
    pub(crate) fn name(&self, name: &'static str) -> String {
        let text = self.text(name);
        if let Some(property) = self.property(name)
            && matches!(property.value, Value::StringLit(_))
        {
            let at_byte = property.value.range().start;
            self.reader.check_name(&self.child(name), at_byte, &text);
        }
        text
    }

    /// Reads one of the given words; returns the first if the field is missing or wrong.
    pub(crate) fn choice(&self, name: &'static str, words: &[&'static str]) -> &'static str {
        let text = self.text(name);
        if let Some(word) = words.iter().find(|word| **word == text) {
            return word;
        }
        if self.property(name).is_some() {
            let message = format!("expected one of {}", words.join(", "));
            self.error(name, &message, "");
        }
        words[0]
    }

    /// Reads the name of an entry of another table.
    pub(crate) fn reference(&self, name: &'static str, kind: NameKind) -> String {
        let spec = self.spec_of(name);
        if self.property(name).is_none() && spec.default.is_none() {
            self.missing(spec);
        }
        self.optional_reference(name, kind).unwrap_or_default()
    }

    /// Reads the name of an entry of another table, if the field is present.
    pub(crate) fn optional_reference(&self, name: &'static str, kind: NameKind) -> Option<String> {
        let property = self.property(name)?;
        self.reference_of(&property.value, self.child(name), kind)
    }

    /// Reads a list of names of entries of another table.
    pub(crate) fn references(&self, name: &'static str, kind: NameKind) -> Vec<String> {
        if let Some(names) = self.optional_references(name, kind) {
            return names;
        }
        if self.spec_of(name).default == Some("[\"*\"]") {
            return vec![EVERY_ORGANISATION.to_owned()];
        }
        Vec::new()
    }

    /// Reads a list of names of entries of another table, if the field is present.
    pub(crate) fn optional_references(
        &self,
        name: &'static str,
        kind: NameKind,
    ) -> Option<Vec<String>> {
        let property = self.property(name)?;
        let Value::Array(array) = &property.value else {
            self.error(name, "expected a list of names", "");
            return None;
        };
        let path = self.child(name);
        let names = array
            .elements
            .iter()
            .enumerate()
            .filter_map(|(at, value)| self.reference_of(value, format!("{path}[{at}]"), kind))
            .collect();
        Some(names)
    }

    /// Reads an object; a missing one is read as empty.
    pub(crate) fn object<T>(
        &self,
        name: &'static str,
        spec: &'static ObjectSpec,
        read: impl FnOnce(&ObjectReader<'_, 'a>) -> T,
    ) -> T {
        let path = self.child(name);
        match self.property(name).map(|property| &property.value) {
            Some(Value::Object(object)) => {
                read(&ObjectReader::new(self.reader, spec, path, object))
            }
            Some(_) => {
                self.error(name, "expected an object", "");
                read(&ObjectReader::empty(self.reader, spec, path, self.at_byte))
            }
            None => read(&ObjectReader::empty(self.reader, spec, path, self.at_byte)),
        }
    }

    /// Reads a table of objects by name.
    pub(crate) fn table(
        &self,
        name: &'static str,
        spec: &'static ObjectSpec,
        mut read: impl FnMut(&str, &ObjectReader<'_, 'a>),
    ) {
        let Some(property) = self.property(name) else {
            return;
        };
        let Value::Object(table) = &property.value else {
            self.error(name, "expected an object with one entry for each name", "");
            return;
        };
        let path = self.child(name);
        let mut seen = toucan_types::FastHashSet::default();
        for entry in &table.properties {
            let entry_name = entry.name.as_str();
            let mut entry_path = path.clone();
            push_name(&mut entry_path, entry_name);
            let at_byte = entry.range.start;
            self.reader.check_name(&entry_path, at_byte, entry_name);
            if !seen.insert(entry_name.to_owned()) {
                self.reader
                    .error(&entry_path, at_byte, "the name is given twice", "");
                continue;
            }
            let Value::Object(object) = &entry.value else {
                self.reader
                    .error(&entry_path, at_byte, "expected an object", "");
                continue;
            };
            let mut reader = ObjectReader::new(self.reader, spec, entry_path, object);
            reader.at_byte = at_byte;
            read(entry_name, &reader);
        }
    }

    /// Reads a list of objects.
    pub(crate) fn list(
        &self,
        name: &'static str,
        spec: &'static ObjectSpec,
        mut read: impl FnMut(&ObjectReader<'_, 'a>),
    ) {
        let Some(property) = self.property(name) else {
            return;
        };
        let Value::Array(array) = &property.value else {
            self.error(name, "expected a list of objects", "");
            return;
        };
        let path = self.child(name);
        for (at, value) in array.elements.iter().enumerate() {
            let entry_path = format!("{path}[{at}]");
            let Value::Object(object) = value else {
                let at_byte = value.range().start;
                self.reader
                    .error(&entry_path, at_byte, "expected an object", "");
                continue;
            };
            read(&ObjectReader::new(self.reader, spec, entry_path, object));
        }
    }

    fn reference_of(&self, value: &Value<'a>, path: String, kind: NameKind) -> Option<String> {
        let at_byte = value.range().start;
        let Value::StringLit(literal) = value else {
            self.reader
                .error(&path, at_byte, "expected a name in double quotes", "");
            return None;
        };
        let name = literal.value.to_string();
        if name == EVERY_ORGANISATION && kind == NameKind::Organisation && path.ends_with(']') {
            return Some(name);
        }
        self.reader.add_reference(Reference {
            kind,
            name: name.clone(),
            path,
            at_byte,
        });
        Some(name)
    }

    fn property(&self, name: &str) -> Option<&'r ObjectProp<'a>> {
        self.object?.get(name)
    }

    fn child(&self, name: &str) -> String {
        let mut path = self.path.clone();
        push_name(&mut path, name);
        path
    }

    fn missing(&self, spec: &FieldSpec) {
        self.error(spec.name, "the field is missing", spec.doc);
    }

    fn spec_of(&self, name: &'static str) -> &'static FieldSpec {
        self.spec
            .field(name)
            .expect("the reader asks only for fields of the schema")
    }

    /// Reports unknown and duplicate fields.
    ///
    /// An unknown field is only a warning, so that an older process accepts the document of a newer
    /// one.
    fn check_fields(&self, object: &Object<'a>) {
        let mut seen: Vec<&str> = Vec::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let at_byte = property.range.start;
            if self.spec.field(name).is_none() {
                let known: Vec<_> = self.spec.fields.iter().map(|field| field.name).collect();
                let hint = format!("known here: {}", known.join(", "));
                let path = self.child(name);
                self.reader.push(
                    Severity::Warning,
                    &path,
                    at_byte,
                    "unknown field, ignored",
                    &hint,
                );
            }
            if seen.contains(&name) {
                let path = self.child(name);
                self.reader
                    .error(&path, at_byte, "the field is given twice", "");
            }
            seen.push(name);
        }
    }
}
