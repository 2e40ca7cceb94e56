//! The operations section.

use std::net::SocketAddr;

use toucan_types::{DataCentreName, OrganisationName, RequestClass, ServiceName, TargetName};

use crate::finance::read_hashed_key;
use crate::reader::{ObjectReader, SectionReader};
use crate::references::NameKind;
use crate::service::read_service;
use crate::{Section, Service, Table, TeamKey, schema};

/// The operations section: services, targets, request scheduling and limits.
#[derive(Clone, Debug)]
pub struct Operations {
    /// Data centres.
    pub data_centres: Table<DataCentreName, DataCentre>,
    /// Services that requests are routed to.
    pub services: Table<ServiceName, Service>,
    /// Targets with fixed addresses.
    pub targets: Table<TargetName, StaticTarget>,
    /// Order of service.
    pub order: OrderOfService,
    /// Limits of an organisation that has none of its own.
    pub default_limits: Limits,
    /// Limits per organisation.
    pub limits: Table<OrganisationName, Limits>,
    /// Settings of the ledger.
    pub ledger: LedgerSettings,
    /// Rate limits of the weight store.
    pub weight_store: WeightStoreSettings,
    /// Operators' keys by key id.
    pub team_keys: Table<String, TeamKey>,
}

/// A data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DataCentre {
    /// Region; may be empty.
    pub region: String,
}

/// A target with a fixed address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StaticTarget {
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Data centre of the target.
    pub data_centre: DataCentreName,
    /// IP address and port.
    pub address: SocketAddr,
    /// Whether the target receives no new requests.
    pub is_drained: bool,
}

/// Order in which requests are served when capacity is short.
#[derive(Clone, Debug, Default)]
pub struct OrderOfService {
    /// Classes by name.
    pub classes: Table<RequestClass, ClassSettings>,
    /// Class of requests that do not name one; [`None`] means priority 0.
    pub default_class: Option<RequestClass>,
    /// Order per organisation.
    pub organisations: Table<OrganisationName, OrganisationOrder>,
    /// Waiting time that raises a request's priority by one, in milliseconds; 0 disables it.
    pub ageing_ms: u64,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassSettings {
    /// Priority; higher values are served first.
    pub priority: u32,
}

/// Scheduling settings of one organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrganisationOrder {
    /// Relative share of the capacity among organisations with the same priority.
    pub weight: u32,
    /// Class of the organisation's requests that do not name one.
    pub default_class: Option<RequestClass>,
    /// Classes that the organisation may request; [`None`] for all.
    pub classes: Option<Vec<RequestClass>>,
}

/// Limits of one organisation at one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum rate of accepted requests per second.
    pub requests_per_s: u32,
    /// Maximum number of requests in progress.
    pub concurrency: u32,
    /// Maximum number of queued requests.
    pub queue_length: u32,
}

/// Settings of the ledger, the same in the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerSettings {
    /// Number of shards (streams of the log) that budgets are distributed over.
    pub shards: u16,
    /// Maximum rate of appends to the log by the whole fleet, per second.
    pub append_rate_per_s: u32,
    /// Time between two snapshots of a shard, in milliseconds.
    pub snapshot_interval_ms: u64,
    /// Time for which bill ids are kept to detect duplicates, in milliseconds of the log's clock.
    pub bill_window_ms: u64,
}

/// Rate limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightStoreSettings {
    /// Maximum rate of downloads by the whole fleet, per minute.
    pub downloads_per_min: u32,
}

impl Default for Operations {
    fn default() -> Self {
        let reader = SectionReader::new(Section::Operations, "{}");
        reader.read(&schema::OPERATIONS, |root| read_operations(&reader, root))
    }
}

