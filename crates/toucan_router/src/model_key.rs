//! Model, version and adapter in the engines' notation.

use toucan_types::{AdapterName, ModelName, VersionName};

/// Model that a target must have loaded to serve a request.
///
/// Written as `model`, `model@version` or `model@version+adapter`.
///
/// ```
/// use toucan_router::ModelKey;
///
/// let key = ModelKey::parse("drafting@7+french");
/// assert_eq!(key.adapter, Some("french".into()));
/// assert_eq!(key.to_string(), "drafting@7+french");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelKey {
    /// Model.
    pub model: ModelName,
    /// Version, if one is named.
    pub version: Option<VersionName>,
    /// Adapter, if one is named.
    pub adapter: Option<AdapterName>,
}

impl ModelKey {
    /// Parses a name as reported by an engine.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let (rest, adapter) = match text.split_once('+') {
            Some((rest, adapter)) => (rest, Some(AdapterName::from(adapter))),
            None => (text, None),
        };
        let (model, version) = match rest.split_once('@') {
            Some((model, version)) => (model, Some(VersionName::from(version))),
            None => (rest, None),
        };
        Self {
            model: ModelName::from(model),
            version,
            adapter,
        }
    }
}

impl std::fmt::Display for ModelKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.model)?;
        if let Some(version) = &self.version {
            write!(f, "@{version}")?;
        }
        if let Some(adapter) = &self.adapter {
            write!(f, "+{adapter}")?;
        }
        Ok(())
    }
}
