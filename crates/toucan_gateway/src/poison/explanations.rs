//! Ends of targets that better verdicts explain.
//!
//! A target that ends holds many calls, so fingerprints that end no target are near at ends too.

use super::{Fingerprint, PoisonTable, suspicion::Suspicion};

impl PoisonTable {
    /// Removes and returns the condemned fingerprints that other verdicts have made needless: they were in
    /// other calls that their targets held when another fingerprint ended them.
    pub fn lift_explained(&mut self) -> Vec<Fingerprint> {
        let own = self.by_fingerprint.iter();
        let own = own.filter(|(_fingerprint, suspicion)| suspicion.is_condemned_by_own_evidence());
        let explained: Vec<Fingerprint> = own
            .map(|(fingerprint, _suspicion)| *fingerprint)
            .filter(|fingerprint| self.is_explained(*fingerprint))
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
    /// fingerprint. A verdict is better if it rests on more ends, or on a whole call.
    pub(super) fn is_explained(&self, fingerprint: Fingerprint) -> bool {
        let Some(suspicion) = self.by_fingerprint.get(&fingerprint) else {
            return false;
        };
        let has_more_ends = |other: &Suspicion| {
            let mut ends = other.ended_instances();
            ends.any(|instance| !suspicion.was_near(instance))
        };
        let is_part = !fingerprint.is_call();
        suspicion.is_covered_by(
            self.condemned_beside(suspicion)
                .filter(|(key, other)| is_part && key.is_call() || has_more_ends(other))
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
