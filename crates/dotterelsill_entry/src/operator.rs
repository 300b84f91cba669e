//! Calls of the operators' command line.

use std::{
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc, //
    },
    time::Instant, //
};

use dotterelsill_config::{
    diff,
    parse,
    Finding, //
};
use dotterelsill_proto::{
    config::{
        Document,
        Key, //
    },
    peer::{
        operator_server::Operator,
        ApplyRequest,
        ChangeResponse,
        ChangeState,
        GiveKeyRequest,
        SetDataCentreRequest,
        StatusRequest,
        StatusResponse,
        Unconfirmed,
        WithdrawKeyRequest, //
    }, //
};
use dotterelsill_revision::Acknowledgement;
use tonic::{
    Request,
    Response,
    Status, //
};

use crate::{
    acceptance,
    authority::mode_name,
    change::{
        self,
        ChangeError, //
    },
    shared::Shared, //
};

/// Implements `Operator`.
pub(crate) struct Service {
    shared: Arc<Shared>,
}

impl Service {
    /// Creates the service.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn change(
        &self,
        write_id: &str,
        lowers_limit: &AtomicBool,
        edit: impl Fn(&mut Document) -> Result<(), String>,
    ) -> Result<Response<ChangeResponse>, Status> {
        let response = match change::make(&self.shared, write_id, edit).await {
            Ok(revision) => {
                let lowers = lowers_limit.load(Ordering::Relaxed);
                acknowledged(acceptance::wait(&self.shared, revision, lowers).await)
            }
            Err(error) => failed(&error),
        };
        log::info!(
            write_id,
            state = response.state().as_str_name(),
            revision = response.revision;
            "configuration_change"
        );
        Ok(Response::new(response))
    }
}

fn listed(findings: &[Finding]) -> String {
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

fn acknowledged(acknowledgement: Acknowledgement) -> ChangeResponse {
    match acknowledgement {
        Acknowledgement::InForce { revision } => ChangeResponse {
            state: ChangeState::InForce.into(),
            revision,
            ..ChangeResponse::default()
        },
        Acknowledgement::Stored {
            revision,
            unconfirmed,
            ..
        } => ChangeResponse {
            state: ChangeState::Stored.into(),
            revision,
            unconfirmed: unconfirmed.iter().map(unconfirmed_message).collect(),
            ..ChangeResponse::default()
        },
    }
}

fn unconfirmed_message(unconfirmed: &dotterelsill_revision::Unconfirmed) -> Unconfirmed {
    Unconfirmed {
        instance: unconfirmed.instance.to_string(),
        reason: unconfirmed.reason.to_string(),
        at_most_s: unconfirmed.at_most.as_secs().saturating_add(1) as u32,
    }
}

fn failed(error: &ChangeError) -> ChangeResponse {
    let state = match error {
        ChangeError::NotKnown { .. } => ChangeState::Unknown,
        _ => ChangeState::Refused,
    };
    ChangeResponse {
        state: state.into(),
        reason: error.to_string(),
        ..ChangeResponse::default()
    }
}

#[tonic::async_trait]
impl Operator for Service {
    async fn apply(
        &self,
        request: Request<ApplyRequest>,
    ) -> Result<Response<ChangeResponse>, Status> {
        let ApplyRequest { write_id, text } = request.into_inner();
        let lowers_limit = AtomicBool::new(false);
        self.change(&write_id, &lowers_limit, |document| {
            let new = parse(&text).map_err(|findings| listed(&findings))?;
            // Without a text in force that can be read, every limit is new.
            let lowers = parse(&document.text).is_ok_and(|old| {
                let changes = diff(&old, &new);
                changes.iter().any(|change| change.lowers_limit)
            });
            lowers_limit.store(lowers, Ordering::Relaxed);
            document.text.clone_from(&text);
            Ok(())
        })
        .await
    }

    async fn give_key(
        &self,
        request: Request<GiveKeyRequest>,
    ) -> Result<Response<ChangeResponse>, Status> {
        let GiveKeyRequest {
            write_id,
            team,
            sha256,
        } = request.into_inner();
        self.change(&write_id, &AtomicBool::new(false), |document| {
            if document.keys.iter().any(|key| key.sha256 == sha256) {
                return Err("this key is already given; make a new one".to_owned());
            }
            document.keys.push(Key {
                team: team.clone(),
                sha256: sha256.clone(),
            });
            Ok(())
        })
        .await
    }

    async fn withdraw_key(
        &self,
        request: Request<WithdrawKeyRequest>,
    ) -> Result<Response<ChangeResponse>, Status> {
        let WithdrawKeyRequest { write_id, sha256 } = request.into_inner();
        self.change(&write_id, &AtomicBool::new(false), |document| {
            let before = document.keys.len();
            document.keys.retain(|key| key.sha256 != sha256);
            if document.keys.len() == before {
                return Err("no such key is given; see `dotterelsill status`".to_owned());
            }
            Ok(())
        })
        .await
    }

    async fn set_data_centre(
        &self,
        request: Request<SetDataCentreRequest>,
    ) -> Result<Response<ChangeResponse>, Status> {
        let SetDataCentreRequest {
            write_id,
            data_centre,
            out,
        } = request.into_inner();
        self.change(&write_id, &AtomicBool::new(false), |document| {
            document
                .data_centres_out
                .retain(|name| *name != data_centre);
            if out {
                document.data_centres_out.push(data_centre.clone());
            }
            Ok(())
        })
        .await
    }

    async fn status(
        &self,
        _request: Request<StatusRequest>,
    ) -> Result<Response<StatusResponse>, Status> {
        let snapshot = self.shared.snapshot.load_full();
        let now = Instant::now();
        let proof_age = self.shared.authority.proof_age(now);
        Ok(Response::new(StatusResponse {
            instance: self.shared.settings.instance.clone(),
            revision: snapshot.revision,
            data_centres_out: snapshot.document.data_centres_out.clone(),
            authority: mode_name(self.shared.authority.mode(now)).to_owned(),
            proof_age_ms: proof_age.map_or(u64::MAX, |age| age.as_millis() as u64),
            members: self.shared.peers.members().to_vec(),
            store_calls: self.shared.store.calls(),
        }))
    }
}
