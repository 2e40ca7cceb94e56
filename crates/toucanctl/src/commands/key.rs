//! `toucanctl key`.

use pico_args::Arguments;
use rand::Rng;
use toucan_config::{ApiKey, HashedKey};

use crate::cli_error::CliError;
use crate::commands::arguments::{reject_rest, required_word};
use crate::options::Options;
use crate::{Exit, Report};

/// Runs `toucanctl key …`.
pub(crate) fn key(mut arguments: Arguments, options: &Options) -> Result<Report, CliError> {
    match arguments.subcommand()?.as_deref() {
        Some("new") => new(arguments, options),
        _ => Err(CliError::usage("key takes new")),
    }
}

fn new(mut arguments: Arguments, options: &Options) -> Result<Report, CliError> {
    let key_id = required_word(&mut arguments, "KEY-ID")?;
    reject_rest(arguments)?;
    let mut random = rand::rng();
    let secret = format!(
        "{:032x}{:032x}",
        random.random::<u128>(),
        random.random::<u128>()
    );
    let text = format!("tt_{key_id}_{secret}");
    let key = ApiKey::parse(&text)
        .ok()
        .filter(|key| key.key_id() == key_id)
        .ok_or_else(|| CliError::usage("a key id has letters, digits and `-`, and no `_`"))?;
    let hashed = HashedKey::new(&key, random.random());
    let (salt, hash) = (hashed.salt_hex(), hashed.hash_hex());
    if options.is_json {
        let value =
            serde_json::json!({ "key": text, "key_id": key_id, "salt": salt, "hash": hash });
        return Ok(Report::json(&value, Exit::Done));
    }
    let entry = format!("\"salt\": \"{salt}\",\n\"hash\": \"{hash}\"\n");
    Ok(Report::done(format!("{text}\n"))
        .with_err("hand out the line above once; the document takes:\n")
        .with_err(entry))
}
