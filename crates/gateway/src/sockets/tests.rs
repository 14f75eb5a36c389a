//! Options of the sockets, which decide when the system gives a silent peer up.

use std::time::Duration;

use socket2::SockRef;

use super::{Peer, accept, connect, listen};

/// Times after which the system gives up a peer that does not acknowledge: what was sent, and keepalive
/// probes. With a user timeout the latter depends on it alone, whatever the number of probes.
fn give_up_times(stream: &tokio::net::TcpStream) -> (Duration, Duration) {
    let socket = SockRef::from(stream);
    let user_timeout = socket.tcp_user_timeout().expect("an option");
    let user_timeout = user_timeout.expect("a user timeout");
    let idle = socket.tcp_keepalive_time().expect("an option");
    let interval = socket.tcp_keepalive_interval().expect("an option");
    // The first probe after the user timeout finds that it has passed.
    let mut probe_at = idle;
    while probe_at < user_timeout {
        probe_at += interval;
    }
    (user_timeout, probe_at)
}

/// Guards against connections that fall silent for good and are noticed late, or that are given up in a
/// silence of a second, since a user timeout also ends keepalive.
#[tokio::test(flavor = "current_thread")]
async fn user_timeout_and_keepalive_give_a_silent_peer_up_at_the_same_time() {
    let listener = listen(([127, 0, 0, 1], 0).into()).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
    for (peer, unsent_limit, idle_limit) in [
        (Peer::Host, 2_500, 3_000),
        // A caller that is silent for that long costs a descriptor; its deadline ends the work.
        (Peer::Caller, 15_000, 15_000),
    ] {
        let timeout = Duration::from_secs(1);
        let (opened, accepted) = tokio::join!(connect(address, timeout), accept(&listener, peer));
        let opened = opened.expect("a connection");
        let expected = (
            Duration::from_millis(unsent_limit),
            Duration::from_millis(idle_limit),
        );
        assert_eq!(give_up_times(&accepted), expected, "{peer:?}");
        let to_hosts = (Duration::from_millis(2_500), Duration::from_millis(3_000));
        assert_eq!(give_up_times(&opened), to_hosts);
    }
}
