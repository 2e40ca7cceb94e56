//! Types that describe the document's fields, and constructors for the schema.

/// Kind of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldKind {
    /// Whole number within a range, in a unit such as `tokens` or `ms`.
    Number {
        /// Unit; empty for a plain count.
        unit: &'static str,
        /// Minimum value.
        min: u64,
        /// Maximum value.
        max: u64,
    },
    /// `true` or `false`.
    Flag,
    /// Any text.
    Text,
    /// Name of an entry of another table, such as `finance.organisations`.
    Name(&'static str),
    /// List of names of entries of another table.
    Names(&'static str),
    /// One object; its path in [`SCHEMA`](crate::SCHEMA).
    Object(&'static str),
    /// Objects by name; the path of one entry in [`SCHEMA`](crate::SCHEMA).
    Table(&'static str),
    /// Objects in a list; the path of one entry in [`SCHEMA`](crate::SCHEMA).
    List(&'static str),
}

/// One field of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FieldSpec {
    /// Name of the field.
    pub name: &'static str,
    /// Kind of its value.
    pub kind: FieldKind,
    /// Default value as JSON, or its description in brackets; [`None`] if the field is required.
    pub default: Option<&'static str>,
    /// Description of the field.
    pub doc: &'static str,
}

/// One object of the document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObjectSpec {
    /// Path, where `*` stands for a name and `[]` for an index.
    pub path: &'static str,
    /// Its fields in the order of the reference page.
    pub fields: &'static [FieldSpec],
}

impl ObjectSpec {
    pub(crate) fn field(&self, name: &str) -> Option<&'static FieldSpec> {
        self.fields.iter().find(|field| field.name == name)
    }
}

impl FieldSpec {
    pub(crate) const fn new(name: &'static str, kind: FieldKind, doc: &'static str) -> Self {
        Self {
            name,
            kind,
            default: None,
            doc,
        }
    }

    pub(crate) const fn with_default(mut self, default: &'static str) -> Self {
        self.default = Some(default);
        self
    }
}

pub(crate) const MAX_MS: u64 = 30 * 24 * 3_600_000;
pub(crate) const MAX_TOKENS: u64 = 1 << 60;
pub(crate) const MAX_BYTES: u64 = 1 << 50;

pub(crate) const fn number(
    name: &'static str,
    unit: &'static str,
    min: u64,
    max: u64,
    doc: &'static str,
) -> FieldSpec {
    FieldSpec::new(name, FieldKind::Number { unit, min, max }, doc)
}

pub(crate) const fn text(name: &'static str, doc: &'static str) -> FieldSpec {
    FieldSpec::new(name, FieldKind::Text, doc)
}

pub(crate) const fn flag(name: &'static str, doc: &'static str) -> FieldSpec {
    FieldSpec::new(name, FieldKind::Flag, doc)
}

pub(crate) const fn name_of(
    name: &'static str,
    table: &'static str,
    doc: &'static str,
) -> FieldSpec {
    FieldSpec::new(name, FieldKind::Name(table), doc)
}

pub(crate) const fn names_of(
    name: &'static str,
    table: &'static str,
    doc: &'static str,
) -> FieldSpec {
    FieldSpec::new(name, FieldKind::Names(table), doc)
}

pub(crate) const fn object(name: &'static str, path: &'static str, doc: &'static str) -> FieldSpec {
    FieldSpec::new(name, FieldKind::Object(path), doc).with_default("{}")
}

pub(crate) const fn table(name: &'static str, path: &'static str, doc: &'static str) -> FieldSpec {
    FieldSpec::new(name, FieldKind::Table(path), doc).with_default("{}")
}

pub(crate) const fn list(name: &'static str, path: &'static str, doc: &'static str) -> FieldSpec {
    FieldSpec::new(name, FieldKind::List(path), doc).with_default("[]")
}
