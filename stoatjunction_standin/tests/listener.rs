//! A stand-in that ends refuses connections at once.

use std::io::ErrorKind;

use stoatjunction_standin::listener::stop_listening;
use tokio::net::{TcpListener, TcpStream};

/// Guards against upstreams that take connections after their end, while another process is being started.
#[tokio::test]
async fn a_listener_of_which_another_process_has_a_copy_refuses_connections_once_it_is_stopped() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let _copy = listener.try_clone().expect("the listener is copied");
    let addr = listener.local_addr().expect("the listener has an address");
    listener.set_nonblocking(true).expect("the option is set");
    let listener = TcpListener::from_std(listener).expect("the runtime takes the listener");

    stop_listening(listener);

    let refused = TcpStream::connect(addr).await;
    assert_eq!(
        refused.map_err(|e| e.kind()).err(),
        Some(ErrorKind::ConnectionRefused)
    );
}
