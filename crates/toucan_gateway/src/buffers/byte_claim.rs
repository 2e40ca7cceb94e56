//! Claim on a part of the byte budget.

use toucan_types::OrganisationName;

use super::{BufferKind, ByteBudget, LimitReached};

/// Bytes that one owner holds; released on drop.
#[derive(Debug)]
pub struct ByteClaim {
    budget: ByteBudget,
    kind: BufferKind,
    organisation: OrganisationName,
    bytes: u64,
}

impl ByteClaim {
    pub(super) const fn new(
        budget: ByteBudget,
        kind: BufferKind,
        organisation: OrganisationName,
    ) -> Self {
        Self {
            budget,
            kind,
            organisation,
            bytes: 0,
        }
    }

    /// Returns the bytes of the claim.
    #[must_use]
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Sets the number of bytes that the owner holds.
    ///
    /// # Errors
    ///
    /// [`LimitReached`] if the claim cannot grow to it. The claim is unchanged then.
    pub fn set(&mut self, bytes: u64) -> Result<(), LimitReached> {
        if bytes > self.bytes {
            let mut accounts = self.budget.accounts();
            accounts.add(self.kind, &self.organisation, bytes - self.bytes)?;
        } else if bytes < self.bytes {
            let released = self.bytes - bytes;
            self.budget.release(self.kind, &self.organisation, released);
        }
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for ByteClaim {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.budget
                .release(self.kind, &self.organisation, self.bytes);
        }
    }
}
