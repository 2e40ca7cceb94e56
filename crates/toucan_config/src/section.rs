//! Sections of the document and the teams that own them.

use toucan_types::TeamName;

/// One section of the document.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Section {
    /// Organisations, budgets, top-ups and callers' keys.
    Finance,
    /// Models, versions, adapters and who may use them.
    Models,
    /// Data centres, services, targets, order of service, limits and operators' keys.
    Operations,
}

impl Section {
    /// All sections in the order of the document.
    pub const ALL: [Self; 3] = [Self::Finance, Self::Models, Self::Operations];

    /// Returns the name of the section, which is also the name of the team that owns it.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Finance => "finance",
            Self::Models => "models",
            Self::Operations => "operations",
        }
    }

    /// Returns the section with this name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|section| section.name() == name)
    }

    /// Returns the only team that may edit the section.
    #[must_use]
    pub fn team(self) -> TeamName {
        TeamName::from(self.name())
    }

    pub(crate) const fn index(self) -> usize {
        self as usize
    }
}

impl std::fmt::Display for Section {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.name())
    }
}
