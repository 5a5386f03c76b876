//! A daemon whose port is in use at its start takes it once it is free.

mod common;

use std::net::TcpListener;

use common::{Daemon, Fleet, small_layout, wait_until};
use nix::sys::signal::Signal;
use stoatjunction_bench::fleet::HostPlan;
use yare::parameterized;

/// A daemon of the first host.
type Choose = fn(&mut Fleet) -> &mut Daemon;

const GATEWAY: Choose = |fleet| &mut fleet.gateways[0];
const DISPATCHER: Choose = |fleet| &mut fleet.dispatchers[0];

/// Starts a daemon again whose port is in use, and returns the listener that uses it once the daemon waits.
async fn start_beside_listener(fleet: &mut Fleet, choose: Choose, addr: &str) -> TcpListener {
    choose(fleet).kill();
    let used = TcpListener::bind(addr).expect("the port of the ended daemon is free");
    choose(fleet).respawn();
    wait_until("the daemon waits for its port", || {
        let waits = choose(fleet).log().contains("event=listen_failed");
        async move { waits }
    })
    .await;
    used
}

#[parameterized(
    gateway = { GATEWAY, HostPlan::gateway_addr },
    admin_of_gateway = { GATEWAY, HostPlan::gateway_admin_addr },
    dispatcher = { DISPATCHER, HostPlan::dispatcher_addr },
    admin_of_dispatcher = { DISPATCHER, HostPlan::dispatcher_admin_addr },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_daemon_does_not_end_since_its_port_is_in_use(
    choose: Choose,
    addr: fn(&HostPlan) -> String,
) {
    let mut fleet = Fleet::start(small_layout(1, 2, 4)).await;
    let addr = addr(&fleet.hosts[0]);

    let used = start_beside_listener(&mut fleet, choose, &addr).await;
    drop(used);

    fleet.wait_until_operational().await;
    assert_eq!(choose(&mut fleet).exit_code(), None);
}

#[parameterized(
    gateway = { GATEWAY, HostPlan::gateway_addr },
    dispatcher = { DISPATCHER, HostPlan::dispatcher_addr },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_daemon_that_waits_for_its_port_stops_cleanly(
    choose: Choose,
    addr: fn(&HostPlan) -> String,
) {
    let mut fleet = Fleet::start(small_layout(1, 2, 4)).await;
    let addr = addr(&fleet.hosts[0]);
    let _used = start_beside_listener(&mut fleet, choose, &addr).await;

    choose(&mut fleet).send_signal(Signal::SIGTERM);

    assert_eq!(choose(&mut fleet).wait_exit().await, 0);
}
