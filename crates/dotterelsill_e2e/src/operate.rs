//! Calls that operators make to the fleet.

use std::sync::atomic::Ordering;

use dotterelsill_proto::peer::{
    operator_client::OperatorClient,
    ApplyRequest,
    ChangeResponse,
    GiveKeyRequest,
    SetDataCentreRequest,
    StatusRequest,
    StatusResponse,
    WithdrawKeyRequest, //
};
use dotterelsill_rpc::Channel;
use sha2::{
    Digest as _,
    Sha256, //
};

use crate::{
    fleet::expect_response,
    Fleet, //
};

impl Fleet {
    /// Applies a configuration through an entry, given by its index.
    pub async fn apply(&self, index: usize, text: &str) -> ChangeResponse {
        let request = ApplyRequest {
            write_id: self.write_id(),
            text: text.to_owned(),
        };
        let mut operator = self.operator(index);
        expect_response(operator.apply(request)).await
    }

    /// Gives an API key to a team through an entry, given by its index.
    pub async fn give_key(&self, index: usize, team: &str, key: &str) -> ChangeResponse {
        let request = GiveKeyRequest {
            write_id: self.write_id(),
            team: team.to_owned(),
            sha256: Sha256::digest(key).to_vec(),
        };
        let mut operator = self.operator(index);
        expect_response(operator.give_key(request)).await
    }

    /// Withdraws an API key through an entry, given by its index.
    pub async fn withdraw_key(&self, index: usize, key: &str) -> ChangeResponse {
        let request = WithdrawKeyRequest {
            write_id: self.write_id(),
            fingerprint: Sha256::digest(key)[..8].to_vec(),
        };
        let mut operator = self.operator(index);
        expect_response(operator.withdraw_key(request)).await
    }

    /// Excludes or readmits a data centre through an entry, given by its index.
    pub async fn set_data_centre(&self, index: usize, name: &str, out: bool) -> ChangeResponse {
        let request = SetDataCentreRequest {
            write_id: self.write_id(),
            data_centre: name.to_owned(),
            out,
        };
        let mut operator = self.operator(index);
        expect_response(operator.set_data_centre(request)).await
    }

    /// Returns the status of an entry, given by its index.
    pub async fn status(&self, index: usize) -> StatusResponse {
        expect_response(self.operator(index).status(StatusRequest {})).await
    }

    /// Returns a client for the operators' calls of an entry, given by its index.
    pub fn operator(&self, index: usize) -> OperatorClient<Channel> {
        let address = self.entries[index].process.address("listen_peers");
        let origin = tonic::codegen::http::Uri::from_static("http://entry");
        OperatorClient::with_origin(self.channel(address), origin)
    }

    /// Returns a write identifier that is unique in this fleet.
    pub fn write_id(&self) -> String {
        let number = self.next_write.fetch_add(1, Ordering::Relaxed);
        format!("write-{number}")
    }
}
