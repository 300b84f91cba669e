//! Reads from the platform which instances are leaving, so that no requests are
//! routed to them.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use async_io::Timer;
use dotterelsill_proto::platform::{
    platform_client::PlatformClient,
    InstanceState,
    ListInstancesRequest, //
};
use dotterelsill_rpc::{
    timeout,
    Channel, //
};
use tonic::codegen::http::Uri;

use crate::shared::Shared;

/// Time between two reads of the platform's list of instances.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of one read of the list.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the list of instances until shutdown.
///
/// While the list cannot be read, the last one stays in effect.
pub(crate) async fn run(shared: Arc<Shared>, platform: SocketAddr) {
    let channel = Channel::new(platform, CALL_TIMEOUT, &shared.tasks);
    let mut client = PlatformClient::with_origin(channel, Uri::from_static("http://platform"));
    loop {
        let call = client.list_instances(ListInstancesRequest {});
        match timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(answer)) => {
                let instances = answer.into_inner().instances;
                let is_leaving = |state| state != InstanceState::InService;
                let leaving: HashSet<&str> = instances
                    .iter()
                    .filter(|instance| is_leaving(instance.state()))
                    .map(|instance| instance.name.as_str())
                    .collect();
                let snapshot = shared.snapshot.load_full();
                snapshot.set_leaving(&leaving, Instant::now());
            }
            Ok(Err(status)) => log::warn!(error = status.message(); "instances_not_listed"),
            Err(elapsed) => log::warn!(error:% = elapsed; "instances_not_listed"),
        }
        Timer::after(LIST_INTERVAL).await;
    }
}
