//! The models section.

use toucan_types::{AdapterName, ModelName, OrganisationName, VersionName};

use crate::reader::{ObjectReader, SectionReader};
use crate::references::NameKind;
use crate::{Table, schema};

/// The models section: models, versions, adapters and who may use them.
#[derive(Clone, Debug, Default)]
pub struct Models {
    /// Models by name.
    pub models: Table<ModelName, Model>,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// Version that serves requests by default.
    pub serving_version: VersionName,
    /// Known versions in the order of the text.
    pub versions: Vec<ModelVersion>,
    /// Adapters in the order of the text.
    pub adapters: Vec<Adapter>,
    /// Who may use the model.
    pub organisations: AllowedOrganisations,
    /// Maximum number of tokens in one answer; also the limit of requests that do not set one.
    pub max_output_tokens: u64,
    /// Size of one block of the engines' prefix cache, in tokens.
    pub prefix_block_tokens: u64,
}

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelVersion {
    /// Name of the version.
    pub name: VersionName,
    /// Size of its weights in bytes, for the rate limit of the weight store.
    pub weight_bytes: u64,
    /// Who may request this version by name.
    pub organisations: AllowedOrganisations,
}

/// An adapter that an engine may load in addition to a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Adapter {
    /// Name of the adapter.
    pub name: AdapterName,
    /// Size of its weights in bytes.
    pub weight_bytes: u64,
    /// Who may use the adapter.
    pub organisations: AllowedOrganisations,
}

/// Who may use something.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AllowedOrganisations {
    /// Every organisation, written `["*"]`.
    All,
    /// Only these.
    Only(Vec<OrganisationName>),
}

impl AllowedOrganisations {
    /// Returns whether the organisation is allowed.
    #[must_use]
    pub fn allows(&self, organisation: &OrganisationName) -> bool {
        match self {
            Self::All => true,
            Self::Only(names) => names.contains(organisation),
        }
    }
}

impl Model {
    /// Returns the version with this name.
    #[must_use]
    pub fn version(&self, name: &str) -> Option<&ModelVersion> {
        self.versions
            .iter()
            .find(|version| version.name.as_str() == name)
    }

    /// Returns the adapter with this name.
    #[must_use]
    pub fn adapter(&self, name: &str) -> Option<&Adapter> {
        self.adapters
            .iter()
            .find(|adapter| adapter.name.as_str() == name)
    }
}

pub(crate) fn read_models(reader: &SectionReader<'_>, root: &ObjectReader<'_, '_>) -> Models {
    let mut models = Models::default();
    root.table("models", &schema::MODEL, |name, object| {
        reader.define(NameKind::Model, name);
        models.models.insert(name.into(), read_model(object));
    });
    models
}

fn read_model(object: &ObjectReader<'_, '_>) -> Model {
    let organisations = allowed(object.references("organisations", NameKind::Organisation));
    let mut versions = Vec::new();
    object.table("versions", &schema::VERSION, |name, version| {
        versions.push(ModelVersion {
            name: name.into(),
            weight_bytes: version.number("weight_bytes"),
            organisations: version
                .optional_references("organisations", NameKind::Organisation)
                .map_or_else(|| organisations.clone(), allowed),
        });
    });
    let mut adapters = Vec::new();
    object.table("adapters", &schema::ADAPTER, |name, adapter| {
        adapters.push(Adapter {
            name: name.into(),
            weight_bytes: adapter.number("weight_bytes"),
            organisations: allowed(adapter.references("organisations", NameKind::Organisation)),
        });
    });
    let model = Model {
        serving_version: object.name("serving_version").into(),
        versions,
        adapters,
        organisations,
        max_output_tokens: object.number("max_output_tokens"),
        prefix_block_tokens: object.number("prefix_block_tokens"),
    };
    if model.version(model.serving_version.as_str()).is_none() {
        object.error(
            "serving_version",
            &format!("`{}` is not among the versions", model.serving_version),
            "add it to `versions` or serve another one",
        );
    }
    model
}

/// Entry of a list of organisations that means all of them.
pub(crate) const EVERY_ORGANISATION: &str = "*";

fn allowed(names: Vec<String>) -> AllowedOrganisations {
    if names.iter().any(|name| name == EVERY_ORGANISATION) {
        return AllowedOrganisations::All;
    }
    AllowedOrganisations::Only(names.into_iter().map(OrganisationName::from).collect())
}
