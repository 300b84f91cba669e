//! What all parts of the planner use.

use dotterelsill_store::Client;

use crate::{
    names::Names,
    platform::Platform,
    settings::Settings,
    view::View, //
};

/// Connections, settings and the view for operators.
pub(crate) struct Shared {
    /// Address at which this planner answers operators.
    pub(crate) address: String,
    pub(crate) incarnation: u128,
    pub(crate) names: Names,
    pub(crate) platform: Platform,
    pub(crate) settings: Settings,
    pub(crate) store: Client,
    pub(crate) view: View,
}
