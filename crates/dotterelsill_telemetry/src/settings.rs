//! Settings files in YAML.

use std::{
    fs,
    io,
    path::{
        Path,
        PathBuf, //
    }, //
};

use serde::de::DeserializeOwned;
use snafu::{
    ResultExt,
    Snafu, //
};

/// A settings file cannot be loaded.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Underlying error.
        source: io::Error,
    },
    /// The file is not valid YAML or does not match the schema.
    #[snafu(display("{}: {source}", path.display()))]
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// Parse error, with line and column.
        #[snafu(source(from(serde_saphyr::Error, Box::new)))]
        source: Box<serde_saphyr::Error>,
    },
}

/// Loads settings from a YAML file.
///
/// # Errors
///
/// Returns an error if the file cannot be read or parsed, or does not match the schema.
pub fn load_settings<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    serde_saphyr::from_str(&text).context(ParseSnafu { path })
}
