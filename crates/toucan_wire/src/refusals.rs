//! Refusals of peers, counted by reason.

use std::sync::atomic::{AtomicU64, Ordering};

use rustls::{CertificateError, Error as RustlsError};

/// Reason for refusing a peer.
#[derive(Clone, Copy, Debug, displaydoc::Display, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// the peer sent no certificate
    NoCertificate,
    /// the peer's certificate is not signed by a trusted authority
    WrongAuthority,
    /// the peer's certificate has expired or is not valid yet
    Expired,
    /// the peer does not speak TLS
    PlainText,
    /// a TLS record of the connection is corrupt, repeated or out of order
    BadRecord,
    /// the handshake failed in another way
    Handshake,
    /// the peer claims a VM or a data centre that its certificate does not name
    WrongName,
    /// the peer sent a message that cannot be decoded
    BadMessage,
    /// there are too many connections
    TooManyConnections,
}

impl Refusal {
    /// All reasons, in the order of the counters in [`RefusalCounts`].
    pub const ALL: [Self; 9] = [
        Self::NoCertificate,
        Self::WrongAuthority,
        Self::Expired,
        Self::PlainText,
        Self::BadRecord,
        Self::Handshake,
        Self::WrongName,
        Self::BadMessage,
        Self::TooManyConnections,
    ];

    /// Returns the name used as a metric label.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoCertificate => "no_certificate",
            Self::WrongAuthority => "wrong_authority",
            Self::Expired => "expired",
            Self::PlainText => "plain_text",
            Self::BadRecord => "bad_record",
            Self::Handshake => "handshake",
            Self::WrongName => "wrong_name",
            Self::BadMessage => "bad_message",
            Self::TooManyConnections => "too_many",
        }
    }

    /// Returns the reason behind the error of a TLS handshake.
    pub(crate) fn of_error(error: &std::io::Error) -> Self {
        let Some(source) = error.get_ref() else {
            return Self::Handshake;
        };
        match source.downcast_ref::<RustlsError>() {
            Some(RustlsError::NoCertificatesPresented) => Self::NoCertificate,
            Some(RustlsError::InvalidCertificate(error)) => Self::of_certificate(error),
            Some(RustlsError::InvalidMessage(_)) => Self::PlainText,
            Some(RustlsError::DecryptError) => Self::BadRecord,
            _ => Self::Handshake,
        }
    }

    fn of_certificate(error: &CertificateError) -> Self {
        match error {
            CertificateError::Expired
            | CertificateError::ExpiredContext { .. }
            | CertificateError::NotValidYet
            | CertificateError::NotValidYetContext { .. } => Self::Expired,
            CertificateError::UnknownIssuer | CertificateError::BadSignature => {
                Self::WrongAuthority
            }
            _ => Self::Handshake,
        }
    }
}

/// Number of refusals by reason.
#[derive(Debug, Default)]
pub struct RefusalCounts {
    counts: [AtomicU64; Refusal::ALL.len()],
}

impl RefusalCounts {
    /// Returns the number of refusals for one reason.
    #[must_use]
    pub fn get(&self, refusal: Refusal) -> u64 {
        self.counts[refusal as usize].load(Ordering::Relaxed)
    }

    /// Returns the number of refusals for all reasons together.
    #[must_use]
    pub fn total(&self) -> u64 {
        Refusal::ALL.iter().map(|refusal| self.get(*refusal)).sum()
    }

    pub(crate) fn record(&self, refusal: Refusal) {
        self.counts[refusal as usize].fetch_add(1, Ordering::Relaxed);
        metrics::counter!("toucan_peer_refusals_total", "reason" => refusal.name()).increment(1);
    }
}
