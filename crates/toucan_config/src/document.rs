//! The parsed and validated document.

use std::sync::Arc;

use toucan_types::{
    BudgetName, FastHashMap, Finding, ModelName, OrganisationName, ServiceName, Severity,
    TargetName,
};

use crate::finance::read_finance;
use crate::models::read_models;
use crate::operations::read_operations;
use crate::placed_finding::{PlacedFinding, resolve_positions};
use crate::reader::{ObjectReader, SectionReader};
use crate::references::{SectionNames, dangling_references};
use crate::{
    Budget, CallerKey, Finance, Limits, Model, Models, ObjectSpec, Operations, Organisation,
    Section, SectionTexts, Service, ServiceKind, StaticTarget, TeamKey, Versions, schema,
};

/// A document without errors; immutable, so that it can be shared.
///
/// [`Document::default`] is the empty document with all versions 0.
#[derive(Clone, Debug, Default)]
pub struct Document {
    versions: Versions,
    texts: SectionTexts,
    finance: Arc<ReadSection<Finance>>,
    models: Arc<ReadSection<Models>>,
    operations: Arc<ReadSection<Operations>>,
    services_by_model: FastHashMap<ModelName, ServiceName>,
}

/// A parsed section with the findings of its checks.
#[derive(Clone, Debug, Default)]
struct ReadSection<T> {
    content: T,
    checks: SectionFindings,
}

/// Findings and names of one section, before references to other sections are resolved.
#[derive(Clone, Debug, Default)]
struct SectionFindings {
    findings: Vec<PlacedFinding>,
    names: SectionNames,
}

/// A document without errors and the warnings on it.
#[derive(Clone, Debug)]
pub struct CheckedDocument {
    /// The document.
    pub document: Arc<Document>,
    /// Findings that do not make the document invalid.
    pub warnings: Vec<Finding>,
}

impl Document {
    /// Parses and checks the three texts.
    ///
    /// The document's versions are 0; [`ReplayedDocument`](crate::ReplayedDocument) sets them.
    ///
    /// # Errors
    ///
    /// All findings, warnings included, if any of them is an error.
    pub fn parse(texts: &SectionTexts) -> Result<CheckedDocument, Vec<Finding>> {
        Self::default().parse_next(texts, Versions::default())
    }

    /// Returns all findings in the texts, errors and warnings.
    #[must_use]
    pub fn findings(texts: &SectionTexts) -> Vec<Finding> {
        match Self::parse(texts) {
            Ok(checked) => checked.warnings,
            Err(findings) => findings,
        }
    }

    /// Parses and checks the texts of the next document.
    ///
    /// Sections whose text is unchanged are shared with this document, not parsed again.
    pub(crate) fn parse_next(
        &self,
        texts: &SectionTexts,
        versions: Versions,
    ) -> Result<CheckedDocument, Vec<Finding>> {
        let is_same = |section| self.texts.get(section) == texts.get(section);
        let finance = if is_same(Section::Finance) {
            self.finance.clone()
        } else {
            read_section(Section::Finance, texts, &schema::FINANCE, read_finance)
        };
        let models = if is_same(Section::Models) {
            self.models.clone()
        } else {
            read_section(Section::Models, texts, &schema::MODELS, read_models)
        };
        let operations = if is_same(Section::Operations) {
            self.operations.clone()
        } else {
            read_section(
                Section::Operations,
                texts,
                &schema::OPERATIONS,
                read_operations,
            )
        };
        let mut findings =
            collect_findings(texts, [&finance.checks, &models.checks, &operations.checks]);
        let services_by_model = services_by_model(&operations.content, &mut findings);
        if findings
            .iter()
            .any(|finding| finding.severity == Severity::Error)
        {
            return Err(findings);
        }
        let document = Self {
            versions,
            texts: texts.clone(),
            finance,
            models,
            operations,
            services_by_model,
        };
        Ok(CheckedDocument {
            document: Arc::new(document),
            warnings: findings,
        })
    }

    /// Returns the version of each section.
    #[must_use]
    pub const fn versions(&self) -> Versions {
        self.versions
    }

    /// Returns the original texts, comments included.
    #[must_use]
    pub const fn texts(&self) -> &SectionTexts {
        &self.texts
    }

