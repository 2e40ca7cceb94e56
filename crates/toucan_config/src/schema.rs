//! Schema of the document, shared by the reader, the reference page and its test.

use crate::field_spec::{
    FieldSpec, MAX_BYTES, MAX_MS, MAX_TOKENS, ObjectSpec, flag, list, name_of, names_of, number,
    object, table, text,
};

const ORGANISATIONS: &str = "finance.organisations";
const SALT: FieldSpec = text("salt", "Salt of the hash: 32 hexadecimal digits.");
const HASH: FieldSpec = text(
    "hash",
    "Salted hash of the secret: 64 hexadecimal digits, made by `toucanctl key new`.",
);
const NOT_AFTER: FieldSpec = number(
    "not_after_ms",
    "ms since 1970",
    0,
    u64::MAX,
    "Time from which the key is refused. Two keys may overlap, so that a rotation has no gap.",
)
.with_default("(no end)");

/// All objects of the document.
pub const SCHEMA: &[ObjectSpec] = &[
    FINANCE,
    ORGANISATION,
    BUDGET,
    TOP_UP,
    CALLER_KEY,
    MODELS,
    MODEL,
    VERSION,
    ADAPTER,
    OPERATIONS,
    DATA_CENTRE,
    SERVICE,
    NON_IDEMPOTENT,
    TARGET,
    ORDER,
    CLASS,
    ORGANISATION_ORDER,
    LIMITS,
    LEDGER,
    WEIGHT_STORE,
    TEAM_KEY,
];

pub(crate) const FINANCE: ObjectSpec = ObjectSpec {
    path: "finance",
    fields: &[
        table(
            "organisations",
            "finance.organisations.*",
            "Customers by name.",
        ),
        table("budgets", "finance.budgets.*", "Prepaid budgets by name."),
        table(
            "caller_keys",
            "finance.caller_keys.*",
            "Callers' keys by key id.",
        ),
    ],
};

pub(crate) const ORGANISATION: ObjectSpec = ObjectSpec {
    path: "finance.organisations.*",
    fields: &[
        text("title", "Name for people.").with_default("\"\""),
        number(
            "bridge_ms",
            "ms",
            0,
            MAX_MS,
            "Partition or outage that grants should bridge. Longer means fewer false refusals and \
             more tokens stranded on the far side of a partition.",
        )
        .with_default("600000"),
    ],
};

pub(crate) const BUDGET: ObjectSpec = ObjectSpec {
    path: "finance.budgets.*",
    fields: &[
        name_of("organisation", ORGANISATIONS, "Organisation that paid."),
        number(
            "purchased_tokens",
            "tokens",
            0,
            MAX_TOKENS,
            "Tokens bought at first, top-ups not counted.",
        ),
        list(
            "top_ups",
            "finance.budgets.*.top_ups[]",
            "Additions to the budget.",
        ),
        number(
            "bridge_ms",
            "ms",
            0,
            MAX_MS,
            "As in the organisation, for this budget only.",
        )
        .with_default("(the organisation's)"),
    ],
};

pub(crate) const TOP_UP: ObjectSpec = ObjectSpec {
    path: "finance.budgets.*.top_ups[]",
    fields: &[
        text(
            "id",
            "Identifier, unique within the budget; a top-up with a known id is not applied again.",
        ),
        number("tokens", "tokens", 1, MAX_TOKENS, "Tokens added."),
    ],
};

pub(crate) const CALLER_KEY: ObjectSpec = ObjectSpec {
    path: "finance.caller_keys.*",
    fields: &[
        name_of(
            "organisation",
            ORGANISATIONS,
            "Organisation that the key speaks for.",
        ),
        name_of(
            "budget",
            "finance.budgets",
            "Budget that requests with the key are billed to.",
        ),
        SALT,
        HASH,
        NOT_AFTER,
    ],
};

pub(crate) const MODELS: ObjectSpec = ObjectSpec {
    path: "models",
    fields: &[table("models", "models.models.*", "Models by name.")],
};

