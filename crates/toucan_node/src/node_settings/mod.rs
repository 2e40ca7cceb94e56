//! Settings of one router VM, read from JSON with comments.

mod admission_settings;
mod listen_settings;
mod log_settings;
mod node_settings_type;
mod platform_settings;
mod read_settings;
mod settings_reader;
mod tls_files;

pub use admission_settings::AdmissionSettings;
pub use listen_settings::ListenSettings;
pub use log_settings::{LogFormat, LogSettings};
pub use node_settings_type::NodeSettings;
pub use platform_settings::PlatformSettings;
pub use read_settings::SETTINGS_FIELDS;
pub use tls_files::TlsFiles;
