//! Metrics of one simulated run.

use std::time::{
    Duration,
    Instant, //
};

use hdrhistogram::Histogram;

use crate::{
    waiting::{
        Job,
        Order, //
    },
    workload::{
        SHARES_PERCENT,
        SLOTS, //
    }, //
};

/// Urgencies from this value on count as low.
const LOW_URGENCY: u32 = 2;

/// Metrics of one run, within the measured period.
pub(crate) struct Report {
    order: Order,
    from: Instant,
    to: Instant,
    used_s: [f64; SHARES_PERCENT.len()],
    low_used_s: f64,
    goodput_s: f64,
    overlong_s: f64,
    urgent_arrived: u64,
    urgent_in_time: u64,
    urgent_us: Histogram<u64>,
    urgent_wait_us: Histogram<u64>,
    low_wait: Duration,
}

impl Report {
    pub(crate) fn new(order: Order, from: Instant, to: Instant) -> Self {
        Self {
            order,
            from,
            to,
            used_s: [0.0; SHARES_PERCENT.len()],
            low_used_s: 0.0,
            goodput_s: 0.0,
            overlong_s: 0.0,
            urgent_arrived: 0,
            urgent_in_time: 0,
            urgent_us: Histogram::new(3).expect("three significant digits are supported"),
            urgent_wait_us: Histogram::new(3).expect("three significant digits are supported"),
            low_wait: Duration::ZERO,
        }
    }

    pub(crate) fn on_arrival(&mut self, job: &Job) {
        let counts = job.urgency == 0 && job.arrived >= self.from;
        self.urgent_arrived += u64::from(counts);
    }

    pub(crate) fn on_start(&mut self, job: &Job, now: Instant) {
        if job.urgency >= LOW_URGENCY && now >= self.from {
            self.low_wait = self.low_wait.max(now - job.arrived);
        }
    }

    pub(crate) fn on_end(&mut self, job: &Job, started: Instant, ended: Instant, in_time: bool) {
        let from = started.max(self.from);
        let used_s = ended.min(self.to).saturating_duration_since(from);
        let used_s = used_s.as_secs_f64();
        self.used_s[job.team] += used_s;
        if job.urgency >= LOW_URGENCY {
            self.low_used_s += used_s;
        }
        if in_time {
            self.goodput_s += used_s;
        }
        if job.run_time >= job.deadline - job.arrived {
            self.overlong_s += used_s;
        }
        if job.urgency == 0 && job.arrived >= self.from && in_time {
            self.urgent_in_time += 1;
            record(&mut self.urgent_us, ended - job.arrived);
            record(&mut self.urgent_wait_us, started - job.arrived);
        }
    }

    pub(crate) fn print(&self) {
        let capacity_s = SLOTS * (self.to - self.from).as_secs_f64();
        let percent = |part: f64| part * 100.0 / capacity_s;
        let used_percent = self.used_s.map(percent);
        let deviations = used_percent.iter().zip(SHARES_PERCENT);
        let deviations = deviations.map(|(part, share)| (part - f64::from(share)).abs());
        let in_time = self.urgent_in_time as f64 * 100.0 / self.urgent_arrived as f64;
        println!("{:?}:", self.order);
        println!("  goodput {:.1}% of capacity", percent(self.goodput_s));
        println!(
            "  used by runs that take longer than their timeout {:.1}%",
            percent(self.overlong_s)
        );
        println!("  used by team {used_percent:.2?}% for shares {SHARES_PERCENT:?}%");
        println!(
            "  largest deviation from a share {:.2} percentage points",
            deviations.fold(0.0, f64::max)
        );
        println!("  urgent in time {in_time:.1}% of all urgent requests");
        if !self.urgent_us.is_empty() {
            let p99_ms = |us: &Histogram<u64>| us.value_at_quantile(0.99) as f64 / 1e3;
            println!("  urgent p99 latency {:.0} ms", p99_ms(&self.urgent_us));
            println!(
                "  urgent p99 waiting time {:.1} ms",
                p99_ms(&self.urgent_wait_us)
            );
        }
        println!(
            "  low urgency: {:.1}% of the slots",
            percent(self.low_used_s)
        );
        println!(
            "  low urgency: longest waiting time {:.1} s",
            self.low_wait.as_secs_f64()
        );
    }
}

fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    let us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    histogram.record(us).expect("the histogram resizes itself");
}
