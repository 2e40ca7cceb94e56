//! Keys and certificates generated for tests.

#![allow(dead_code, reason = "each test uses a part of this module")]
#![allow(
    clippy::unwrap_used,
    reason = "clippy does not recognise this as part of a test"
)]

use std::sync::Arc;

use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair, date_time_ymd};
use toucan_wire::{PeerIdentity, Tls, TlsSettings};

/// Authority that signs the certificates of VMs.
pub struct Authority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl Authority {
    pub fn new() -> Self {
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().unwrap();
        Self {
            issuer: CertifiedIssuer::self_signed(params, key).unwrap(),
        }
    }

    pub fn pem(&self) -> String {
        self.issuer.pem()
    }

    /// Returns keys of a VM that are valid now.
    pub fn settings(&self, vm: &PeerIdentity) -> TlsSettings {
        self.settings_until(vm, 2100)
    }

    /// Returns keys of a VM that are valid until the end of the year before `year`.
    pub fn settings_until(&self, vm: &PeerIdentity, year: i32) -> TlsSettings {
        let mut params = CertificateParams::new(vec![vm.certificate_name()]).unwrap();
        params.not_before = date_time_ymd(2000, 1, 1);
        params.not_after = date_time_ymd(year, 1, 1);
        let key = KeyPair::generate().unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        TlsSettings {
            certificate_chain_pem: certificate.pem(),
            private_key_pem: key.serialize_pem(),
            authorities_pem: self.pem(),
        }
    }

    pub fn tls(&self, vm: &PeerIdentity) -> Option<Arc<Tls>> {
        Some(Arc::new(Tls::new(&self.settings(vm)).unwrap()))
    }
}
