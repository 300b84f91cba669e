//! Deserializes `when_isolated` from its name in YAML.

use serde::{
    de::Error,
    Deserialize,
    Deserializer, //
};

use crate::config::WhenIsolated;

/// Reads the name of a [`WhenIsolated`] value and returns the number of the value.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i32, D::Error> {
    let name = String::deserialize(deserializer)?;
    let value = match name.as_str() {
        "default" => WhenIsolated::Default,
        "serve" => WhenIsolated::Serve,
        "refuse" => WhenIsolated::Refuse,
        _ => {
            return Err(Error::unknown_variant(
                &name,
                &["default", "serve", "refuse"],
            ))
        }
    };
    Ok(value as i32)
}
