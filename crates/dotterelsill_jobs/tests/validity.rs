//! Validity of a configuration depending on its age.

use std::time::Duration;

use dotterelsill_jobs::{
    ApplyBounds,
    Validity, //
};

const BOUNDS: ApplyBounds = ApplyBounds {
    apply: Duration::from_millis(2000),
    extension: Duration::from_millis(5000),
};

/// Guards against a denial that a configuration change may have made wrong, and
/// against keys that keep working long after they were withdrawn.
#[test]
fn old_configuration_decides_nothing() {
    let validity = |ms| BOUNDS.validity(Duration::from_millis(ms));
    assert_eq!(validity(0), Validity::Current);
    assert_eq!(validity(1999), Validity::Current);
    assert_eq!(validity(2000), Validity::Unconfirmed);
    assert_eq!(validity(6999), Validity::Unconfirmed);
    assert_eq!(validity(7000), Validity::Outdated);
}
