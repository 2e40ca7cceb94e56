//! Names that are defined in one part of the document and referenced in another.

use toucan_types::{FastHashSet, Finding, Severity};

use crate::placed_finding::PlacedFinding;

/// Table that a name belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum NameKind {
    /// Entry of `finance.organisations`.
    Organisation,
    /// Entry of `finance.budgets`.
    Budget,
    /// Entry of `models.models`.
    Model,
    /// Entry of `operations.data_centres`.
    DataCentre,
    /// Entry of `operations.services`.
    Service,
    /// Entry of `operations.order.classes`.
    Class,
}

impl NameKind {
    const fn table(self) -> &'static str {
        match self {
            Self::Organisation => "finance.organisations",
            Self::Budget => "finance.budgets",
            Self::Model => "models.models",
            Self::DataCentre => "operations.data_centres",
            Self::Service => "operations.services",
            Self::Class => "operations.order.classes",
        }
    }
}

/// Use of a name that is defined elsewhere.
#[derive(Clone, Debug)]
pub(crate) struct Reference {
    pub(crate) kind: NameKind,
    pub(crate) name: String,
    pub(crate) path: String,
    pub(crate) at_byte: usize,
}

/// Names that one section defines and uses.
#[derive(Clone, Debug, Default)]
pub(crate) struct SectionNames {
    pub(crate) defined: FastHashSet<(NameKind, String)>,
    pub(crate) used: Vec<Reference>,
}

/// Returns an error for each name in `used` that no section defines.
pub(crate) fn dangling_references(
    used: &SectionNames,
    all: &[&SectionNames],
) -> Vec<PlacedFinding> {
    let is_defined = |reference: &Reference| {
        let name = (reference.kind, reference.name.clone());
        all.iter().any(|section| section.defined.contains(&name))
    };
    used.used
        .iter()
        .filter(|reference| !is_defined(reference))
        .map(|reference| {
            let table = reference.kind.table();
            let message = format!("`{}` is not in {table}", reference.name);
            let finding = Finding::new(Severity::Error, reference.path.as_str(), message)
                .with_hint(format!("add it to {table} or remove it here"));
            PlacedFinding {
                finding,
                at_byte: reference.at_byte,
            }
        })
        .collect()
}
