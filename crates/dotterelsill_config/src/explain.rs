//! Describes what the queues of a fleet do while an instance is disconnected.

use std::fmt::Write;

use dotterelsill_proto::config::{
    Fleet,
    Queue, //
};

use crate::{
    checked::serves_isolated,
    limits::{
        DETECTION_DELAY_S,
        DRIFT_DIVISOR,
        LEASE_S,
        PROOF_VALIDITY_S, //
    },
    CheckedFleet, //
};

/// Describes in plain text, for each queue, which requests are served and refused
/// while an instance is disconnected, and how long that can delay a change of the
/// configuration.
///
/// An instance is disconnected if neither the store nor a peer that reaches the
/// store responds. It is isolated once its proof of the current revision has
/// expired as well.
pub fn explain(checked: &CheckedFleet) -> String {
    let fleet = checked.fleet();
    let queues = fleet.queues.iter();
    let queues: String = queues.map(|queue| queue_section(fleet, queue)).collect();
    format!(
        "{}{queues}{}",
        isolation_section(fleet),
        changes_section(fleet)
    )
}

/// Returns the section about the isolation limit.
fn isolation_section(fleet: &Fleet) -> String {
    let limit = u64::from(fleet.isolation_limit_s);
    let after_proof = if limit == 0 {
        "Then it refuses all requests as not run, because isolation_limit_s is 0.".into()
    } else {
        format!(
            "Then its queues behave as described below, for at most {} after the last renewal of \
             its lease (lease {LEASE_S} s, isolation_limit_s {limit}). After that it refuses \
             all requests as not run.",
            duration(LEASE_S + limit)
        )
    };
    format!(
        "An instance is disconnected when neither the store nor a peer that reaches the store \
         answers it.\nFor {PROOF_VALIDITY_S} s it continues as before. {after_proof}\n"
    )
}

/// Returns the section about one queue.
fn queue_section(fleet: &Fleet, queue: &Queue) -> String {
    let access = if queue.open { "open" } else { "keyed" };
    let repeatability = if queue.repeatable {
        "repeatable"
    } else {
        "not repeatable"
    };
    let mut text = format!(
        "\nQueue {} (service {}, {access}, {repeatability})\n",
        queue.name, queue.service
    );
    for line in [
        format!("first {PROOF_VALIDITY_S} s: {}", before_isolation(queue)),
        format!("after that: {}", while_isolated(fleet, queue)),
        format!("changes: {}", change_delay(fleet, queue)),
    ] {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "  {line}");
    }
    text
}

/// Returns what a queue does while its instance has no contact but its proof of
/// the current revision is still valid.
fn before_isolation(queue: &Queue) -> &'static str {
    if queue.repeatable {
        "served"
    } else {
        "a request runs only if its claim reaches the store; otherwise it is refused as not run"
    }
}

/// Returns what a queue does once its instance is isolated.
fn while_isolated(fleet: &Fleet, queue: &Queue) -> String {
    if !delays_changes(fleet, queue) {
        return "refused as not run until contact is restored".into();
    }
    let authority_time = duration(LEASE_S + u64::from(fleet.isolation_limit_s));
    let access = if queue.open {
        "for every caller"
    } else {
        "for the keys of that revision, within the credits already held"
    };
    let claims = if queue.repeatable {
        ""
    } else {
        "; a request still runs only if its claim reaches the store; otherwise it is refused as \
         not run"
    };
    format!(
        "served under the last revision {access}{claims}; refused as not run from {authority_time} \
         after the last renewal"
    )
}

/// Returns how long a queue can delay a change.
fn change_delay(fleet: &Fleet, queue: &Queue) -> String {
    if delays_changes(fleet, queue) {
        let time = duration(in_force_s(fleet.isolation_limit_s));
        format!(
            "up to {time} until a change is in force, because a disconnected instance may serve"
        )
    } else {
        let time = duration(in_force_s(0));
        format!("not delayed by this queue beyond the lease ({time})")
    }
}

/// Returns the section about the delay of changes over all queues.
fn changes_section(fleet: &Fleet) -> String {
    let is_delayed = fleet.queues.iter().any(|q| delays_changes(fleet, q));
    let limit_s = if is_delayed {
        fleet.isolation_limit_s
    } else {
        0
    };
    let runs = fleet.queues.iter().map(|queue| queue.max_run_ms);
    let run_s = u64::from(runs.max().unwrap_or(0)).div_ceil(1_000);
    let reclaim_s = in_force_s(fleet.isolation_limit_s) + run_s;
    format!(
        "\nWhile an instance is disconnected, the next change is in force after at most {}.\n\
         Lowering limit_requests of a team can take {}, because the credits of a lost instance are \
         reclaimed only after its longest request ({run_s} s).\n\
         A change of isolation_limit_s or when_isolated itself is delayed by the old values.\n",
        duration(in_force_s(limit_s)),
        duration(reclaim_s)
    )
}

/// Returns whether an isolated instance may serve a queue after its proof of the
/// current revision has expired.
fn delays_changes(fleet: &Fleet, queue: &Queue) -> bool {
    fleet.isolation_limit_s != 0 && serves_isolated(queue)
}

/// Returns the maximum time until a change is in force, in seconds: the lease, the
/// detection of its expiry, and the isolation limit plus the clock drift margin.
fn in_force_s(isolation_limit_s: u32) -> u64 {
    let limit = u64::from(isolation_limit_s);
    LEASE_S + DETECTION_DELAY_S + limit + limit.div_ceil(DRIFT_DIVISOR)
}

/// Formats a duration.
fn duration(seconds: u64) -> String {
    match (seconds / 60, seconds % 60) {
        (0, s) => format!("{s} s"),
        (minutes, 0) => format!("{minutes} min"),
        (minutes, s) => format!("{minutes} min {s} s"),
    }
}
