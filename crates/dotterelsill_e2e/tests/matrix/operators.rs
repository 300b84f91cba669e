//! Operators who act while a fault strikes.

use std::time::Duration;

use dotterelsill_e2e::Terminator;
use dotterelsill_proto::peer::{
    operator_client::OperatorClient,
    ChangeState,
    SetDataCentreRequest,
    WithdrawKeyRequest, //
};
use dotterelsill_rpc::{
    timeout,
    Channel, //
};
use sha2::{
    Digest as _,
    Sha256, //
};

use crate::{
    load::Callers,
    stage::Stage, //
};

/// Longest time that an operator waits for an answer; 9 s are allowed for a
/// change to be in force, and an entry may be frozen before it answers.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(25);

/// Operators of one cell.
pub(crate) struct Operators {
    callers: Callers,
    clients: Vec<OperatorClient<Channel>>,
    key: String,
    leaving: Terminator,
}

impl Operators {
    /// Makes operators for a cell and its key.
    pub(crate) fn new(stage: &Stage, key: &str) -> Self {
        Self {
            callers: stage.callers.clone(),
            clients: (0..3).map(|index| stage.fleet.operator(index)).collect(),
            key: key.to_owned(),
            leaving: stage.fleet.entries[2].process.terminator(),
        }
    }

    /// Withdraws the key of the cell.
    pub(crate) async fn withdraw(&self, index: usize) {
        let request = WithdrawKeyRequest {
            write_id: format!("withdraw-{}", self.key),
            fingerprint: Sha256::digest(&self.key)[..8].to_vec(),
        };
        let mut client = self.clients[index].clone();
        let answer = timeout(OPERATOR_TIMEOUT, client.withdraw_key(request)).await;
        if let Ok(Ok(answer)) = answer {
            if answer.into_inner().state() == ChangeState::InForce {
                self.callers.observer.on_withdrawn(&self.key);
            }
        }
    }

    /// Takes the third data centre out.
    pub(crate) async fn take_out(&self, index: usize) {
        let request = SetDataCentreRequest {
            write_id: format!("out-{}", self.key),
            data_centre: "c".to_owned(),
            out: true,
        };
        let mut client = self.clients[index].clone();
        let answer = timeout(OPERATOR_TIMEOUT, client.set_data_centre(request)).await;
        if let Ok(Ok(answer)) = answer {
            if answer.into_inner().state() == ChangeState::InForce {
                self.callers.observer.on_excluded(2);
            }
        }
    }

    /// Asks the third entry to shut down.
    pub(crate) fn terminate(&self) {
        self.leaving.terminate();
    }
}
