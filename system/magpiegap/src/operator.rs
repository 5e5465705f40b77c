//! Files of the operator's commands.
use crate::error::ProgramError;
use magpiegap_jobs::Configuration;
use std::path::Path;

/// Reads a file.
///
/// # Errors
/// When it can't be read.
pub(crate) fn read_file(file: &Path) -> Result<Vec<u8>, ProgramError> {
    std::fs::read(file).map_err(|source| ProgramError::File {
        file: file.to_owned(),
        source,
    })
}

/// Checks a configuration, and says what it holds.
///
/// # Errors
/// When it is invalid.
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
