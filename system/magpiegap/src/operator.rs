//! Files that are named in operator commands.
use crate::error::ProgramError;
use magpiegap_jobs::Configuration;
use std::path::Path;

/// Reads a file into memory.
///
/// # Errors
/// When the file can't be read.
pub(crate) fn read_file(file: &Path) -> Result<Vec<u8>, ProgramError> {
    std::fs::read(file).map_err(|source| ProgramError::File {
        file: file.to_owned(),
        source,
    })
}

/// Validates a configuration file and returns a summary of its content.
///
/// # Errors
/// When the file can't be read or is invalid.
pub fn check_configuration(file: &Path) -> Result<String, ProgramError> {
    let configuration =
        Configuration::parse(&read_file(file)?).map_err(|source| ProgramError::Configuration {
            file: file.to_owned(),
            source,
        })?;
    let (routes, services) = (configuration.routes.len(), configuration.services.len());
    Ok(format!(
        "version {}: {routes} routes, {services} services",
        configuration.version
    ))
}
