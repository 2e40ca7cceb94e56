//! Mutual TLS with keys that can be replaced at run time.

use std::sync::Arc;

use arc_swap::ArcSwap;
use rustls::client::Resumption;
use rustls::crypto::CryptoProvider;
use rustls::server::WebPkiClientVerifier;
use rustls::version::TLS13;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};

use crate::TlsSettings;

/// ALPN protocol that both sides offer in the handshake.
const ALPN_PROTOCOL: &[u8] = b"h2";

/// Mutual TLS with keys that can be replaced at run time.
pub struct Tls {
    current: ArcSwap<TlsConfigs>,
}

/// Server and client configuration for one set of keys.
pub(crate) struct TlsConfigs {
    /// Incremented with each replacement of the keys.
    pub(crate) generation: u64,
    pub(crate) server: Arc<ServerConfig>,
    pub(crate) client: Arc<ClientConfig>,
}

/// Reason for rejecting keys.
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum TlsError {
    /// the certificate chain contains no certificate or is not valid PEM
    CertificateChain,
    /// the private key is not valid PEM or is of an unknown kind
    PrivateKey,
    /// the authorities contain no certificate or are not valid PEM
    Authorities,
    /// the keys and certificates do not match: {reason}
    Mismatch {
        /// Description of the mismatch.
        reason: String,
    },
}

impl std::error::Error for TlsError {}

impl Tls {
    /// Creates the configurations for a set of keys.
    ///
    /// # Errors
    ///
    /// [`TlsError`] if they cannot be used.
    pub fn new(settings: &TlsSettings) -> Result<Self, TlsError> {
        let configs = TlsConfigs::new(settings, 0)?;
        Ok(Self {
            current: ArcSwap::from_pointee(configs),
        })
    }

    /// Replaces the keys; connections opened with the previous keys are then replaced.
    ///
    /// # Errors
    ///
    /// [`TlsError`] if they cannot be used; the previous keys then stay in use.
    pub fn reload(&self, settings: &TlsSettings) -> Result<(), TlsError> {
        let configs = TlsConfigs::new(settings, self.generation() + 1)?;
        self.current.store(Arc::new(configs));
        log::info!(
            "TLS keys for peer connections replaced; generation {}",
            self.generation()
        );
        Ok(())
    }

    /// Returns how often the keys have been replaced.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.current.load().generation
    }

    pub(crate) fn current(&self) -> Arc<TlsConfigs> {
        self.current.load_full()
    }
}

impl TlsConfigs {
    fn new(settings: &TlsSettings, generation: u64) -> Result<Self, TlsError> {
        let chain =
            certificates(&settings.certificate_chain_pem).ok_or(TlsError::CertificateChain)?;
        let key = PrivateKeyDer::from_pem_slice(settings.private_key_pem.as_bytes())
            .map_err(|_| TlsError::PrivateKey)?;
        let mut authorities = RootCertStore::empty();
        let roots = certificates(&settings.authorities_pem).ok_or(TlsError::Authorities)?;
        for root in roots {
            authorities.add(root).map_err(|_| TlsError::Authorities)?;
        }
        let authorities = Arc::new(authorities);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let server = server_config(&provider, &authorities, chain.clone(), key.clone_key())?;
        let client = client_config(&provider, authorities, chain, key)?;
        Ok(Self {
            generation,
            server: Arc::new(server),
            client: Arc::new(client),
        })
    }
}

fn certificates(pem: &str) -> Option<Vec<CertificateDer<'static>>> {
    let read: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem.as_bytes()).collect();
    read.ok().filter(|certificates| !certificates.is_empty())
}

fn server_config(
    provider: &Arc<CryptoProvider>,
    authorities: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<ServerConfig, TlsError> {
    let verifier =
        WebPkiClientVerifier::builder_with_provider(Arc::clone(authorities), Arc::clone(provider))
            .build()
            .map_err(|error| mismatch(&error))?;
    let mut config = ServerConfig::builder_with_provider(Arc::clone(provider))
        .with_protocol_versions(&[&TLS13])
        .map_err(|error| mismatch(&error))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .map_err(|error| mismatch(&error))?;
    config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    // A resumed session would skip the check of the certificate's validity period.
    config.send_tls13_tickets = 0;
    Ok(config)
}

fn client_config(
    provider: &Arc<CryptoProvider>,
    authorities: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<ClientConfig, TlsError> {
    let mut config = ClientConfig::builder_with_provider(Arc::clone(provider))
        .with_protocol_versions(&[&TLS13])
        .map_err(|error| mismatch(&error))?
        .with_root_certificates(authorities)
        .with_client_auth_cert(chain, key)
        .map_err(|error| mismatch(&error))?;
    config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    config.resumption = Resumption::disabled();
    Ok(config)
}

fn mismatch(error: &impl std::error::Error) -> TlsError {
    let reason = error.to_string();
    TlsError::Mismatch { reason }
}
