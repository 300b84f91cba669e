//! The gRPC service `Operator`, which the operators' command line calls.

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

use dotterelsill_proto::{
    config::{
        Document,
        Key, //
    },
    peer::{
        operator_server::Operator,
        ApplyRequest,
        BurnRequest,
        BurnResponse,
        ChangeResponse,
        ChangeState,
        CreditStatus,
        GiveKeyRequest,
        KeyStatus,
        SetDataCentreRequest,
        StatusRequest,
        StatusResponse,
        TextRequest,
        TextResponse,
        Unconfirmed,
        WithdrawKeyRequest, //
    }, //
};
use dotterelsill_revision::ConfirmationStatus;
use tonic::{
    Request,
    Response,
    Status, //
};

use crate::{
    authority::mode_name,
    change::{
        self,
        ChangeError, //
    },
    confirmation,
    edit,
    shared::Shared,
    snapshot::Snapshot, //
};

/// Implements the gRPC service `Operator`.
pub(crate) struct Service {
    shared: Arc<Shared>,
}

impl Service {
    /// Creates the service.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Stores an edit of the configuration and waits until it is in force. The edit
    /// sets `lowers_limit` if it lowers a team's limit.
    async fn change(
        &self,
        write_id: &str,
        lowers_limit: &AtomicBool,
        edit: impl Fn(&mut Document) -> Result<(), String>,
    ) -> Result<Response<ChangeResponse>, Status> {
        let response = match change::apply_edit(&self.shared, write_id, edit).await {
            Ok(revision) => {
                let lowers = lowers_limit.load(Ordering::Relaxed);
                change_response(confirmation::wait(&self.shared, revision, lowers).await)
            }
            Err(error) => failure_response(&error),
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

/// Returns the response for a change that was stored.
fn change_response(status: ConfirmationStatus) -> ChangeResponse {
    match status {
        ConfirmationStatus::InForce { revision } => ChangeResponse {
            state: ChangeState::InForce.into(),
            revision,
            ..ChangeResponse::default()
        },
        ConfirmationStatus::Stored {
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

fn unconfirmed_message(unconfirmed: &dotterelsill_revision::UnconfirmedInstance) -> Unconfirmed {
    Unconfirmed {
        instance: unconfirmed.instance.to_string(),
        reason: unconfirmed.reason.to_string(),
        at_most_s: unconfirmed.max_wait.as_secs().saturating_add(1) as u32,
    }
}

fn key_status(key: &Key) -> KeyStatus {
    let length = edit::FINGERPRINT_BYTES.min(key.sha256.len());
    KeyStatus {
        team: key.team.clone(),
        fingerprint: key.sha256[..length].to_vec(),
    }
}

/// Returns the credits of all teams on this instance, sorted by team.
fn credit_statuses(shared: &Shared, snapshot: &Snapshot) -> Vec<CreditStatus> {
    let status = |(team, allowed, in_use): (String, u32, u32)| CreditStatus {
        limit: snapshot.limits.get(&team).copied().unwrap_or(0),
        team,
        allowed,
        in_use,
    };
    let mut credits: Vec<_> = shared.limits.counts().into_iter().map(status).collect();
    credits.sort_by(|one, other| one.team.cmp(&other.team));
    credits
}

/// Returns the response for a change that was refused or may not be stored.
fn failure_response(error: &ChangeError) -> ChangeResponse {
    let state = match error {
        ChangeError::OutcomeUnknown { .. } => ChangeState::Unknown,
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
            let lowers = edit::apply(document, &text)?;
            lowers_limit.store(lowers, Ordering::Relaxed);
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
            edit::give_key(document, &team, &sha256)
        })
        .await
    }

    async fn withdraw_key(
        &self,
        request: Request<WithdrawKeyRequest>,
    ) -> Result<Response<ChangeResponse>, Status> {
        let WithdrawKeyRequest {
            write_id,
            fingerprint,
        } = request.into_inner();
        self.change(&write_id, &AtomicBool::new(false), |document| {
            edit::withdraw_key(document, &fingerprint)
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
            edit::set_data_centre(document, &data_centre, out)
        })
        .await
    }

    async fn burn(&self, _request: Request<BurnRequest>) -> Result<Response<BurnResponse>, Status> {
        Ok(Response::new(self.shared.burn.report(Instant::now())))
    }

    async fn text(&self, _request: Request<TextRequest>) -> Result<Response<TextResponse>, Status> {
        let snapshot = self.shared.snapshot.load_full();
        Ok(Response::new(TextResponse {
            revision: snapshot.revision,
            text: snapshot.document.text.clone(),
        }))
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
            keys: snapshot.document.keys.iter().map(key_status).collect(),
            credits: credit_statuses(&self.shared, &snapshot),
            incarnation: self.shared.authority.incarnation().unwrap_or_default(),
        }))
    }
}
