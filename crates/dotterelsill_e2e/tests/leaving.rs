//! Tests that an upstream that is leaving gets no new work.

use std::time::Duration;

use async_io::Timer;
use dotterelsill_e2e::Fleet;
use dotterelsill_proto::platform::{
    platform_client::PlatformClient,
    OrderKind,
    OrderRequest,
    Stamp, //
};
use dotterelsill_rpc::Channel;

/// Time after which an upstream that is leaving gets no new work; the platform's list
/// of instances lags by 1 s.
const LEAVING_LIMIT: Duration = Duration::from_secs(4);

/// Guards against work that is sent to an upstream after the platform has drained it,
/// because the upstream still answers.
#[test]
fn drained_upstream_gets_no_new_work() {
    dotterelsill_rpc::run(1, |tasks| async move {
        let fleet = Fleet::start_with_platform(2, 1, &tasks);
        let text = fleet.configuration(60);
        fleet.apply(0, &text).await;
        fleet.await_revision(1).await;
        // Entry a prefers the upstream in its own data centre.
        let caller = fleet.caller(0, None);
        let answer = caller.send("/q/open/x", "before").await;
        assert_eq!(answer.outcome, "answered", "{answer:?}");

        let platform = fleet.platform.as_ref().expect("the fleet has a platform");
        let address = platform.address("");
        let channel = Channel::new(address, Duration::from_secs(2), &tasks);
        let origin = "http://platform".parse().expect("the origin is valid");
        let order = OrderRequest {
            instance: "work-a".to_owned(),
            kind: OrderKind::Drain.into(),
            pool: "work".to_owned(),
            stamp: Some(Stamp {
                token: 1,
                version: 1,
            }),
        };
        let ordered = PlatformClient::with_origin(channel, origin)
            .order(order)
            .await
            .expect("the platform answers");
        assert!(ordered.into_inner().carried);

        Timer::after(LEAVING_LIMIT).await;
        for number in 0..50 {
            let answer = caller.send("/q/open/x", &format!("after-{number}")).await;
            assert_eq!(answer.outcome, "answered", "{answer:?}");
        }
        assert_eq!(fleet.run_count_on(0, "before").await, 1);
        for number in 0..50 {
            let body = format!("after-{number}");
            assert_eq!(fleet.run_count_on(0, &body).await, 0, "{body}");
        }
        tasks.stop();
    });
}
