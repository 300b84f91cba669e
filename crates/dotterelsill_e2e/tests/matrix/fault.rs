//! The columns of the matrix.

use std::time::Duration;

use async_io::Timer;
use dotterelsill_e2e::Mode;
use dotterelsill_proto::store::SetFaultsRequest;

use crate::stage::Stage;

/// Pause between two rounds of a fault that is set again while it lasts.
const ROUND: Duration = Duration::from_millis(250);

/// What goes wrong.
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
    /// Shows the fault for some time, on the entry of an index if it concerns
    /// one entry.
    ///
    /// The odd rows see the longer of two durations, past the lease of 5 s and
    /// the isolation limit of 1 s.
    pub(crate) async fn show(self, stage: &mut Stage, victim: usize, is_long: bool) {
        let hold = self.hold(is_long);
        self.begin(stage, victim).await;
        let rounds = hold.as_millis() / ROUND.as_millis();
        for _ in 0..rounds {
            self.again(stage).await;
            Timer::after(ROUND).await;
        }
        self.end(stage, victim).await;
    }

    fn hold(self, is_long: bool) -> Duration {
        match self {
            Self::EntryFrozen => Duration::from_secs(2),
            Self::EntryFrozenPastItsLease if is_long => Duration::from_secs(12),
            Self::EntryFrozenPastItsLease => Duration::from_secs(7),
            _ if is_long => Duration::from_secs(7),
            _ => Duration::from_millis(1500),
        }
    }

    async fn begin(self, stage: &mut Stage, victim: usize) {
        let fleet = &mut stage.fleet;
        match self {
            Self::EntryKilled => fleet.entries[victim].process.kill(),
            Self::EntryFrozen | Self::EntryFrozenPastItsLease => {
                fleet.entries[victim].process.freeze();
            }
            Self::StoreCut => fleet.entries[victim].store_link.set(Mode::Cut),
            Self::StoreSilent => fleet.entries[victim].store_link.set(Mode::Silent),
            Self::PeersCut => set_peers(stage, Mode::Cut),
            Self::PeersSilent => set_peers(stage, Mode::Silent),
            Self::BothCut => {
                fleet.entries[victim].store_link.set(Mode::Cut);
                set_peers(stage, Mode::Cut);
            }
            Self::BothSilent => {
                fleet.entries[victim].store_link.set(Mode::Silent);
                set_peers(stage, Mode::Silent);
            }
            Self::StoreSlow => set_store(stage, 300, false, 0).await,
            Self::StoreDown => set_store(stage, 0, true, 0).await,
            Self::StoreAnswersLost => {}
            Self::UpstreamConnectionsSilent => silence_upstreams(stage),
            Self::UpstreamKilled => fleet.upstreams[victim].kill(),
            Self::OperatorsRace => stage.race_operators().await,
            Self::TwoFaults => {
                fleet.entries[victim].process.freeze();
                fleet.upstreams[0].kill();
                silence_upstreams(stage);
            }
        }
    }

    async fn again(self, stage: &Stage) {
        if matches!(self, Self::StoreAnswersLost | Self::TwoFaults) {
            set_store(stage, 0, false, 2).await;
        }
    }

    async fn end(self, stage: &mut Stage, victim: usize) {
        set_store(stage, 0, false, 0).await;
        set_peers(stage, Mode::Pass);
        for entry in &stage.fleet.entries {
            entry.store_link.set(Mode::Pass);
        }
        match self {
            Self::EntryFrozen | Self::EntryFrozenPastItsLease => {
                stage.fleet.entries[victim].process.resume();
            }
            Self::UpstreamKilled => stage.fleet.replace_upstream(victim, 20),
            Self::TwoFaults => {
                stage.fleet.entries[victim].process.resume();
                stage.fleet.replace_upstream(0, 20);
            }
            Self::OperatorsRace => stage.race_operators().await,
            _ => {}
        }
    }
}

fn set_peers(stage: &Stage, mode: Mode) {
    for entry in &stage.fleet.entries {
        entry.peer_link.set(mode);
    }
}

fn silence_upstreams(stage: &Stage) {
    for link in &stage.fleet.upstream_links {
        link.silence_open_connections();
    }
}

async fn set_store(stage: &Stage, delay_ms: u64, outage: bool, lose_write_answers: u32) {
    let faults = SetFaultsRequest {
        delay_ms,
        outage,
        lose_write_answers,
    };
    stage.fleet.set_store_faults(faults).await;
}
