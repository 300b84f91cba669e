//! State shared by the daemon's tasks.

use dotterelsill_store::Client;

use crate::{
    names::Names,
    platform::Platform,
    settings::Settings,
    view::View, //
};

/// Clients, settings and the texts for operators.
pub(crate) struct Shared {
    /// Address at which this planner answers operators.
    pub(crate) address: String,
    /// Random number that identifies this run of the process.
    pub(crate) incarnation: u128,
    pub(crate) names: Names,
    pub(crate) platform: Platform,
    pub(crate) settings: Settings,
    pub(crate) store: Client,
    pub(crate) view: View,
}
