//! Options common to all commands.

use std::net::SocketAddr;

use pico_args::Arguments;

use crate::Environment;
use crate::cli_error::CliError;

/// Default of `--timeout-ms`: the longest wait for a response, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 15_000;

/// Options common to all commands.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) nodes: Vec<SocketAddr>,
    pub(crate) key: Option<String>,
    pub(crate) is_json: bool,
    pub(crate) use_colour: bool,
    pub(crate) timeout_ms: u64,
    pub(crate) now_ms: u64,
}

impl Options {
    /// Removes the options from the arguments and parses them.
    pub(crate) fn parse(
        arguments: &mut Arguments,
        environment: &Environment,
    ) -> Result<Self, CliError> {
        let mut nodes: Vec<String> = arguments.values_from_str("--node")?;
        if nodes.is_empty() {
            let listed = environment.nodes.as_deref().unwrap_or_default();
            nodes = listed
                .split(',')
                .map(|node| node.trim().to_owned())
                .filter(|node| !node.is_empty())
                .collect();
        }
        let nodes = nodes
            .iter()
            .map(|node| {
                let message = || CliError::usage(format!("`{node}` is not an IP number and port"));
                node.parse().map_err(|_| message())
            })
            .collect::<Result<_, _>>()?;
        let key_file: Option<String> = arguments.opt_value_from_str("--key-file")?;
        let key = match key_file {
            Some(file) => Some(read_file(&file)?.trim().to_owned()),
            None => environment.key.clone(),
        };
        Ok(Self {
            nodes,
            key,
            is_json: arguments.contains("--json"),
            use_colour: environment.use_colour && !arguments.contains("--no-colour"),
            timeout_ms: arguments
                .opt_value_from_str("--timeout-ms")?
                .unwrap_or(DEFAULT_TIMEOUT_MS),
            now_ms: environment.now_ms,
        })
    }
}

/// Reads a file, or the standard input for `-`.
pub(crate) fn read_file(file: &str) -> Result<String, CliError> {
    let text = if file == "-" {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(file)
    };
    text.map_err(|error| CliError::File(file.to_owned(), error.to_string()))
}
