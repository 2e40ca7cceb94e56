//! Errors with which the gateway responds to calls itself.

use std::time::Duration;

use displaydoc::Display;
use http::StatusCode;

/// Reason why the gateway responds to a call itself.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// no configuration has been read yet
    NotConfigured,
    /// other gateways have a newer configuration, by which the call may be allowed
    ConfigurationOutdated,
    /// no route has this host and path
    NoRoute,
    /// the call carries no key that an organisation holds
    UnknownKey,
    /// the call has no id
    NoId,
    /// the body is larger than allowed
    BodyTooLarge,
    /// the body could not be read
    BodyUnreadable,
    /// the organisation's budget does not cover the call
    BudgetSpent,
    /// the tokens for the call could not be had while the store is away
    BudgetNotReachable,
    /// the rest of the budget is in use at other VMs or lost with former ones
    BudgetInUse,
    /// no target can take the call
    NoTarget,
    /// the software version that began the stream is not known here
    StreamOriginUnknown,
    /// no target runs the software version that began the stream
    NoTargetOfVersion,
    /// all targets that could take the call throttle this VM
    TargetsThrottling {
        /// Time until the first of them takes calls again, in milliseconds.
        return_ms: u64,
    },
    /// all targets that could take the call have reached the limits that they name
    TargetsLimited {
        /// Time until there may be a permit for one of them, in milliseconds.
        return_ms: u64,
    },
    /// such calls end the targets that begin to answer them
    PoisonCall {
        /// Time until such a call is tried again, in milliseconds.
        return_ms: u64,
    },
    /// it is being found out whether such calls end targets
    OnTrial,
    /// the engines are behind, and the call would be late
    Overloaded {
        /// Time until the backlog is expected to be gone, in milliseconds.
        return_ms: u64,
    },
    /// the target refused the call without running it
    TargetFull,
    /// the time for the call ended before it was sent
    TooLate,
    /// the process stops
    Stopping,
    /// the process stops before the target has answered, which may have run the call
    StoppedBeforeAnswer,
    /// the target failed and may have run the call
    TargetFailed,
    /// the target did not answer in time and may have run the call
    TargetSilent,
    /// the data centres of all targets that could take the call are evacuated
    DataCentresEvacuated,
    /// all targets that could take the call are outside the regions that it may reach
    NoTargetInRegions,
    /// this VM cannot connect to targets, because its own link is overloaded or it has no socket left
    CannotConnect,
    /// the memory for calls is in use
    BuffersFull {
        /// Time until enough of it is expected to be free, in milliseconds.
        return_ms: u64,
    },
    /// this VM has no room for another call
    GatewayBusy {
        /// Time until there may be room, in milliseconds.
        return_ms: u64,
    },
}

impl std::error::Error for Refusal {}

impl Refusal {
    /// Returns the HTTP status of the response.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoId | Self::BodyUnreadable => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
            Self::NotConfigured
            | Self::ConfigurationOutdated
            | Self::BudgetNotReachable
            | Self::BudgetInUse
            | Self::NoTarget
            | Self::StreamOriginUnknown
            | Self::NoTargetOfVersion
            | Self::TargetsThrottling { .. }
            | Self::TargetsLimited { .. }
            | Self::TargetFull
            | Self::Overloaded { .. }
            | Self::PoisonCall { .. }
            | Self::OnTrial
            | Self::TooLate
            | Self::Stopping
            | Self::DataCentresEvacuated
            | Self::NoTargetInRegions
            | Self::CannotConnect
            | Self::BuffersFull { .. }
            | Self::GatewayBusy { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::TargetFailed | Self::StoppedBeforeAnswer => StatusCode::BAD_GATEWAY,
            Self::TargetSilent => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns whether it is certain that the call has not run and never will.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        !matches!(
            self,
            Self::TargetFailed | Self::TargetSilent | Self::StoppedBeforeAnswer
        )
    }

    /// Returns the time after which a retry may succeed; [`None`] if retrying does not help.
    #[must_use]
    pub const fn retry_after(self) -> Option<Duration> {
        let ms = match self {
            // The load balancer stops using this VM at once, so another VM gets the next attempt.
            Self::Stopping => 50,
            // The response closes the connection, so another VM probably gets the next attempt.
            Self::CannotConnect | Self::ConfigurationOutdated => 100,
            Self::TargetFull | Self::NoTarget => 250,
            Self::Overloaded { return_ms }
            | Self::TargetsThrottling { return_ms }
            | Self::TargetsLimited { return_ms }
            | Self::PoisonCall { return_ms }
            | Self::BuffersFull { return_ms }
            | Self::GatewayBusy { return_ms } => return_ms,
            // The gateways that know may be reachable again, or the next attempt may reach one.
            Self::NotConfigured | Self::StreamOriginUnknown => 500,
            Self::BudgetNotReachable | Self::OnTrial => 1_000,
            // It is not known when the operators withdraw the order, or when a target in the regions
            // registers. Gateways read either within this time.
            Self::DataCentresEvacuated | Self::NoTargetInRegions => 1_000,
            // Tokens become available only when other calls cost less than they reserved, or after
            // a top-up.
            Self::BudgetInUse => 5_000,
            _ => return None,
        };
        Some(Duration::from_millis(ms))
    }

    /// Returns whether the response closes the connection, so that the next attempt of the caller probably
    /// reaches another VM.
    #[must_use]
    pub const fn closes_connection(self) -> bool {
        matches!(
            self,
            Self::Stopping
                | Self::StoppedBeforeAnswer
                | Self::CannotConnect
                | Self::ConfigurationOutdated
                | Self::GatewayBusy { .. }
        )
    }

    /// Returns whether a retry before [`Self::retry_after`] has passed is certain to fail.
    #[must_use]
    pub const fn is_retry_after_exact(self) -> bool {
        matches!(
            self,
            Self::TargetsThrottling { .. } | Self::PoisonCall { .. }
        )
    }

    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotConfigured => "not_configured",
            Self::ConfigurationOutdated => "configuration_outdated",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::NoId => "no_id",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyUnreadable => "body_unreadable",
            Self::BudgetSpent => "budget_spent",
            Self::BudgetNotReachable => "budget_not_reachable",
            Self::BudgetInUse => "budget_in_use",
            Self::NoTarget => "no_target",
            Self::StreamOriginUnknown => "stream_origin_unknown",
            Self::NoTargetOfVersion => "no_target_of_version",
            Self::TargetsThrottling { .. } => "targets_throttling",
            Self::TargetsLimited { .. } => "targets_limited",
            Self::Overloaded { .. } => "overloaded",
            Self::PoisonCall { .. } => "poison_call",
            Self::OnTrial => "on_trial",
            Self::TargetFull => "target_full",
            Self::TooLate => "too_late",
            Self::Stopping => "stopping",
            Self::StoppedBeforeAnswer => "stopped_before_answer",
            Self::TargetFailed => "target_failed",
            Self::TargetSilent => "target_silent",
            Self::DataCentresEvacuated => "data_centres_evacuated",
            Self::NoTargetInRegions => "no_target_in_regions",
            Self::CannotConnect => "cannot_connect",
            Self::BuffersFull { .. } => "buffers_full",
            Self::GatewayBusy { .. } => "gateway_busy",
        }
    }
}
