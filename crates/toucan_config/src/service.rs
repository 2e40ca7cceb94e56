//! Services that requests are routed to.

use toucan_types::{ModelName, Tokens};

use crate::models::EVERY_ORGANISATION;
use crate::reader::ObjectReader;
use crate::references::NameKind;
use crate::{AllowedOrganisations, schema};

/// A service: a pool of targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Kind of its targets.
    pub kind: ServiceKind,
    /// Whether its targets reject orders and calls with an outdated fencing number.
    pub honours_fencing: bool,
    /// Timeout for the first byte of an answer, in milliseconds.
    pub first_byte_timeout_ms: u64,
    /// Maximum gap within an answer, in milliseconds; after a longer one the connection counts as
    /// silent.
    pub idle_timeout_ms: u64,
}

/// Kind of the targets of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// Model engines.
    Models {
        /// Models that the engines may load.
        models: Vec<ModelName>,
    },
    /// A plain HTTP service.
    Plain {
        /// Tokens billed for one call.
        cost_tokens: Tokens,
        /// Calls that must run at most once.
        non_idempotent: Vec<NonIdempotentCall>,
        /// Who may call it.
        organisations: AllowedOrganisations,
    },
}

/// Pattern of calls to a plain service that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NonIdempotentCall {
    /// HTTP method in upper case, or `*` for all.
    pub method: String,
    /// Path; a trailing `*` matches any suffix.
    pub path: String,
}

impl NonIdempotentCall {
    /// Returns whether a call matches the pattern; `path` has no query.
    #[must_use]
    pub fn covers(&self, method: &str, path: &str) -> bool {
        let method_fits = self.method == "*" || self.method.eq_ignore_ascii_case(method);
        let path_fits = self
            .path
            .strip_suffix('*')
            .map_or(self.path == path, |start| path.starts_with(start));
        method_fits && path_fits
    }
}

impl Service {
    /// Returns whether a call must run at most once; always `false` for model engines.
    #[must_use]
    pub fn is_non_idempotent(&self, method: &str, path: &str) -> bool {
        let ServiceKind::Plain { non_idempotent, .. } = &self.kind else {
            return false;
        };
        non_idempotent.iter().any(|call| call.covers(method, path))
    }

    /// Returns whether its targets are model engines.
    #[must_use]
    pub const fn serves_models(&self) -> bool {
        matches!(self.kind, ServiceKind::Models { .. })
    }
}

pub(crate) fn read_service(object: &ObjectReader<'_, '_>) -> Service {
    let kind = match object.choice("kind", &["models", "plain"]) {
        "plain" => read_plain(object),
        _ => ServiceKind::Models {
            models: object
                .references("models", NameKind::Model)
                .into_iter()
                .map(ModelName::from)
                .collect(),
        },
    };
    Service {
        kind,
        honours_fencing: object.flag("honours_fencing"),
        first_byte_timeout_ms: object.number("first_byte_timeout_ms"),
        idle_timeout_ms: object.number("idle_timeout_ms"),
    }
}

fn read_plain(object: &ObjectReader<'_, '_>) -> ServiceKind {
    let mut non_idempotent = Vec::new();
    object.list("non_idempotent", &schema::NON_IDEMPOTENT, |call| {
        let path = call.text("path");
        if !path.starts_with('/') {
            call.error("path", "expected a path that starts with `/`", "");
        }
        non_idempotent.push(NonIdempotentCall {
            method: call.text("method").to_ascii_uppercase(),
            path,
        });
    });
    let organisations = object.references("organisations", NameKind::Organisation);
    ServiceKind::Plain {
        cost_tokens: Tokens(object.number("cost_tokens")),
        non_idempotent,
        organisations: if organisations.iter().any(|name| name == EVERY_ORGANISATION) {
            AllowedOrganisations::All
        } else {
            AllowedOrganisations::Only(organisations.into_iter().map(Into::into).collect())
        },
    }
}
