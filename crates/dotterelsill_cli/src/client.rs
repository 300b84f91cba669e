//! gRPC clients of entry instances, planners and instances that accept jobs.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use dotterelsill_proto::{
    jobs::{
        node_client::NodeClient,
        scheduler_client::SchedulerClient, //
    },
    peer::operator_client::OperatorClient,
    planner::planner_client::PlannerClient, //
};
use dotterelsill_rpc::{
    origin,
    Channel,
    Tasks, //
};

/// Timeout for connecting to an instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Client of the operator service of an entry instance.
pub(crate) type Client = OperatorClient<Channel>;

/// Creates a client of an entry instance. It connects on its first call.
pub(crate) fn connect(entry: SocketAddr, tasks: &Tasks) -> Client {
    let channel = Channel::new(entry, CONNECT_TIMEOUT, tasks);
    OperatorClient::with_origin(channel, origin(entry))
}

/// Creates a client of a planner. It connects on its first call.
pub(crate) fn connect_planner(planner: SocketAddr, tasks: &Tasks) -> PlannerClient<Channel> {
    let channel = Channel::new(planner, CONNECT_TIMEOUT, tasks);
    PlannerClient::with_origin(channel, origin(planner))
}

/// Creates a client of an instance that accepts jobs. It connects on its first call.
pub(crate) fn connect_node(node: SocketAddr, tasks: &Tasks) -> NodeClient<Channel> {
    let channel = Channel::new(node, CONNECT_TIMEOUT, tasks);
    NodeClient::with_origin(channel, origin(node))
}

/// Creates a client of the instance that holds the scheduler role. It connects on
/// its first call.
pub(crate) fn connect_scheduler(scheduler: SocketAddr, tasks: &Tasks) -> SchedulerClient<Channel> {
    let channel = Channel::new(scheduler, CONNECT_TIMEOUT, tasks);
    SchedulerClient::with_origin(channel, origin(scheduler))
}
