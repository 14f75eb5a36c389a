//! Reserved ports.

use std::net::{TcpListener, TcpStream};

use pistachiochute_standins::port::ReservedPort;
use pistachiochute_standins::service;

#[test]
fn listener_binds_a_reserved_port_again_and_again() {
    let port = ReservedPort::reserve().unwrap();
    for _ in 0..3 {
        let listener = TcpListener::bind(port.addr()).unwrap();
        let caller = TcpStream::connect(port.addr()).unwrap();
        drop(listener.accept().unwrap());
        drop((caller, listener));
        assert!(TcpStream::connect(port.addr()).is_err());
    }
    port.close();
}

#[test]
fn nobody_else_is_given_a_reserved_port() {
    const SOCKETS: usize = 500;
    let reserved: Vec<_> = (0..SOCKETS)
        .map(|_| ReservedPort::reserve().unwrap())
        .collect();
    let is_reserved = |port| reserved.iter().any(|held| held.addr().port() == port);
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut open = Vec::new();
    for _ in 0..SOCKETS {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        assert!(!is_reserved(listener.local_addr().unwrap().port()));
        open.push(listener);
    }
    for _ in 0..SOCKETS {
        let caller = TcpStream::connect(target.local_addr().unwrap()).unwrap();
        assert!(!is_reserved(caller.local_addr().unwrap().port()));
        drop(target.accept().unwrap());
    }
    reserved.into_iter().for_each(ReservedPort::close);
}

/// Guards against another listener that is given the port of a stand-in that refuses connections,
/// and answers its callers.
#[test]
fn a_stand_in_that_refuses_connections_keeps_its_port() {
    let service = service::Service::start(service::Settings::default()).unwrap();
    service.set_faults(service::Faults {
        refuse_connections: true,
        ..service::Faults::default()
    });
    assert!(TcpStream::connect(service.addr()).is_err());
    let other = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let bound = other.bind(&service.addr().into());
    let error = bound.expect_err("the port is not free");
    assert_eq!(error.kind(), std::io::ErrorKind::AddrInUse);
    service.set_faults(service::Faults::default());
    assert!(TcpStream::connect(service.addr()).is_ok());
    service.close();
}
