//! Paths of values in the document.

use displaydoc::Display;

use crate::Section;

/// Maximum number of segments of a path.
const MAX_SEGMENTS: usize = 32;

/// Path of a value in the document, such as `finance.budgets.guild.top_ups[0].tokens`.
///
/// A name with characters other than ASCII letters, digits, `-` and `_` is written in brackets and
/// quotes: `finance.budgets["guild.2026"]`.
///
/// ```
/// use toucan_config::{EditPath, Section};
///
/// let path = EditPath::parse("operations.targets[\"10.0.0.1\"].drained")?;
/// assert_eq!(path.section(), Section::Operations);
/// assert_eq!(path.to_string(), "operations.targets[\"10.0.0.1\"].drained");
/// # Ok::<(), toucan_config::EditPathError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EditPath {
    section: Section,
    segments: Vec<PathSegment>,
}

/// One segment of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PathSegment {
    Name(String),
    Index(usize),
}

/// Error when parsing a path.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum EditPathError {
    /// the path does not start with finance, models or operations
    Section,
    /// the path names a whole section; give a section's text instead
    WholeSection,
    /// the path is malformed at character {0}
    Form(usize),
    /// the path has more than 32 steps
    TooDeep,
}

impl std::error::Error for EditPathError {}

impl EditPath {
    /// Parses a path.
    pub fn parse(text: &str) -> Result<Self, EditPathError> {
        let first_end = text.find(['.', '[']).unwrap_or(text.len());
        let section = Section::from_name(&text[..first_end]).ok_or(EditPathError::Section)?;
        let mut rest = &text[first_end..];
        let mut segments = Vec::new();
        while !rest.is_empty() {
            let at = text.len() - rest.len();
            let (segment, after) = next_segment(rest).ok_or(EditPathError::Form(at))?;
            segments.push(segment);
            rest = after;
            if segments.len() > MAX_SEGMENTS {
                return Err(EditPathError::TooDeep);
            }
        }
        if segments.is_empty() {
            return Err(EditPathError::WholeSection);
        }
        Ok(Self { section, segments })
    }

    /// Returns the path of an entry of a section's table, such as `finance.budgets.guild`.
    #[must_use]
    pub fn of_entry(section: Section, table: &str, name: &str) -> Self {
        let segments = vec![
            PathSegment::Name(table.to_owned()),
            PathSegment::Name(name.to_owned()),
        ];
        Self { section, segments }
    }

    /// Returns the path of a field of the value at this path.
    #[must_use]
    pub fn field(mut self, name: &str) -> Self {
        self.segments.push(PathSegment::Name(name.to_owned()));
        self
    }

    /// Returns the section that the value belongs to.
    #[must_use]
    pub const fn section(&self) -> Section {
        self.section
    }

    pub(crate) fn segments(&self) -> &[PathSegment] {
        &self.segments
    }
}

impl std::fmt::Display for EditPath {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut path = self.section.name().to_owned();
        for segment in &self.segments {
            match segment {
                PathSegment::Name(name) => push_name(&mut path, name),
                PathSegment::Index(index) => path.push_str(&format!("[{index}]")),
            }
        }
        f.write_str(&path)
    }
}

/// Appends a name to a path, quoted if necessary.
pub(crate) fn push_name(path: &mut String, name: &str) {
    if !name.is_empty() && name.chars().all(is_plain) {
        path.push('.');
        path.push_str(name);
    } else {
        path.push('[');
        path.push_str(&serde_json::Value::from(name).to_string());
        path.push(']');
    }
}

fn is_plain(character: char) -> bool {
    character.is_ascii_alphanumeric() || character == '-' || character == '_'
}

fn next_segment(text: &str) -> Option<(PathSegment, &str)> {
    if let Some(rest) = text.strip_prefix('.') {
        let end = rest.find(['.', '[']).unwrap_or(rest.len());
        let name = &rest[..end];
        if name.is_empty() || !name.chars().all(is_plain) {
            return None;
        }
        return Some((PathSegment::Name(name.to_owned()), &rest[end..]));
    }
    let rest = text.strip_prefix('[')?;
    if rest.starts_with('"') {
        let end = quoted_end(rest)?;
        let name = serde_json::from_str(&rest[..end]).ok()?;
        return Some((PathSegment::Name(name), rest[end..].strip_prefix(']')?));
    }
    let end = rest.find(']')?;
    let index = rest[..end].parse().ok()?;
    Some((PathSegment::Index(index), &rest[end + 1..]))
}

/// Returns the length of the quoted string at the start, quotes included.
fn quoted_end(text: &str) -> Option<usize> {
    let mut is_escaped = false;
    for (at, character) in text.char_indices().skip(1) {
        match character {
            _ if is_escaped => is_escaped = false,
            '\\' => is_escaped = true,
            '"' => return Some(at + 1),
            _ => {}
        }
    }
    None
}
