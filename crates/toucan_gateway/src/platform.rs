//! Interface to the deployment that a gateway runs in.

use crate::{keyed_log::KeyedLog, wire_format::WireFormat};

/// Wire formats and store of a deployment.
pub trait Platform: WireFormat + KeyedLog + 'static {}

impl<T: WireFormat + KeyedLog + 'static> Platform for T {}
