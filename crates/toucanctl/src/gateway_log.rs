//! The logs of gateways: one JSON object a line.

use std::collections::BTreeMap;

use chrono::{DateTime, Utc};
use serde::{Deserialize, Serialize};

/// Lines of one or more gateways, in the order of their times.
#[derive(Debug, Default)]
pub(crate) struct GatewayLog {
    events: Vec<LogEvent>,
    unreadable: usize,
}

/// One line.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct LogEvent {
    time: DateTime<Utc>,
    level: String,
    /// Subject of the line.
    target: String,
    message: String,
    /// What the line was decided from; a gateway writes all values as texts.
    #[serde(default)]
    attributes: BTreeMap<String, String>,
}

impl GatewayLog {
    /// Adds the lines of a file; lines that are no events are counted.
    pub(crate) fn read(&mut self, text: &str) {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match serde_json::from_str(line) {
                Ok(event) => self.events.push(event),
                Err(_no_event) => self.unreadable += 1,
            }
        }
        self.events.sort_by_key(|event| event.time);
    }

    /// All events.
    pub(crate) fn events(&self) -> &[LogEvent] {
        &self.events
    }

    /// Lines that are no events.
    pub(crate) const fn unreadable(&self) -> usize {
        self.unreadable
    }

    /// Events of one request.
    pub(crate) fn of_request(&self, request: &str) -> Vec<&LogEvent> {
        let events = self.events.iter();
        events.filter(|event| event.is_of(request)).collect()
    }
}

impl LogEvent {
    /// Time in milliseconds since 1970.
    pub(crate) const fn at_ms(&self) -> i64 {
        self.time.timestamp_millis()
    }

    /// Subject of the line.
    pub(crate) fn subject(&self) -> &str {
        &self.target
    }

    /// What happened.
    pub(crate) fn message(&self) -> &str {
        &self.message
    }

    /// An attribute that is given and not empty.
    pub(crate) fn attribute(&self, name: &str) -> Option<&str> {
        let value = self.attributes.get(name)?;
        (!value.is_empty()).then_some(value)
    }

    /// Whether the line is of a request.
    pub(crate) fn is_of(&self, request: &str) -> bool {
        self.attribute("id") == Some(request)
    }

    /// Whether the line says that its request was sent to a target.
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
