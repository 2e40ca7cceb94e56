//! Files with the keys for the links between nodes.

use std::path::PathBuf;

use toucan_wire::TlsSettings;

/// Files with the keys for the links between nodes, in PEM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// Certificate of this VM, followed by the intermediate certificates.
    pub certificate_chain: PathBuf,
    /// Private key of this VM.
    pub private_key: PathBuf,
    /// Certificates of the authorities.
    pub authorities: PathBuf,
}

impl TlsFiles {
    /// Reads the files.
    ///
    /// # Errors
    ///
    /// The error of the first file that cannot be read.
    pub fn read(&self) -> std::io::Result<TlsSettings> {
        Ok(TlsSettings {
            certificate_chain_pem: std::fs::read_to_string(&self.certificate_chain)?,
            private_key_pem: std::fs::read_to_string(&self.private_key)?,
            authorities_pem: std::fs::read_to_string(&self.authorities)?,
        })
    }
}
