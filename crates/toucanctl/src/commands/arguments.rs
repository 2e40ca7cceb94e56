//! Positional arguments of commands.

use pico_args::Arguments;
use toucan_config::Section;

use crate::cli_error::CliError;

/// Takes the next positional argument; `what` names it in the error.
pub(crate) fn required_word(arguments: &mut Arguments, what: &str) -> Result<String, CliError> {
    optional_word(arguments)?.ok_or_else(|| CliError::usage(format!("{what} is missing")))
}

/// Takes the next positional argument, if present.
pub(crate) fn optional_word(arguments: &mut Arguments) -> Result<Option<String>, CliError> {
    Ok(arguments.opt_free_from_str()?)
}

/// Takes the next positional argument as a section.
pub(crate) fn required_section(arguments: &mut Arguments) -> Result<Section, CliError> {
    parse_section(&required_word(arguments, "SECTION")?)
}

/// Takes the next positional argument as a section, if present.
pub(crate) fn optional_section(arguments: &mut Arguments) -> Result<Option<Section>, CliError> {
    optional_word(arguments)?
        .map(|name| parse_section(&name))
        .transpose()
}

/// Fails if arguments are left.
pub(crate) fn reject_rest(arguments: Arguments) -> Result<(), CliError> {
    let rest = arguments.finish();
    match rest.first() {
        None => Ok(()),
        Some(word) => Err(CliError::usage(format!(
            "`{}` is not understood here",
            word.to_string_lossy()
        ))),
    }
}

fn parse_section(name: &str) -> Result<Section, CliError> {
    Section::from_name(name).ok_or_else(|| {
        CliError::usage(format!(
            "`{name}` is not a section; they are finance, models and operations"
        ))
    })
}
