//! Tests of commands against running nodes.

mod commands;
mod operated_fleet;
mod races;
