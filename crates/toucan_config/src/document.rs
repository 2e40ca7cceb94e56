//! The checked document.

use std::sync::Arc;

use toucan_types::{
    BudgetName, FastHashMap, Finding, ModelName, OrganisationName, ServiceName, Severity,
    TargetName,
};

use crate::finance::read_finance;
use crate::findings::{PlacedFinding, place};
use crate::models::read_models;
use crate::operations::read_operations;
use crate::reader::{ObjectReader, SectionReader};
use crate::references::{NameUse, dangling};
use crate::{
    Budget, CallerKey, Finance, Limits, Model, Models, ObjectSpec, Operations, Organisation,
    Section, SectionTexts, Service, ServiceKind, StaticTarget, TeamKey, Versions, schema,
};

/// The checked document, immutable and shared.
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

/// A section as read, with what its checks found.
#[derive(Clone, Debug, Default)]
struct ReadSection<T> {
    content: T,
    remarks: Remarks,
}

/// What the checks of one section found before other sections are looked at.
#[derive(Clone, Debug, Default)]
struct Remarks {
    findings: Vec<PlacedFinding>,
    names: NameUse,
}

/// A document that has no errors, with remarks on it.
#[derive(Clone, Debug)]
pub struct Checked {
    /// The document.
    pub document: Arc<Document>,
    /// Remarks that do not stand in its way.
    pub warnings: Vec<Finding>,
}

impl Document {
    /// Reads and checks the three texts; on any error returns every finding, warnings included.
    ///
    /// The document's versions are 0; [`DocumentFold`](crate::DocumentFold) sets them.
    pub fn parse(texts: &SectionTexts) -> Result<Checked, Vec<Finding>> {
        Self::default().successor(texts, Versions::default())
    }

    /// Everything that is found in the sections, errors or warnings.
    #[must_use]
    pub fn findings(texts: &SectionTexts) -> Vec<Finding> {
        match Self::parse(texts) {
            Ok(checked) => checked.warnings,
            Err(findings) => findings,
        }
    }

    /// Reads and checks the texts of the next document; sections that stay as they are in this one
    /// are not read again.
    pub(crate) fn successor(
        &self,
        texts: &SectionTexts,
        versions: Versions,
    ) -> Result<Checked, Vec<Finding>> {
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
        let mut findings = collect(
            texts,
            [&finance.remarks, &models.remarks, &operations.remarks],
        );
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
        Ok(Checked {
            document: Arc::new(document),
            warnings: findings,
        })
    }

    /// Version of each section.
    #[must_use]
    pub const fn versions(&self) -> Versions {
        self.versions
    }

    /// The texts as the teams wrote them, comments included.
    #[must_use]
    pub const fn texts(&self) -> &SectionTexts {
        &self.texts
    }

    /// The finance section.
    #[must_use]
    pub fn finance(&self) -> &Finance {
        &self.finance.content
    }

    /// The models section.
    #[must_use]
    pub fn models(&self) -> &Models {
        &self.models.content
    }

    /// The operations section.
    #[must_use]
    pub fn operations(&self) -> &Operations {
        &self.operations.content
    }

    /// The organisation of this name.
    #[must_use]
    pub fn organisation(&self, name: &str) -> Option<&Organisation> {
        self.finance.content.organisations.get(name)
    }

    /// The budget of this name.
    #[must_use]
    pub fn budget(&self, name: &str) -> Option<&Budget> {
        self.finance.content.budgets.get(name)
    }

    /// Budgets in the order of the text.
    pub fn budgets(&self) -> impl ExactSizeIterator<Item = (&BudgetName, &Budget)> {
        self.finance.content.budgets.iter()
    }

    /// The caller's key of this id, also if it has expired.
    #[must_use]
    pub fn caller_by_key_id(&self, key_id: &str) -> Option<&CallerKey> {
        self.finance.content.caller_keys.get(key_id)
    }

    /// The operator's key of this id, also if it has expired.
    #[must_use]
    pub fn team_key_by_id(&self, key_id: &str) -> Option<&TeamKey> {
        self.operations.content.team_keys.get(key_id)
    }

    /// The model of this name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.content.models.get(name)
    }

    /// The service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.operations.content.services.get(name)
    }

    /// The service whose targets serve a model.
    #[must_use]
    pub fn service_for_model(&self, model: &str) -> Option<(&ServiceName, &Service)> {
        let name = self.services_by_model.get(model)?;
        Some((name, self.operations.content.services.get(name.as_str())?))
    }

    /// The target of this name.
    #[must_use]
    pub fn target(&self, name: &str) -> Option<&StaticTarget> {
        self.operations.content.targets.get(name)
    }

    /// Targets in the order of the text.
    pub fn targets(&self) -> impl ExactSizeIterator<Item = (&TargetName, &StaticTarget)> {
        self.operations.content.targets.iter()
    }

    /// Limits of an organisation, the default ones if it has none of its own.
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
    let remarks = Remarks { findings, names };
    Arc::new(ReadSection { content, remarks })
}

/// Findings of all sections and on the references between them, with their places.
fn collect(texts: &SectionTexts, remarks: [&Remarks; 3]) -> Vec<Finding> {
    let names = remarks.map(|section| &section.names);
    let mut findings = Vec::new();
    for (section, remarks) in Section::ALL.into_iter().zip(remarks) {
        let mut placed = remarks.findings.clone();
        placed.extend(dangling(&remarks.names, &names));
        findings.extend(place(texts.get(section), placed));
    }
    findings
}

/// Index from models to services; a model in two services is an error.
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
