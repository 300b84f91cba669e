//! Operators who change the configuration while a fault is injected.

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
    harness::Harness,
    load::Callers, //
};

/// Maximum time that an operator waits for an answer. A change may take 9 s to come
/// into force, and the entry may be frozen before it answers.
pub(crate) const OPERATOR_TIMEOUT: Duration = Duration::from_secs(25);

/// Operators of one cell of the matrix.
pub(crate) struct Operators {
    callers: Callers,
    clients: Vec<OperatorClient<Channel>>,
    key: String,
    third_entry: Terminator,
}

impl Operators {
    /// Creates the operators of a cell; `key` is the API key of the cell.
    pub(crate) fn new(harness: &Harness, key: &str) -> Self {
        Self {
            callers: harness.callers.clone(),
            clients: (0..3).map(|index| harness.fleet.operator(index)).collect(),
            key: key.to_owned(),
            third_entry: harness.fleet.entries[2].process.terminator(),
        }
    }

    /// Withdraws the key of the cell through an entry, given by its index.
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

    /// Excludes the third data centre through an entry, given by its index.
    pub(crate) async fn exclude_data_centre(&self, index: usize) {
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
        self.third_entry.terminate();
    }
}
