//! A gateway that opens a second link to a dispatcher before the first is known to be dead.

mod common;

use common::{Fleet, call_admin, engine_request, small_layout, wait_until};
use stoatjunction_core::id::{GatewayId, ShardId, TicketId, Tier};
use stoatjunction_core::shard::Ticket;
use stoatjunction_core::time::{Span, Time};
use stoatjunction_net::link::{LinkRx, LinkSettings, LinkTx, connect};
use stoatjunction_net::message::{Hello, Notice, Request, TicketMessage};
use stoatjunction_standin::proxy::Fault;

const GATEWAY: GatewayId = GatewayId(77);

async fn link_as_gateway(addr: &str) -> (LinkTx<Request>, LinkRx<Notice>) {
    let (tx, rx) = connect(addr, LinkSettings::default())
        .await
        .expect("link opens");
    tx.send(Request::Hello(Hello::Gateway {
        id: GATEWAY,
        host: "test".to_owned(),
    }));
    (tx, rx)
}

fn ticket() -> TicketMessage {
    let ticket = Ticket {
        id: TicketId {
            gateway: GATEWAY,
            seq: 1,
        },
        tier: Tier(0),
        organisation: "acme".to_owned(),
        share: 1,
        kind: "talk".to_owned(),
        deadline: Time(0) + Span::from_millis(30_000),
        input_tokens: 10,
        output_hint: 10,
        ..Ticket::default()
    };
    TicketMessage::from_ticket(&ticket, Time(0))
}

/// Number of requests in `state`, which is `queued` or `running`, in all shards.
async fn count_requests(fleet: &Fleet, state: &str) -> u64 {
    let shards = call_admin(&fleet.hosts[0].dispatcher_admin_addr(), "GET", "shards").await;
    let shards = shards.as_array().cloned().unwrap_or_default();
    shards.iter().map(|s| s[state].as_u64().unwrap_or(0)).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_run_not_declared_on_the_new_link_is_released() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 1)).await;
    let addr = fleet.hosts[0].dispatcher_addr();
    let shard = ShardId {
        dc: "dc1".to_owned(),
        service: "assistant".to_owned(),
        index: 0,
    };
    let (old_tx, mut old_rx) = link_as_gateway(&addr).await;
    old_tx.send(Request::Enqueue {
        shard: shard.clone(),
        ticket: Box::new(ticket()),
    });
    let id = ticket().id;
    while !matches!(old_rx.recv().await, Some(Notice::Grant { ticket, .. }) if ticket == id) {}
    old_tx.send(Request::Dispatched { shard, ticket: id });
    wait_until("the dispatcher counts the run", || async {
        count_requests(&fleet, "running").await == 1
    })
    .await;

    // Act
    let new_link = link_as_gateway(&addr).await;

    // Assert
    wait_until("the run is released", || async {
        count_requests(&fleet, "running").await == 0
    })
    .await;
    drop((new_link, old_tx));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_link_to_the_same_dispatcher_loses_no_queued_request() {
    // Arrange
    let fleet = Fleet::start_with(small_layout(1, 1, 1), |_, cfg| {
        if let Some(ip) = cfg.listen.strip_suffix(":8080") {
            cfg.seeds.push(format!("{ip}:7080"));
        }
    })
    .await;
    fleet.local_dispatcher_proxies[0].set_fault(Fault::Cut);
    fleet.wait_until_operational().await;
    let blockers: Vec<_> = (0..2)
        .map(|n| engine_request("acme", "gold", &format!("h{n}"), 150))
        .collect();
    let mut pending: Vec<_> = blockers
        .iter()
        .map(|s| fleet.spawn_request(0, &s.request))
        .collect();
    wait_until("the slots are taken", || async {
        fleet.active_requests() == 2
    })
    .await;
    let mut queued = engine_request("acme", "gold", "queued", 5);
    queued.request.deadline_ms = Some(8_000);
    pending.push(fleet.spawn_request(0, &queued.request));

    wait_until("the request is queued", || async {
        count_requests(&fleet, "queued").await == 1
    })
    .await;

    // Act
    fleet.local_dispatcher_proxies[0].set_fault(Fault::None);

    // Assert
    for pending_response in pending {
        let response = pending_response
            .await
            .expect("request task does not panic")
            .expect("response is received");
        assert!(response.is_answer(), "{response:?}");
    }
}
