//! Gateway logs: one JSON object per line.

use std::collections::BTreeMap;

use chrono::{DateTime, Utc};
use serde::{Deserialize, Serialize};

/// Log lines of one or more gateways, sorted by time.
#[derive(Debug, Default)]
pub(crate) struct GatewayLog {
    events: Vec<LogEvent>,
    unreadable: usize,
}

/// One log line.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct LogEvent {
    time: DateTime<Utc>,
    level: String,
    /// Log target of the line.
    target: String,
    message: String,
    /// Structured attributes; a gateway writes all values as strings.
    #[serde(default)]
    attributes: BTreeMap<String, String>,
}

impl GatewayLog {
    /// Adds the lines of a file and counts the lines that are not events.
    pub(crate) fn read(&mut self, text: &str) {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match serde_json::from_str(line) {
                Ok(event) => self.events.push(event),
                Err(_no_event) => self.unreadable += 1,
            }
        }
        self.events.sort_by_key(|event| event.time);
    }

    /// Returns all events in order of time.
    pub(crate) fn events(&self) -> &[LogEvent] {
        &self.events
    }

    /// Returns the number of lines that are not events.
    pub(crate) const fn unreadable(&self) -> usize {
        self.unreadable
    }

    /// Returns the events of one request.
    pub(crate) fn for_request(&self, request: &str) -> Vec<&LogEvent> {
        let events = self.events.iter();
        events.filter(|event| event.belongs_to(request)).collect()
    }
}

impl LogEvent {
    /// Returns the time in milliseconds since 1970.
    pub(crate) const fn at_ms(&self) -> i64 {
        self.time.timestamp_millis()
    }

    /// Returns the log target of the line.
    pub(crate) fn log_target(&self) -> &str {
        &self.target
    }

    /// Returns the log message.
    pub(crate) fn message(&self) -> &str {
        &self.message
    }

    /// Returns an attribute if it is present and not empty.
    pub(crate) fn attribute(&self, name: &str) -> Option<&str> {
        let value = self.attributes.get(name)?;
        (!value.is_empty()).then_some(value)
    }

    /// Returns whether the line belongs to the request.
    pub(crate) fn belongs_to(&self, request: &str) -> bool {
        self.attribute("id") == Some(request)
    }

    /// Returns whether the line concerns the target or states that the request was sent to it.
    pub(crate) fn names_target(&self, target: &str) -> bool {
        let sent_to = self.attribute("sent_to").unwrap_or_default();
        self.attribute("name") == Some(target) || sent_to.split(',').any(|name| name == target)
    }
}

impl std::fmt::Display for LogEvent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let time = self.time.format("%H:%M:%S%.3f");
        write!(
            f,
            "{time} {:<5} {:<13} {}",
            self.level, self.target, self.message
        )?;
        let given = self
            .attributes
            .iter()
            .filter(|(_name, value)| !value.is_empty());
        for (name, value) in given {
            write!(f, " {name}={value}")?;
        }
        Ok(())
    }
}
