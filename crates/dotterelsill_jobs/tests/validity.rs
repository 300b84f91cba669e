//! Validity of a configuration depending on its age.

use std::time::Duration;

use dotterelsill_jobs::{
    ApplyBounds,
    Validity, //
};

const BOUNDS: ApplyBounds = ApplyBounds {
    apply: Duration::from_millis(2000),
    extension: Duration::from_millis(5000),
    revocation: None,
};

/// Guards against a denial that a configuration change may have made wrong, and
/// against keys that keep working long after they were withdrawn.
#[test]
fn old_configuration_decides_nothing() {
    let validity = |ms| BOUNDS.validity(Duration::from_millis(ms), true);
    assert_eq!(validity(0), Validity::Current);
    assert_eq!(validity(1999), Validity::Current);
    assert_eq!(validity(2000), Validity::Unconfirmed);
    assert_eq!(validity(6999), Validity::Unconfirmed);
    assert_eq!(validity(7000), Validity::Outdated);
}

/// Guards against a withdrawn key that an impaired instance accepts for as long as it
/// may use an old route, where withdrawals are strict.
#[test]
fn strict_revocation_limits_requests_with_keys() {
    let bounds = ApplyBounds {
        revocation: Some(Duration::from_millis(4000)),
        ..BOUNDS
    };
    let validity = |ms, has_key| bounds.validity(Duration::from_millis(ms), has_key);
    assert_eq!(validity(3999, true), Validity::Unconfirmed);
    assert_eq!(validity(4000, true), Validity::Outdated);
    assert_eq!(validity(4000, false), Validity::Unconfirmed);
    assert_eq!(validity(7000, false), Validity::Outdated);
}
