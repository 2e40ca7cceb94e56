//! The deployment around a gateway.

use crate::{dialect::Dialect, keyed_log::KeyedLog};

/// Formats and store of a deployment.
pub trait Platform: Dialect + KeyedLog + 'static {}

impl<T: Dialect + KeyedLog + 'static> Platform for T {}