pub(crate) const MODEL: ObjectSpec = ObjectSpec {
    path: "models.models.*",
    fields: &[
        name_of(
            "serving_version",
            "models.models.*.versions",
            "Version that requests are served with.",
        ),
        table(
            "versions",
            "models.models.*.versions.*",
            "Known versions by name.",
        ),
        table(
            "adapters",
            "models.models.*.adapters.*",
            "Adapters by name.",
        ),
        names_of(
            "organisations",
            ORGANISATIONS,
            "Organisations that may use the model; `[\"*\"]` for all.",
        )
        .with_default("[]"),
        number(
            "max_output_tokens",
            "tokens",
            1,
            1 << 32,
            "Most tokens that one answer may have; also the limit of a request that names none.",
        )
        .with_default("4096"),
        number(
            "prefix_block_tokens",
            "tokens",
            1,
            1 << 20,
            "Tokens of one block of the engines' prefix cache.",
        )
        .with_default("16"),
    ],
};

pub(crate) const VERSION: ObjectSpec = ObjectSpec {
    path: "models.models.*.versions.*",
    fields: &[
        number(
            "weight_bytes",
            "bytes",
            0,
            MAX_BYTES,
            "Size of the weights.",
        )
        .with_default("0"),
        names_of(
            "organisations",
            ORGANISATIONS,
            "Organisations that may ask for this version by name.",
        )
        .with_default("(the model's)"),
    ],
};

pub(crate) const ADAPTER: ObjectSpec = ObjectSpec {
    path: "models.models.*.adapters.*",
    fields: &[
        number(
            "weight_bytes",
            "bytes",
            0,
            MAX_BYTES,
            "Size of the weights.",
        )
        .with_default("0"),
        names_of(
            "organisations",
            ORGANISATIONS,
            "Organisations that may use the adapter; `[\"*\"]` for all.",
        )
        .with_default("[]"),
    ],
};

pub(crate) const OPERATIONS: ObjectSpec = ObjectSpec {
    path: "operations",
    fields: &[
        table(
            "data_centres",
            "operations.data_centres.*",
            "Data centres by name.",
        ),
        table("services", "operations.services.*", "Services by name."),
        table(
            "targets",
            "operations.targets.*",
            "Targets with fixed addresses by name.",
        ),
        object(
            "order",
            "operations.order",
            "Order of service when capacity is short.",
        ),
        object(
            "default_limits",
            "operations.limits.*",
            "Limits of an organisation that has none of its own; the fields of `limits`.",
        ),
        table(
            "limits",
            "operations.limits.*",
            "Limits at each router by organisation.",
        ),
        object("ledger", "operations.ledger", "Settings of the ledger."),
        object(
            "weight_store",
            "operations.weight_store",
            "Rates of the weight store.",
        ),
        table(
            "team_keys",
            "operations.team_keys.*",
            "Operators' keys by key id.",
        ),
    ],
};

pub(crate) const DATA_CENTRE: ObjectSpec = ObjectSpec {
    path: "operations.data_centres.*",
    fields: &[text("region", "Region.").with_default("\"\"")],
};

pub(crate) const SERVICE: ObjectSpec = ObjectSpec {
    path: "operations.services.*",
    fields: &[
        text(
            "kind",
            "`models` for model engines, `plain` for an HTTP service.",
        ),
        names_of(
            "models",
            "models.models",
            "Models that the engines may load; each model belongs to one service.",
        )
        .with_default("[]"),
        number(
            "cost_tokens",
            "tokens",
            0,
            MAX_TOKENS,
            "Tokens billed for one call of a plain service.",
        )
        .with_default("0"),
        list(
            "non_idempotent",
            "operations.services.*.non_idempotent[]",
            "Calls of a plain service that run at most once.",
        ),
        names_of(
            "organisations",
            ORGANISATIONS,
            "Organisations that may call a plain service; `[\"*\"]` for all.",
        )
        .with_default("[\"*\"]"),
        flag(
            "honours_fencing",
            "Whether the targets refuse an order or call with an old fencing number.",
        )
        .with_default("false"),
        number(
            "first_byte_timeout_ms",
            "ms",
            1,
            MAX_MS,
            "Longest wait for the first byte of an answer.",
        )
        .with_default("30000"),
        number(
            "idle_timeout_ms",
            "ms",
            1,
            MAX_MS,
            "Longest gap within an answer before the connection counts as silent.",
        )
        .with_default("5000"),
    ],
};

