//! The relay between a client and a server: forwarding, partitions and blackholes.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use pistachiochute_standins::relay;

/// Starts a server that echoes the bytes of each connection.
fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let mut reader = socket.try_clone().unwrap();
            let mut writer = socket;
            thread::spawn(move || std::io::copy(&mut reader, &mut writer));
        }
    });
    addr
}

fn connect(relay: &relay::Relay) -> TcpStream {
    let socket = TcpStream::connect(relay.addr()).unwrap();
    socket
        .set_read_timeout(Some(Duration::from_millis(500)))
        .unwrap();
    socket
}

fn echoes(socket: &mut TcpStream) -> bool {
    let mut buf = [0; 4];
    socket.write_all(b"ping").is_ok() && socket.read_exact(&mut buf).is_ok() && &buf == b"ping"
}

#[test]
fn bytes_pass_before_and_after_a_partition() {
    let relay = relay::Relay::start(echo()).unwrap();
    let mut socket = connect(&relay);
    assert!(echoes(&mut socket));
    assert!(relay.bytes() >= 8);
    relay.partition();
    assert!(!echoes(&mut socket));
    assert!(TcpStream::connect(relay.addr()).is_err());
    relay.heal();
    assert!(echoes(&mut connect(&relay)));
    relay.close();
}

#[test]
fn blackholed_connection_stays_open_and_silent_while_new_ones_work() {
    let relay = relay::Relay::start(echo()).unwrap();
    let mut socket = connect(&relay);
    assert!(echoes(&mut socket));
    relay.blackhole();
    socket.write_all(b"ping").unwrap();
    let err = socket.read(&mut [0; 4]).unwrap_err();
    assert_eq!(err.kind(), std::io::ErrorKind::WouldBlock);
    assert!(echoes(&mut connect(&relay)));
    relay.close();
}
