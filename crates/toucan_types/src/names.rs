//! Names chosen by operators, callers and the platform.

use crate::macros::name_type;

name_type!(
    /// Name of an adapter that an engine may load with a model.
    AdapterName
);
name_type!(
    /// Name of a prepaid budget, unique in the configuration document.
    BudgetName
);
name_type!(
    /// Name of a model that organisations may use.
    ModelName
);
name_type!(
    /// Name of an organisation, which owns budgets and API keys.
    OrganisationName
);
name_type!(
    /// Name of a region, in which data centres lie.
    RegionName
);
name_type!(
    /// Identifier of one request, set by the caller or else by the first router; retries repeat
    /// it.
    RequestId
);
name_type!(
    /// Name of a service: a pool of targets that serve models or a plain service.
    ServiceName
);
name_type!(
    /// Version of the software that a target runs.
    SoftwareVersion
);
name_type!(
    /// Name of a stream of the platform's append-only log.
    StreamName
);
name_type!(
    /// Name of a target.
    TargetName
);
name_type!(
    /// Name of the team that owns a section of the configuration document.
    TeamName
);
name_type!(
    /// Name of a version of a model.
    VersionName
);
name_type!(
    /// The platform's identifier of one VM instance; a replacement VM gets a new one.
    VmInstance
);
name_type!(
    /// Name of a VM; a replacement VM may reuse the name of the VM it replaces.
    VmName
);