pub(crate) const NON_IDEMPOTENT: ObjectSpec = ObjectSpec {
    path: "operations.services.*.non_idempotent[]",
    fields: &[
        text("method", "HTTP method, or `*` for all.").with_default("\"*\""),
        text("path", "Path; a trailing `*` stands for any rest."),
    ],
};

pub(crate) const TARGET: ObjectSpec = ObjectSpec {
    path: "operations.targets.*",
    fields: &[
        name_of(
            "service",
            "operations.services",
            "Service that the target belongs to.",
        ),
        name_of(
            "data_centre",
            "operations.data_centres",
            "Data centre where it stands.",
        ),
        text("address", "IP number and port."),
        flag("drained", "Whether the target is to receive no new work.").with_default("false"),
    ],
};

pub(crate) const ORDER: ObjectSpec = ObjectSpec {
    path: "operations.order",
    fields: &[
        table(
            "classes",
            "operations.order.classes.*",
            "Classes of requests by name.",
        ),
        name_of(
            "default_class",
            "operations.order.classes",
            "Class of a request that names none.",
        )
        .with_default("(priority 0)"),
        table(
            "organisations",
            "operations.order.organisations.*",
            "Place of organisations in the order of service.",
        ),
        number(
            "ageing_ms",
            "ms",
            0,
            MAX_MS,
            "Waiting time that raises a request by one priority; 0 for never.",
        )
        .with_default("2000"),
    ],
};

pub(crate) const CLASS: ObjectSpec = ObjectSpec {
    path: "operations.order.classes.*",
    fields: &[number(
        "priority",
        "",
        0,
        1000,
        "Priority; larger goes first.",
    )],
};

pub(crate) const ORGANISATION_ORDER: ObjectSpec = ObjectSpec {
    path: "operations.order.organisations.*",
    fields: &[
        number(
            "weight",
            "",
            1,
            1000,
            "Share of the capacity against other organisations of the same priority.",
        )
        .with_default("1"),
        name_of(
            "default_class",
            "operations.order.classes",
            "Class of the organisation's requests that name none.",
        )
        .with_default("(the order's)"),
        names_of(
            "classes",
            "operations.order.classes",
            "Classes that the organisation may ask for.",
        )
        .with_default("(all)"),
    ],
};

pub(crate) const LIMITS: ObjectSpec = ObjectSpec {
    path: "operations.limits.*",
    fields: &[
        number(
            "requests_per_s",
            "requests/s",
            0,
            1_000_000,
            "Requests accepted per second by each router.",
        )
        .with_default("1000"),
        number(
            "concurrency",
            "",
            0,
            1_000_000,
            "Requests in progress at a time at each router.",
        )
        .with_default("256"),
        number(
            "queue_length",
            "",
            0,
            1_000_000,
            "Requests that wait at a time at each router.",
        )
        .with_default("256"),
    ],
};

pub(crate) const LEDGER: ObjectSpec = ObjectSpec {
    path: "operations.ledger",
    fields: &[
        number(
            "shards",
            "",
            1,
            1024,
            "Number of streams that budgets are distributed over. It cannot be changed while any \
             budget is funded.",
        )
        .with_default("4"),
        number(
            "append_rate_per_s",
            "appends/s",
            1,
            100_000,
            "Appends per second that the whole fleet may make to the log.",
        )
        .with_default("100"),
        number(
            "snapshot_interval_ms",
            "ms",
            1000,
            MAX_MS,
            "Time between two snapshots of a shard.",
        )
        .with_default("60000"),
        number(
            "bill_window_ms",
            "ms",
            60_000,
            MAX_MS,
            "Time for which a bill's id is remembered, by the log's clock.",
        )
        .with_default("3600000"),
    ],
};

pub(crate) const WEIGHT_STORE: ObjectSpec = ObjectSpec {
    path: "operations.weight_store",
    fields: &[number(
        "downloads_per_min",
        "downloads/min",
        1,
        1_000_000,
        "Downloads per minute in the whole fleet.",
    )
    .with_default("30")],
};

pub(crate) const TEAM_KEY: ObjectSpec = ObjectSpec {
    path: "operations.team_keys.*",
    fields: &[
        text("team", "`finance`, `models` or `operations`."),
        text("author", "Who signs off with the key."),
        SALT,
        HASH,
        NOT_AFTER,
    ],
};