pub(crate) fn read_operations(
    reader: &SectionReader<'_>,
    root: &ObjectReader<'_, '_>,
) -> Operations {
    let mut data_centres = Table::default();
    root.table("data_centres", &schema::DATA_CENTRE, |name, object| {
        reader.define(NameKind::DataCentre, name);
        let region = object.text("region");
        data_centres.insert(name.into(), DataCentre { region });
    });
    let mut services = Table::default();
    root.table("services", &schema::SERVICE, |name, object| {
        reader.define(NameKind::Service, name);
        services.insert(name.into(), read_service(object));
    });
    let mut targets = Table::default();
    root.table("targets", &schema::TARGET, |name, object| {
        if let Some(target) = read_target(object) {
            targets.insert(name.into(), target);
        }
    });
    let mut limits = Table::default();
    root.table("limits", &schema::LIMITS, |name, object| {
        reader.add_entry_reference(object, name, NameKind::Organisation);
        limits.insert(name.into(), read_limits(object));
    });
    let mut team_keys = Table::default();
    root.table("team_keys", &schema::TEAM_KEY, |name, object| {
        if let Some(key) = read_team_key(object) {
            team_keys.insert(name.to_owned(), key);
        }
    });
    Operations {
        data_centres,
        services,
        targets,
        order: root.object("order", &schema::ORDER, |order| read_order(reader, order)),
        default_limits: root.object("default_limits", &schema::LIMITS, read_limits),
        limits,
        ledger: root.object("ledger", &schema::LEDGER, read_ledger),
        weight_store: root.object("weight_store", &schema::WEIGHT_STORE, |object| {
            WeightStoreSettings {
                downloads_per_min: object.number("downloads_per_min"),
            }
        }),
        team_keys,
    }
}

fn read_target(object: &ObjectReader<'_, '_>) -> Option<StaticTarget> {
    let service = ServiceName::from(object.reference("service", NameKind::Service));
    let data_centre = DataCentreName::from(object.reference("data_centre", NameKind::DataCentre));
    let is_drained = object.flag("drained");
    let text = object.text("address");
    let Ok(address) = text.parse() else {
        object.error(
            "address",
            &format!("`{text}` is not an IP number with a port"),
            "write it like 10.0.0.1:9000 or [fd00::1]:9000",
        );
        return None;
    };
    Some(StaticTarget {
        service,
        data_centre,
        address,
        is_drained,
    })
}

fn read_order(reader: &SectionReader<'_>, object: &ObjectReader<'_, '_>) -> OrderOfService {
    let mut order = OrderOfService {
        ageing_ms: object.number("ageing_ms"),
        ..OrderOfService::default()
    };
    object.table("classes", &schema::CLASS, |name, class| {
        reader.define(NameKind::Class, name);
        let priority = class.number("priority");
        order
            .classes
            .insert(name.into(), ClassSettings { priority });
    });
    order.default_class = object
        .optional_reference("default_class", NameKind::Class)
        .map(RequestClass::from);
    object.table(
        "organisations",
        &schema::ORGANISATION_ORDER,
        |name, entry| {
            reader.add_entry_reference(entry, name, NameKind::Organisation);
            let organisation_order = OrganisationOrder {
                weight: entry.number("weight"),
                default_class: entry
                    .optional_reference("default_class", NameKind::Class)
                    .map(RequestClass::from),
                classes: entry
                    .optional_references("classes", NameKind::Class)
                    .map(|names| names.into_iter().map(RequestClass::from).collect()),
            };
            order.organisations.insert(name.into(), organisation_order);
        },
    );
    order
}

fn read_limits(object: &ObjectReader<'_, '_>) -> Limits {
    Limits {
        requests_per_s: object.number("requests_per_s"),
        concurrency: object.number("concurrency"),
        queue_length: object.number("queue_length"),
    }
}

fn read_ledger(object: &ObjectReader<'_, '_>) -> LedgerSettings {
    LedgerSettings {
        shards: object.number("shards"),
        append_rate_per_s: object.number("append_rate_per_s"),
        snapshot_interval_ms: object.number("snapshot_interval_ms"),
        bill_window_ms: object.number("bill_window_ms"),
    }
}

fn read_team_key(object: &ObjectReader<'_, '_>) -> Option<TeamKey> {
    let team = object.choice("team", &["finance", "models", "operations"]);
    Some(TeamKey {
        team: team.into(),
        author: object.text("author"),
        key: read_hashed_key(object)?,
        not_after_ms: object.optional_number("not_after_ms"),
    })
}
