//! Event-driven model of engines behind routers, shared by the examples.
//!
//! Times are in microseconds. All random values come from seeded generators, so that runs are
//! reproducible.

// Each example uses only part of the model.
#![allow(dead_code)]

pub(crate) mod engine;
pub(crate) mod events;
pub(crate) mod figures;
pub(crate) mod sessions;
