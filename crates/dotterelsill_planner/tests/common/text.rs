//! Instances and configuration text of the tests.

use std::fmt::Write as _;

use super::INSTANCES;

/// Returns the name, pool, data centre and rack of each instance.
pub(crate) fn instances() -> Vec<(String, &'static str, &'static str, String)> {
    let mut instances = Vec::new();
    for service in ["permits", "sorting"] {
        for index in 0..INSTANCES {
            let data_centre = if index < 2 { "a" } else { "b" };
            let rack = format!("{data_centre}{}", index % 2);
            instances.push((format!("{service}-{index}"), service, data_centre, rack));
        }
    }
    instances
}

/// Returns the configuration text, with the `moved` instances assigned to the
/// other service.
pub(crate) fn text(moved: &[&str]) -> String {
    text_without(moved, "")
}

/// Returns the configuration text without the instance `gone`.
pub(crate) fn text_without(moved: &[&str], gone: &str) -> String {
    let mut text = "isolation_limit_s: 60\ndata_centres:\n\
         \x20 - { name: a, region: north }\n  - { name: b, region: north }\n\
         teams:\n  - { name: red, share_percent: 100, floor_requests: 1, limit_requests: 8 }\n\
         services:\n"
        .to_owned();
    for service in ["permits", "sorting"] {
        let _ = write!(
            text,
            "  - name: {service}\n    depends_on: []\n\
             \x20   availability_floor_percent: 75\n    upstreams:\n"
        );
        for (port, (name, pool, data_centre, rack)) in instances().iter().enumerate() {
            let is_of_service = (*pool == service) != moved.contains(&name.as_str());
            if is_of_service && name != gone {
                let port = 27_200 + port;
                let _ = writeln!(
                    text,
                    "      - {{ name: {name}, address: \"127.0.0.1:{port}\", \
                     data_centre: {data_centre}, rack: {rack}, slots: 8, connections: 64 }}"
                );
            }
        }
    }
    text.push_str(
        "queues:\n  - { name: open, service: permits, urgency: 0, open: true, \
         repeatable: true, timeout_ms: 2000, max_run_ms: 5000 }\n\
         \x20 - { name: report, service: sorting, urgency: 1, open: true, \
         repeatable: true, timeout_ms: 2000, max_run_ms: 5000 }\n",
    );
    text
}
