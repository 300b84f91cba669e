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

/// A settings file cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// File.
        path: PathBuf,
        /// Reason.
        source: io::Error,
    },
    /// The file does not fit the schema.
    #[snafu(display("{}: {source}", path.display()))]
    Parse {
        /// File.
        path: PathBuf,
        /// Reason, with line and column.
        #[snafu(source(from(serde_saphyr::Error, Box::new)))]
        source: Box<serde_saphyr::Error>,
    },
}

/// Reads settings from a YAML file.
///
/// # Errors
///
/// Returns an error when the file cannot be read or does not fit the schema.
pub fn load_settings<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    serde_saphyr::from_str(&text).context(ParseSnafu { path })
}
