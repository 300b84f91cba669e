//! gRPC service for operators.

use std::sync::Arc;

use dotterelsill_proto::planner::{
    planner_server::Planner,
    ExplainRequest,
    PlanRequest,
    TextResponse, //
};
use tonic::{
    Request,
    Response,
    Status, //
};

use crate::{
    lease,
    shared::Shared,
    view::Texts, //
};

/// Implements the gRPC service `Planner`. Only the leader has texts to return.
pub(crate) struct Service {
    shared: Arc<Shared>,
}

impl Service {
    /// Creates the service over the state shared with the leader's rounds.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Returns the newest texts, or an error that names the leader if it is
    /// another planner.
    async fn texts(&self) -> Result<Arc<Texts>, Status> {
        if let Some(texts) = self.shared.view.get() {
            return Ok(texts);
        }
        let text = match lease::holder(&self.shared.store).await {
            Ok(Some(holder)) => format!(
                "planner {} at {} is in charge; ask it",
                holder.planner, holder.address
            ),
            Ok(None) => "no planner is in charge yet; ask again in some seconds".to_owned(),
            Err(error) => format!("the planner in charge is not known: {error}"),
        };
        Err(Status::failed_precondition(text))
    }
}

#[tonic::async_trait]
impl Planner for Service {
    async fn plan(&self, _request: Request<PlanRequest>) -> Result<Response<TextResponse>, Status> {
        let text = self.texts().await?.plan.clone();
        Ok(Response::new(TextResponse { text }))
    }

    async fn explain(
        &self,
        request: Request<ExplainRequest>,
    ) -> Result<Response<TextResponse>, Status> {
        let texts = self.texts().await?;
        let name = request.into_inner().instance;
        let text = texts.instances.get(&name).cloned();
        let unknown = || {
            let text = format!("instance {name:?}: neither the text nor the store names it");
            Status::not_found(text)
        };
        let text = text.ok_or_else(unknown)?;
        Ok(Response::new(TextResponse { text }))
    }
}
