//! Start and end that all daemons share.

use std::{
    fmt::Display,
    path::Path,
    process::ExitCode, //
};

use serde::de::DeserializeOwned;
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::{
    init_logs,
    load_settings,
    LogError,
    SettingsError, //
};

/// A daemon cannot start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings cannot be used.
    #[snafu(display("settings {source}"))]
    Settings {
        /// Reason.
        source: SettingsError,
    },
    /// The log cannot be set up.
    #[snafu(display("settings: {source}"))]
    Log {
        /// Reason.
        source: LogError,
    },
}

/// Reads a daemon's settings and sets up its log at the level they name.
///
/// # Errors
///
/// Returns an error when the settings cannot be read or the level is not known.
pub fn init_daemon<T: DeserializeOwned>(
    settings: &Path,
    log_level: impl FnOnce(&T) -> &str,
) -> Result<T, StartError> {
    let settings: T = load_settings(settings).context(SettingsSnafu)?;
    init_logs(log_level(&settings)).context(LogSnafu)?;
    Ok(settings)
}

/// Prints the error of a program, if any, and returns the exit code.
pub fn exit_code(program: &str, result: Result<(), impl Display>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{program}: {error}");
            ExitCode::FAILURE
        }
    }
}