    /// Returns the finance section.
    #[must_use]
    pub fn finance(&self) -> &Finance {
        &self.finance.content
    }

    /// Returns the models section.
    #[must_use]
    pub fn models(&self) -> &Models {
        &self.models.content
    }

    /// Returns the operations section.
    #[must_use]
    pub fn operations(&self) -> &Operations {
        &self.operations.content
    }

    /// Returns the organisation with this name.
    #[must_use]
    pub fn organisation(&self, name: &str) -> Option<&Organisation> {
        self.finance.content.organisations.get(name)
    }

    /// Returns the budget with this name.
    #[must_use]
    pub fn budget(&self, name: &str) -> Option<&Budget> {
        self.finance.content.budgets.get(name)
    }

    /// Iterates over the budgets in the order of the text.
    pub fn budgets(&self) -> impl ExactSizeIterator<Item = (&BudgetName, &Budget)> {
        self.finance.content.budgets.iter()
    }

    /// Returns the caller's key with this id, even if it has expired.
    #[must_use]
    pub fn caller_by_key_id(&self, key_id: &str) -> Option<&CallerKey> {
        self.finance.content.caller_keys.get(key_id)
    }

    /// Returns the operator's key with this id, even if it has expired.
    #[must_use]
    pub fn team_key_by_id(&self, key_id: &str) -> Option<&TeamKey> {
        self.operations.content.team_keys.get(key_id)
    }

    /// Returns the model with this name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.content.models.get(name)
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.operations.content.services.get(name)
    }

    /// Returns the service whose targets serve a model.
    #[must_use]
    pub fn service_for_model(&self, model: &str) -> Option<(&ServiceName, &Service)> {
        let name = self.services_by_model.get(model)?;
        Some((name, self.operations.content.services.get(name.as_str())?))
    }

    /// Returns the target with this name.
    #[must_use]
    pub fn target(&self, name: &str) -> Option<&StaticTarget> {
        self.operations.content.targets.get(name)
    }

    /// Iterates over the targets in the order of the text.
    pub fn targets(&self) -> impl ExactSizeIterator<Item = (&TargetName, &StaticTarget)> {
        self.operations.content.targets.iter()
    }

    /// Returns the limits of an organisation, or the default limits if it has none of its own.
    #[must_use]
    pub fn limits(&self, organisation: &OrganisationName) -> Limits {
        self.operations
            .content
            .limits
            .get(organisation.as_str())
            .copied()
            .unwrap_or(self.operations.content.default_limits)
    }
}

fn read_section<T>(
    section: Section,
    texts: &SectionTexts,
    spec: &'static ObjectSpec,
    read: impl FnOnce(&SectionReader<'_>, &ObjectReader<'_, '_>) -> T,
) -> Arc<ReadSection<T>> {
    let reader = SectionReader::new(section, texts.get(section));
    let content = reader.read(spec, |root| read(&reader, root));
    let (findings, names) = reader.finish();
    let checks = SectionFindings { findings, names };
    Arc::new(ReadSection { content, checks })
}

/// Collects the findings of all sections, including unresolved references, with their positions.
fn collect_findings(texts: &SectionTexts, checks: [&SectionFindings; 3]) -> Vec<Finding> {
    let names = checks.map(|section| &section.names);
    let mut findings = Vec::new();
    for (section, checks) in Section::ALL.into_iter().zip(checks) {
        let mut placed = checks.findings.clone();
        placed.extend(dangling_references(&checks.names, &names));
        findings.extend(resolve_positions(texts.get(section), placed));
    }
    findings
}

/// Builds the index from models to services; a model in two services is an error.
fn services_by_model(
    operations: &Operations,
    findings: &mut Vec<Finding>,
) -> FastHashMap<ModelName, ServiceName> {
    let mut index = FastHashMap::default();
    for (name, service) in operations.services.iter() {
        let ServiceKind::Models { models } = &service.kind else {
            continue;
        };
        for model in models {
            let Some(other) = index.insert(model.clone(), name.clone()) else {
                continue;
            };
            let path = format!("operations.services.{name}.models");
            let message = format!("`{model}` is also served by `{other}`");
            let finding = Finding::new(Severity::Error, path, message)
                .with_hint("let one service serve the model");
            findings.push(finding);
        }
    }
    index
}
