//! Identity of a peer.

use std::net::SocketAddr;

use rustls_pki_types::ServerName;
use toucan_types::{DataCentreName, VmName};

/// Last label of the names in certificates.
const NAME_SUFFIX: &str = "toucan";

/// VM and data centre of a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PeerIdentity {
    /// Name of the VM.
    pub vm: VmName,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
}

/// no certificate can name the VM {vm} of the data centre {data_centre}
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub struct PeerNameError {
    /// Name of the VM.
    pub vm: VmName,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
}

impl std::error::Error for PeerNameError {}

impl PeerIdentity {
    /// Creates the identity of a VM in a data centre.
    pub fn new(vm: impl Into<VmName>, data_centre: impl Into<DataCentreName>) -> Self {
        Self {
            vm: vm.into(),
            data_centre: data_centre.into(),
        }
    }

    /// Returns the name in the VM's certificate, `vm.data-centre.toucan`.
    ///
    /// ```
    /// use toucan_wire::PeerIdentity;
    ///
    /// let peer = PeerIdentity::new("vm-1", "qc-east-a");
    /// assert_eq!(peer.certificate_name(), "vm-1.qc-east-a.toucan");
    /// ```
    #[must_use]
    pub fn certificate_name(&self) -> String {
        format!("{}.{}.{NAME_SUFFIX}", self.vm, self.data_centre)
    }

    /// Returns the name that TLS verifies.
    ///
    /// # Errors
    ///
    /// [`PeerNameError`] if the VM or data centre name is not a single DNS label.
    pub fn server_name(&self) -> Result<ServerName<'static>, PeerNameError> {
        let is_label = |name: &str| !name.is_empty() && !name.contains('.');
        let name = ServerName::try_from(self.certificate_name());
        match name {
            Ok(name) if is_label(self.vm.as_str()) && is_label(self.data_centre.as_str()) => {
                Ok(name)
            }
            _ => Err(PeerNameError {
                vm: self.vm.clone(),
                data_centre: self.data_centre.clone(),
            }),
        }
    }
}

/// Expected identity and address of a peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerTarget {
    /// Expected identity.
    pub identity: PeerIdentity,
    /// Address of its peer port.
    pub address: SocketAddr,
}
