//! Ends of targets that better verdicts explain.
//!
//! A target that ends holds many calls, so fingerprints that end no target are near at ends too.

use super::{Fingerprint, PoisonTable, suspicion::Suspicion};

impl PoisonTable {
    /// Removes and returns the condemned fingerprints that other verdicts have made needless: they were in
    /// other calls that their targets held when another fingerprint ended them.
    pub fn lift_explained(&mut self) -> Vec<Fingerprint> {
        let condemned = self.by_fingerprint.iter();
        let condemned = condemned.filter(|(_fingerprint, suspicion)| suspicion.is_condemned());
        let explained: Vec<Fingerprint> = condemned
            .filter(|(fingerprint, suspicion)| self.is_explained(**fingerprint, suspicion))
            .map(|(fingerprint, _suspicion)| *fingerprint)
            .collect();
        for fingerprint in &explained {
            self.by_fingerprint.remove(fingerprint);
        }
        explained
    }

    /// Forgets the parts that are restricted and not condemned, and whose ends verdicts on calls explain.
    pub(super) fn forget_explained(&mut self) {
        let restricted = self.by_fingerprint.iter().filter(|(key, suspicion)| {
            !key.is_call() && suspicion.is_restricted() && !suspicion.is_condemned()
        });
        let explained: Vec<Fingerprint> = restricted
            .filter(|(_key, suspicion)| self.is_explained_by_calls(suspicion))
            .map(|(key, _suspicion)| *key)
            .collect();
        for fingerprint in &explained {
            self.by_fingerprint.remove(fingerprint);
        }
    }

    /// Returns whether better verdicts on others explain each end of a target that held a call with the
    /// fingerprint. For a part, a verdict is better if it rests on more ends, or on a whole call.
    ///
    /// A whole call is explained only by others with more ends: a part that is near at its ends is in many
    /// calls, and may have more ends while not all gateways have told the last one.
    pub(super) fn is_explained(&self, fingerprint: Fingerprint, suspicion: &Suspicion) -> bool {
        let has_more_ends = |other: &Suspicion| {
            let mut ends = other.ended_instances();
            ends.any(|instance| !suspicion.was_near(instance))
        };
        let is_better = |key: &Fingerprint, other: &Suspicion| match fingerprint {
            Fingerprint::Part(_) => key.is_call() || has_more_ends(other),
            Fingerprint::Call(_) => key.is_call() && has_more_ends(other),
        };
        suspicion.is_covered_by(
            self.condemned_beside(suspicion)
                .filter(|(key, other)| is_better(key, other))
                .map(|(_key, other)| other),
        )
    }

    /// Returns whether verdicts on whole calls explain each end of a target that held a call with a part.
    ///
    /// Many calls have a part, and few come again just when another target ends.
    fn is_explained_by_calls(&self, suspicion: &Suspicion) -> bool {
        suspicion.is_covered_by(
            self.condemned_beside(suspicion)
                .filter(|(key, _other)| key.is_call())
                .map(|(_key, other)| other),
        )
    }

    /// Returns the condemned fingerprints that were not in all suspect calls with another one.
    fn condemned_beside<'a>(
        &'a self,
        suspicion: &'a Suspicion,
    ) -> impl Iterator<Item = (&'a Fingerprint, &'a Suspicion)> {
        self.by_fingerprint
            .iter()
            .filter(|(_key, other)| other.is_condemned())
            .filter(|(key, _other)| !suspicion.companions().contains(key))
    }
}
