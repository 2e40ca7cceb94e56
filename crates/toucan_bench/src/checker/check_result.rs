//! Result of checking one history.

use std::fmt::{Display, Formatter, Result};

use super::{Breach, Figures};

/// Figures and breaches of one history.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckResult {
    /// Figures of the run.
    pub figures: Figures,
    /// Breaches of promises; empty if every promise was kept.
    pub breaches: Vec<Breach>,
}

impl CheckResult {
    /// Returns whether every promise was kept.
    #[must_use]
    pub fn is_ok(&self) -> bool {
        self.breaches.is_empty()
    }

    /// Returns the breach with the shortest excerpt for each broken promise.
    #[must_use]
    pub fn shortest(&self) -> Vec<&Breach> {
        let mut shortest: Vec<&Breach> = Vec::new();
        let mut breaches: Vec<&Breach> = self.breaches.iter().collect();
        breaches.sort_by_key(|breach| {
            let length: usize = breach.excerpt.iter().map(String::len).sum();
            (breach.promise, length)
        });
        for breach in breaches {
            if shortest
                .last()
                .is_none_or(|last| last.promise != breach.promise)
            {
                shortest.push(breach);
            }
        }
        shortest
    }
}

impl Display for CheckResult {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        if self.is_ok() {
            return formatter.write_str("every promise was kept");
        }
        for breach in self.shortest() {
            writeln!(formatter, "broken promise: {:?}", breach.promise)?;
            for line in &breach.excerpt {
                writeln!(formatter, "    {line}")?;
            }
        }
        Ok(())
    }
}
