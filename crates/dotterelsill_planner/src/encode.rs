//! Encoding of the values stored below `pool/` and `budget/`.

use dotterelsill_fleet::{
    BudgetLimits,
    BudgetRecord,
    Charge,
    DataCentre,
    Instance,
    Pool,
    PoolRecord,
    Rack,
    Route,
    Step,
    Token,
    Upstream, //
};
use dotterelsill_proto::planner::{
    BudgetValue,
    ChargeValue,
    PoolValue,
    StepKind, //
};
use prost::Message as _;

use crate::names::Names;

/// Limits that refuse nothing, for decoding charges that are already stored.
const NO_LIMITS: BudgetLimits = BudgetLimits {
    floor_percent: 0,
    per_data_centre: u32::MAX,
    per_rack: u32::MAX,
};

/// Pool record with the end of the last maintenance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct PoolState {
    pub(crate) record: PoolRecord,
    pub(crate) maintained_unix_ms: u64,
}

/// Encodes a pool record.
pub(crate) fn encode_pool(state: &PoolState, names: &Names) -> Vec<u8> {
    let record = state.record;
    let (kind, route) = step_parts(record.step);
    PoolValue {
        pool: names.name(record.pool.0),
        step: kind.into(),
        to: route.map_or_else(String::new, |route| names.name(route.to.0)),
        maintain: route.is_some_and(|route| route.maintain),
        token: record.token.0,
        maintained_unix_ms: state.maintained_unix_ms,
    }
    .encode_to_vec()
}

fn step_parts(step: Step) -> (StepKind, Option<Route>) {
    let route_to = |maintain, to| Some(Route { maintain, to });
    match step {
        Step::Settled => (StepKind::Settled, None),
        Step::Drain(route) => (StepKind::Drain, Some(route)),
        Step::ConfirmEmpty(route) => (StepKind::ConfirmEmpty, Some(route)),
        Step::Detach(route) => (StepKind::Detach, Some(route)),
        Step::Maintain { to } => (StepKind::Maintain, route_to(true, to)),
        Step::Attach { to } => (StepKind::Attach, route_to(false, to)),
    }
}

/// Decodes a pool record; returns `None` if the value is invalid.
pub(crate) fn decode_pool(value: &[u8], names: &Names) -> Option<PoolState> {
    let value = PoolValue::decode(value).ok()?;
    let to = Pool(names.number(&value.to));
    let route = Route {
        maintain: value.maintain,
        to,
    };
    let step = match StepKind::try_from(value.step).ok()? {
        StepKind::Settled => Step::Settled,
        StepKind::Drain => Step::Drain(route),
        StepKind::ConfirmEmpty => Step::ConfirmEmpty(route),
        StepKind::Detach => Step::Detach(route),
        StepKind::Maintain => Step::Maintain { to },
        StepKind::Attach => Step::Attach { to },
    };
    Some(PoolState {
        record: PoolRecord {
            pool: Pool(names.number(&value.pool)),
            step,
            token: Token(value.token),
        },
        maintained_unix_ms: value.maintained_unix_ms,
    })
}

/// Encodes a budget with its number of upstreams.
pub(crate) fn encode_budget(record: &BudgetRecord, upstreams: u32, names: &Names) -> Vec<u8> {
    let charges = record.charges().iter();
    BudgetValue {
        charges: charges.map(|charge| encode_charge(charge, names)).collect(),
        token: record.token().0,
        upstreams,
    }
    .encode_to_vec()
}

fn encode_charge(charge: &Charge, names: &Names) -> ChargeValue {
    let data_centre = names.name(charge.upstream.data_centre.0);
    let rack = names.name(charge.upstream.rack.0);
    let prefix = format!("{data_centre}/");
    ChargeValue {
        instance: names.name(charge.upstream.instance.0),
        rack: rack.strip_prefix(&prefix).unwrap_or(&rack).to_owned(),
        data_centre,
        involuntary: charge.involuntary,
        ordered: charge.ordered,
        voluntary_token: charge.voluntary.map(|token| token.0),
    }
}

/// Decodes a budget and its number of upstreams; returns `None` if the value is
/// invalid.
pub(crate) fn decode_budget(value: &[u8], names: &Names) -> Option<(BudgetRecord, u32)> {
    let mut value = BudgetValue::decode(value).ok()?;
    // A record accepts voluntary charges only in ascending order of their tokens.
    value.charges.sort_by_key(|charge| charge.voluntary_token);
    let token = Token(value.token);
    let mut record = BudgetRecord::new(Token(0), u32::MAX);
    for charge in &value.charges {
        let upstream = upstream(charge, names);
        if let Some(taken) = charge.voluntary_token {
            record = record
                .charge_voluntary(Token(taken), &NO_LIMITS, upstream)
                .ok()?;
        }
    }
    record = record.with_token(token).ok()?;
    for charge in &value.charges {
        let upstream = upstream(charge, names);
        if charge.involuntary {
            record = record.set_involuntary(token, upstream, true).ok()?;
        }
        if charge.ordered {
            record = record.set_ordered(token, &[upstream], true).ok()?;
        }
    }
    let record = record.set_upstreams(token, value.upstreams).ok()?;
    Some((record, value.upstreams))
}

fn upstream(charge: &ChargeValue, names: &Names) -> Upstream {
    Upstream {
        data_centre: DataCentre(names.number(&charge.data_centre)),
        instance: Instance(names.number(&charge.instance)),
        rack: Rack(names.rack(&charge.data_centre, &charge.rack)),
    }
}
