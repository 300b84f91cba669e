//! Log levels by module.

use log::LevelFilter;

/// Log levels of a setting.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct Levels {
    /// Level of all modules that have none of their own.
    pub(crate) default: LevelFilter,
    /// Levels of modules and those within them.
    pub(crate) modules: Vec<(String, LevelFilter)>,
}

impl Levels {
    /// Parses a setting such as `info,dotterelsill_entry::sync=debug`. The default
    /// level is `info` if the setting has none.
    ///
    /// # Errors
    ///
    /// Returns the part of the setting that is invalid.
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

/// Returns whether the text is a valid module path. The name of a binary with hyphens
/// is not one, and would match no module without any notice.
fn is_module(text: &str) -> bool {
    let is_name = |name: &str| {
        !name.is_empty() && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '_')
    };
    text.split("::").all(is_name)
}
