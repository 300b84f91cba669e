//! Start and exit of the daemons.

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

/// A daemon cannot be started.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings cannot be loaded.
    #[snafu(display("settings {source}"))]
    Settings {
        /// Underlying error.
        source: SettingsError,
    },
    /// The logger cannot be set up.
    #[snafu(display("settings: {source}"))]
    Log {
        /// Underlying error.
        source: LogError,
    },
}

/// Loads the settings of a daemon and sets up its logger. `log_level` returns the level
/// from the settings.
///
/// # Errors
///
/// Returns an error if the settings cannot be loaded or the log level is invalid.
pub fn init_daemon<T: DeserializeOwned>(
    settings: &Path,
    log_level: impl FnOnce(&T) -> &str,
) -> Result<T, StartError> {
    let settings: T = load_settings(settings).context(SettingsSnafu)?;
    init_logs(log_level(&settings)).context(LogSnafu)?;
    Ok(settings)
}

/// Returns the exit code for the result of a program, and prints its error, if any, to
/// standard error.
pub fn exit_code(program: &str, result: Result<(), impl Display>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{program}: {error}");
            ExitCode::FAILURE
        }
    }
}
