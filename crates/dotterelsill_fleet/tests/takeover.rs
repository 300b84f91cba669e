//! Tests of the takeover by a new planner.

use dotterelsill_fleet::*;

const LIMITS: BudgetLimits = BudgetLimits {
    floor_percent: 50,
    per_data_centre: 2,
    per_rack: 2,
};

fn charged(token: Token) -> Versioned<BudgetRecord> {
    let upstream = Upstream {
        data_centre: DataCentre(0),
        instance: Instance(7),
        rack: Rack(0),
    };
    let record = BudgetRecord::new(token, 4);
    Versioned {
        value: record
            .charge_voluntary(token, &LIMITS, upstream)
            .expect("no outage is charged yet"),
        version: 3,
    }
}

/// Guards against a takeover that ignores the charge of a paused planner that has
/// not recorded the move yet.
#[test]
fn instances_with_a_charge_are_resumed() {
    let service = Service(0);
    let mut takeover = Takeover::new(Token(2), [service]);
    let read = || TakeoverEvent::Read(charged(Token(1)));
    let write = takeover.on_event(service, read()).unwrap();
    assert!(matches!(&write, TakeoverAction::Write(w) if w.value.token() == Token(2)));
    assert_eq!(takeover.on_event(service, read()), None);
    let retry = takeover.on_event(service, TakeoverEvent::Retry);
    assert_eq!(retry, Some(TakeoverAction::Read));
    takeover.on_event(service, read());
    let stale = TakeoverEvent::Written {
        expected_version: 2,
    };
    takeover.on_event(service, stale);
    assert!(!takeover.is_complete());
    takeover.on_event(
        service,
        TakeoverEvent::Written {
            expected_version: 3,
        },
    );
    let settled = PoolRecord {
        pool: Pool(0),
        step: Step::Settled,
        token: Token(1),
    };
    let moving = PoolRecord {
        step: Step::Attach { to: Pool(1) },
        ..settled
    };
    let pools = [
        (Instance(7), &settled),
        (Instance(8), &settled),
        (Instance(9), &moving),
    ];
    let resume: Vec<_> = takeover.instances_to_resume(pools).into_iter().collect();
    assert_eq!(resume, [Instance(7), Instance(9)]);
}

/// Guards against a planner that continues after a planner with a higher token
/// has taken over.
#[test]
fn a_higher_token_stops_the_takeover() {
    let mut takeover = Takeover::new(Token(2), [Service(0)]);
    let read = TakeoverEvent::Read(charged(Token(3)));
    assert_eq!(
        takeover.on_event(Service(0), read),
        Some(TakeoverAction::Stop)
    );
    assert!(takeover.is_fenced() && !takeover.is_complete());
}
