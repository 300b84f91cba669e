//! Levels of the log by module.

use log::LevelFilter;

/// Levels that a setting gives.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct Levels {
    pub(crate) default: LevelFilter,
    pub(crate) modules: Vec<(String, LevelFilter)>,
}

impl Levels {
    /// Reads levels such as `info,dotterelsill_entry::sync=debug`. The default
    /// is `info` when none is given.
    ///
    /// # Errors
    ///
    /// Returns the part that cannot be read.
    pub(crate) fn parse(text: &str) -> Result<Self, &str> {
        let mut default = None;
        let mut modules: Vec<(String, LevelFilter)> = Vec::new();
        let parts = text.split(',').filter(|_| !text.is_empty());
        for part in parts.map(str::trim) {
            let (module, level) = match part.split_once('=') {
                Some((module, level)) => (Some(module.trim_end()), level.trim_start()),
                None => (None, part),
            };
            let level = level.parse().map_err(|_| part)?;
            let is_repeated = match module {
                None => default.replace(level).is_some(),
                Some(module) if !is_module(module) => return Err(part),
                Some(module) => modules.iter().any(|(other, _)| other == module),
            };
            if is_repeated {
                return Err(part);
            }
            modules.extend(module.map(|module| (module.to_owned(), level)));
        }
        Ok(Self {
            default: default.unwrap_or(LevelFilter::Info),
            modules,
        })
    }
}

/// Returns whether the text can be the path of a module. The name of a binary
/// with hyphens cannot, and would silently match nothing.
fn is_module(text: &str) -> bool {
    let is_name = |name: &str| {
        !name.is_empty() && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '_')
    };
    text.split("::").all(is_name)
}
