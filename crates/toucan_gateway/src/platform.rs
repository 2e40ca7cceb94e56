//! The deployment around a gateway.

use crate::{keyed_log::KeyedLog, wire_format::WireFormat};

/// Formats and store of a deployment.
pub trait Platform: WireFormat + KeyedLog + 'static {}

impl<T: WireFormat + KeyedLog + 'static> Platform for T {}
