//! Observed waits, by places in the line.

/// Part of the older observations that stays with each new one.
const DECAY: f64 = 15.0 / 16.0;

/// Sums of recent waits and of the places that were waited for.
///
/// The ratio of the sums weighs a request by its places; a mean of ratios would
/// weigh the first in an empty line, which hardly waits, as much as a late one.
#[derive(Debug, Default)]
pub(crate) struct Waits {
    waited_s: f64,
    places: f64,
}

impl Waits {
    /// Adds a wait for a number of places.
    pub(crate) fn observe(&mut self, waited_s: f64, places: f64) {
        self.waited_s = self.waited_s * DECAY + waited_s;
        self.places = self.places * DECAY + places;
    }

    /// Returns the time that one place takes, in seconds, or `None` without an
    /// observation.
    pub(crate) fn one_place_s(&self) -> Option<f64> {
        (self.places > 0.0).then(|| self.waited_s / self.places)
    }
}
