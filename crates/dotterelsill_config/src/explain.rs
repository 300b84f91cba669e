//! What the queues of a fleet do while an instance is cut off.

use std::fmt::Write;

use dotterelsill_proto::config::{
    Fleet,
    Queue, //
};

use crate::{
    checked::serves_isolated,
    limits::{
        DRIFT_DIVISOR,
        FRESH_S,
        LEASE_S,
        OBSERVATION_S, //
    },
    CheckedFleet,
};

/// Returns plain text that says for each queue what is served and refused while
/// an instance is cut off, and how long a change can take to be in force because
/// of it.
pub fn explain(checked: &CheckedFleet) -> String {
    let fleet = checked.fleet();
    let queues = fleet.queues.iter();
    let queues: String = queues.map(|queue| about_queue(fleet, queue)).collect();
    format!("{}{queues}{}", about_isolation(fleet), about_changes(fleet))
}

/// Returns the text on the isolation limit.
fn about_isolation(fleet: &Fleet) -> String {
    let limit = u64::from(fleet.isolation_limit_s);
    let ends = if limit == 0 {
        "Then it refuses everything as not run, because isolation_limit_s is 0.".into()
    } else {
        format!(
            "Then its queues do what is said below, for {} after the last renewal of its lease \
             at most (lease {LEASE_S} s, isolation_limit_s {limit}). After that it refuses \
             everything as not run.",
            duration(LEASE_S + limit)
        )
    };
    format!(
        "An instance is cut off when neither the store nor a peer that reaches the store \
         answers it.\nFor {FRESH_S} s it goes on as before. {ends}\n"
    )
}

/// Returns the text on one queue.
fn about_queue(fleet: &Fleet, queue: &Queue) -> String {
    let access = if queue.open { "open" } else { "keyed" };
    let repeat = if queue.repeatable {
        "repeatable"
    } else {
        "not repeatable"
    };
    let mut text = format!(
        "\nQueue {} (service {}, {access}, {repeat})\n",
        queue.name, queue.service
    );
    for line in [
        format!("first {FRESH_S} s: {}", while_fresh(queue)),
        format!("after that: {}", while_isolated(fleet, queue)),
        format!("changes: {}", delay(fleet, queue)),
    ] {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "  {line}");
    }
    text
}

/// Returns what a queue does before its instance is isolated.
fn while_fresh(queue: &Queue) -> &'static str {
    if queue.repeatable {
        "served"
    } else {
        "a request runs only when its claim reaches the store, else it is refused as not run"
    }
}

/// Returns what a queue does while its instance is isolated.
fn while_isolated(fleet: &Fleet, queue: &Queue) -> String {
    if !delays_changes(fleet, queue) {
        return "refused as not run until contact is back".into();
    }
    let authority = duration(LEASE_S + u64::from(fleet.isolation_limit_s));
    let access = if queue.open {
        "for every caller"
    } else {
        "for the keys of that revision, within the credits already held"
    };
    let claims = if queue.repeatable {
        ""
    } else {
        "; a request still runs only when its claim reaches the store, else it is refused as \
         not run"
    };
    format!(
        "served under the last revision {access}{claims}; refused as not run from {authority} \
         after the last renewal"
    )
}

/// Returns how long a queue can delay a change.
fn delay(fleet: &Fleet, queue: &Queue) -> String {
    if delays_changes(fleet, queue) {
        let time = duration(in_force_s(fleet.isolation_limit_s));
        format!("up to {time} until a change is in force, because a cut-off instance may serve")
    } else {
        let time = duration(in_force_s(0));
        format!("not delayed by this queue beyond the lease ({time})")
    }
}

/// Returns the text on all changes.
fn about_changes(fleet: &Fleet) -> String {
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
        "\nWhile an instance is cut off, the next change is in force after at most {}.\n\
         A lower upper limit of a team can take {}, because the credits of a lost instance are \
         reclaimed only after its longest request ({run_s} s).\n\
         A change of isolation_limit_s or when_isolated itself waits by the values before it.\n",
        duration(in_force_s(limit_s)),
        duration(reclaim_s)
    )
}

/// Returns whether a cut-off instance may serve a queue beyond its proof.
fn delays_changes(fleet: &Fleet, queue: &Queue) -> bool {
    fleet.isolation_limit_s != 0 && serves_isolated(queue)
}

/// Returns the longest time until a change is in force, in seconds: the lease,
/// its expiry being observed, and the isolation limit with the margin for drift.
fn in_force_s(isolation_limit_s: u32) -> u64 {
    let limit = u64::from(isolation_limit_s);
    LEASE_S + OBSERVATION_S + limit + limit.div_ceil(DRIFT_DIVISOR)
}

/// Returns a duration as text.
fn duration(seconds: u64) -> String {
    match (seconds / 60, seconds % 60) {
        (0, s) => format!("{s} s"),
        (minutes, 0) => format!("{minutes} min"),
        (minutes, s) => format!("{minutes} min {s} s"),
    }
}
