//! Faults, the columns of the matrix.

use std::time::Duration;

use async_io::Timer;
use dotterelsill_e2e::Mode;
use dotterelsill_proto::store::SetFaultsRequest;

use crate::harness::Harness;

/// Time between two repetitions of a fault that has to be set again while it lasts.
const REPEAT_INTERVAL: Duration = Duration::from_millis(250);

/// A fault that the matrix injects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    EntryKilled,
    EntryFrozen,
    EntryFrozenPastItsLease,
    StoreCut,
    PeersCut,
    BothCut,
    StoreSilent,
    PeersSilent,
    BothSilent,
    StoreSlow,
    StoreDown,
    StoreAnswersLost,
    UpstreamConnectionsSilent,
    UpstreamKilled,
    OperatorsRace,
    TwoFaults,
}

impl Fault {
    /// Injects the fault for some time; a fault of a single process hits the one
    /// with the index `target`.
    ///
    /// Every second row gets the longer of two durations, which exceeds the lease of
    /// 5 s and the isolation limit of 1 s.
    pub(crate) async fn inject(self, harness: &mut Harness, target: usize, is_long: bool) {
        let duration = self.duration(is_long);
        self.start(harness, target).await;
        let rounds = duration.as_millis() / REPEAT_INTERVAL.as_millis();
        for _ in 0..rounds {
            self.repeat(harness).await;
            Timer::after(REPEAT_INTERVAL).await;
        }
        self.stop(harness, target).await;
    }

    fn duration(self, is_long: bool) -> Duration {
        match self {
            Self::EntryFrozen => Duration::from_secs(2),
            Self::EntryFrozenPastItsLease if is_long => Duration::from_secs(12),
            Self::EntryFrozenPastItsLease => Duration::from_secs(7),
            _ if is_long => Duration::from_secs(7),
            _ => Duration::from_millis(1500),
        }
    }

    async fn start(self, harness: &mut Harness, target: usize) {
        let fleet = &mut harness.fleet;
        match self {
            Self::EntryKilled => fleet.entries[target].process.kill(),
            Self::EntryFrozen | Self::EntryFrozenPastItsLease => {
                fleet.entries[target].process.freeze();
            }
            Self::StoreCut => fleet.entries[target].store_link.set(Mode::Cut),
            Self::StoreSilent => fleet.entries[target].store_link.set(Mode::Silent),
            Self::PeersCut => set_peer_links(harness, Mode::Cut),
            Self::PeersSilent => set_peer_links(harness, Mode::Silent),
            Self::BothCut => {
                fleet.entries[target].store_link.set(Mode::Cut);
                set_peer_links(harness, Mode::Cut);
            }
            Self::BothSilent => {
                fleet.entries[target].store_link.set(Mode::Silent);
                set_peer_links(harness, Mode::Silent);
            }
            Self::StoreSlow => configure_store(harness, 300, false, 0).await,
            Self::StoreDown => configure_store(harness, 0, true, 0).await,
            Self::StoreAnswersLost => {}
            Self::UpstreamConnectionsSilent => silence_upstreams(harness),
            Self::UpstreamKilled => fleet.upstreams[target].kill(),
            Self::OperatorsRace => harness.race_operators().await,
            Self::TwoFaults => {
                fleet.entries[target].process.freeze();
                fleet.upstreams[0].kill();
                silence_upstreams(harness);
            }
        }
    }

    async fn repeat(self, harness: &Harness) {
        if matches!(self, Self::StoreAnswersLost | Self::TwoFaults) {
            configure_store(harness, 0, false, 2).await;
        }
    }

    async fn stop(self, harness: &mut Harness, target: usize) {
        configure_store(harness, 0, false, 0).await;
        set_peer_links(harness, Mode::Pass);
        for entry in &harness.fleet.entries {
            entry.store_link.set(Mode::Pass);
        }
        match self {
            Self::EntryFrozen | Self::EntryFrozenPastItsLease => {
                harness.fleet.entries[target].process.resume();
            }
            Self::UpstreamKilled => harness.fleet.replace_upstream(target, 20),
            Self::TwoFaults => {
                harness.fleet.entries[target].process.resume();
                harness.fleet.replace_upstream(0, 20);
            }
            Self::OperatorsRace => harness.race_operators().await,
            _ => {}
        }
    }
}

fn set_peer_links(harness: &Harness, mode: Mode) {
    for entry in &harness.fleet.entries {
        entry.peer_link.set(mode);
    }
}

fn silence_upstreams(harness: &Harness) {
    for link in &harness.fleet.upstream_links {
        link.silence_open_connections();
    }
}

async fn configure_store(harness: &Harness, delay_ms: u64, outage: bool, lose_write_answers: u32) {
    let faults = SetFaultsRequest {
        delay_ms,
        outage,
        lose_write_answers,
    };
    harness.fleet.set_store_faults(faults).await;
}
