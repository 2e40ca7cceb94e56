//! Keys and certificates from the settings.

use std::fmt;

/// Keys and certificates in PEM format.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct TlsSettings {
    /// Certificate of this VM, followed by the intermediate certificates.
    pub certificate_chain_pem: String,
    /// Private key of this VM.
    pub private_key_pem: String,
    /// Certificates of the authorities that sign peer certificates; two while one replaces
    /// the other.
    pub authorities_pem: String,
}

impl fmt::Debug for TlsSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TlsSettings")
            .field("certificate_chain_pem", &self.certificate_chain_pem)
            .field("private_key_pem", &"…")
            .field("authorities_pem", &self.authorities_pem)
            .finish()
    }
}
