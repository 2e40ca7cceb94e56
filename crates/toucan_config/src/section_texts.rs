//! The three texts of the document and their versions.

use std::sync::Arc;

use toucan_types::DocumentVersion;

use crate::Section;

/// Text of a section before its first edit.
const EMPTY_SECTION: &str = "{}\n";

/// The text of each section; cheap to clone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SectionTexts([Arc<str>; 3]);

impl Default for SectionTexts {
    fn default() -> Self {
        Self([
            EMPTY_SECTION.into(),
            EMPTY_SECTION.into(),
            EMPTY_SECTION.into(),
        ])
    }
}

impl SectionTexts {
    /// Returns the text of one section.
    #[must_use]
    pub fn get(&self, section: Section) -> &Arc<str> {
        &self.0[section.index()]
    }

    /// Replaces the text of one section.
    #[must_use]
    pub fn with(mut self, section: Section, text: impl Into<Arc<str>>) -> Self {
        self.0[section.index()] = text.into();
        self
    }
}

/// Version of each section.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Versions {
    /// Version of the finance section.
    pub finance: DocumentVersion,
    /// Version of the models section.
    pub models: DocumentVersion,
    /// Version of the operations section.
    pub operations: DocumentVersion,
}

impl Versions {
    /// Returns the version of one section.
    #[must_use]
    pub const fn get(self, section: Section) -> DocumentVersion {
        match section {
            Section::Finance => self.finance,
            Section::Models => self.models,
            Section::Operations => self.operations,
        }
    }

    pub(crate) fn increment(&mut self, section: Section) -> DocumentVersion {
        let version = match section {
            Section::Finance => &mut self.finance,
            Section::Models => &mut self.models,
            Section::Operations => &mut self.operations,
        };
        *version = version.next();
        *version
    }
}

impl std::fmt::Display for Versions {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "finance {}, models {}, operations {}",
            self.finance, self.models, self.operations
        )
    }
}
