//! TLS certificates between hosts: loading them, and generating a certificate authority and host
//! certificates.

use std::{fs, path::Path, sync::Arc};

use quinn::{
    ClientConfig, IdleTimeout, ServerConfig, TransportConfig,
    crypto::rustls::{QuicClientConfig, QuicServerConfig},
};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair, KeyUsagePurpose};
use rustls::{
    RootCertStore,
    crypto::{CryptoProvider, ring},
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    server::WebPkiClientVerifier,
};
use snafu::ResultExt;

use super::error::{Error, GenerateSnafu, Result};
use crate::settings::Peers;

/// Name in the certificate of every host. Hosts trust the authority that signed a certificate, not
/// the name in it.
pub const HOST_NAME: &str = "ashroad-host";
/// File name of the authority's certificate, which every host needs to verify its peers.
pub const CA_FILE: &str = "ca.pem";
/// File name of the authority's private key, which is needed only to sign new host certificates.
pub const CA_KEY_FILE: &str = "ca-key.pem";
/// ALPN identifier of the peer protocol.
const PROTOCOL: &[u8] = b"ashroad/1";
/// Time in milliseconds without a packet from the peer after which a connection is closed.
const IDLE_TIMEOUT_MS: u32 = 1_000;
/// Interval of keep-alive packets in milliseconds; shorter than [`IDLE_TIMEOUT_MS`], so that idle
/// connections stay open.
const KEEP_ALIVE_MS: u64 = 300;
/// Maximum number of concurrent requests on one connection; further requests wait at the sender.
const STREAMS_MAX: u32 = 256;

/// TLS configurations of the QUIC endpoint. Both directions require a certificate that the
/// same authority signed.
#[derive(Clone, Debug)]
pub struct TlsConfigs {
    /// Configuration for incoming connections, which verifies the certificate of the client.
    pub server: ServerConfig,
    /// Configuration for outgoing connections, which presents the certificate of this host.
    pub client: ClientConfig,
}

/// Installs the crypto provider of the process, which must happen once before any use of TLS.
pub fn install_crypto_provider() {
    let _ = ring::default_provider().install_default();
}

/// Loads the authority's certificates, the host's certificate chain and the private key from the
/// files that the settings name.
pub fn load(peers: &Peers) -> Result<TlsConfigs> {
    let mut roots = RootCertStore::empty();
    for certificate in certificates(&peers.ca_file)? {
        roots.add(certificate).map_err(tls)?;
    }
    let roots = Arc::new(roots);
    let chain = certificates(&peers.certificate_file)?;
    let key_file = &peers.private_key_file;
    let key =
        PrivateKeyDer::from_pem_file(key_file).map_err(|error| key_error(key_file, &error))?;
    let provider = Arc::new(ring::default_provider());
    Ok(TlsConfigs {
        server: server(&provider, &roots, chain.clone(), key.clone_key())?,
        client: client(&provider, &roots, chain, key)?,
    })
}

fn server(
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<ServerConfig> {
    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
        .build()
        .map_err(tls)?;
    let mut config = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(tls)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .map_err(tls)?;
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    let config = QuicServerConfig::try_from(config).map_err(tls)?;
    let mut config = ServerConfig::with_crypto(Arc::new(config));
    config.transport_config(transport());
    Ok(config)
}

fn client(
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<ClientConfig> {
    let mut config = rustls::ClientConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(tls)?
        .with_root_certificates(roots.clone())
        .with_client_auth_cert(chain, key)
        .map_err(tls)?;
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    let config = QuicClientConfig::try_from(config).map_err(tls)?;
    let mut config = ClientConfig::new(Arc::new(config));
    config.transport_config(transport());
    Ok(config)
}

fn transport() -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IdleTimeout::from(quinn::VarInt::from_u32(
            IDLE_TIMEOUT_MS,
        ))))
        .keep_alive_interval(Some(std::time::Duration::from_millis(KEEP_ALIVE_MS)))
        .max_concurrent_bidi_streams(STREAMS_MAX.into())
        .max_concurrent_uni_streams(0u32.into());
    Arc::new(transport)
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>> {
    let found = CertificateDer::pem_file_iter(path).map_err(|error| key_error(path, &error))?;
    found
        .collect::<std::result::Result<Vec<_>, _>>()
        .map_err(|error| key_error(path, &error))
}

fn key_error(path: &Path, error: &impl std::error::Error) -> Error {
    Error::Key {
        path: path.to_owned(),
        message: error.to_string(),
    }
}

fn tls(error: impl std::error::Error) -> Error {
    Error::Tls {
        message: error.to_string(),
    }
}

/// Generates a certificate authority and writes its certificate and private key to `directory`.
pub fn create_ca(directory: &Path) -> Result<()> {
    let key = KeyPair::generate().context(GenerateSnafu)?;
    let mut params = CertificateParams::new(Vec::new()).context(GenerateSnafu)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    let certificate = params.self_signed(&key).context(GenerateSnafu)?;
    write(&directory.join(CA_FILE), &certificate.pem())?;
    write(&directory.join(CA_KEY_FILE), &key.serialize_pem())
}

/// Generates a host's certificate `NAME.pem` and private key `NAME-key.pem` in `directory`. The
/// certificate is signed by the authority whose files are in the same directory.
pub fn create_host(directory: &Path, name: &str) -> Result<()> {
    let ca = read(&directory.join(CA_FILE))?;
    let ca_key = read(&directory.join(CA_KEY_FILE))?;
    let ca_key = KeyPair::from_pem(&ca_key).context(GenerateSnafu)?;
    let issuer = Issuer::from_ca_cert_pem(&ca, ca_key).context(GenerateSnafu)?;
    let key = KeyPair::generate().context(GenerateSnafu)?;
    let params = CertificateParams::new(vec![HOST_NAME.to_owned()]).context(GenerateSnafu)?;
    let certificate = params.signed_by(&key, &issuer).context(GenerateSnafu)?;
    write(&directory.join(format!("{name}.pem")), &certificate.pem())?;
    write(
        &directory.join(format!("{name}-key.pem")),
        &key.serialize_pem(),
    )
}

fn read(path: &Path) -> Result<String> {
    fs::read_to_string(path).map_err(|error| key_error(path, &error))
}

fn write(path: &Path, text: &str) -> Result<()> {
    fs::write(path, text).map_err(|error| key_error(path, &error))
}
