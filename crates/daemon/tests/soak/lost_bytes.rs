//! The proxy loses bytes as a network does: nothing is delivered after a gap.

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use crate::{
    harness,
    proxy::{Impairment, Proxy},
};

/// Time for bytes to cross the proxy.
const TRANSIT_TIME: Duration = Duration::from_millis(50);

/// Guards against a stream that looks complete although events are missing: the proxy
/// dropped the events in the middle and delivered the end of the body. Seen with seed 2
/// as a response with 2 of 20 events that a daemon had received so.
#[test]
fn nothing_is_delivered_after_lost_bytes() {
    harness::run_test(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Proxy::start(listener.local_addr().unwrap()).await;
        let mut client = TcpStream::connect(proxy.address).await.unwrap();
        let (mut server, _) = listener.accept().await.unwrap();
        let send = async |server: &mut TcpStream, bytes: &[u8]| {
            server.write_all(bytes).await.unwrap();
            actix_rt::time::sleep(TRANSIT_TIME).await;
        };
        send(&mut server, b"first").await;
        proxy.set_impairment(Impairment::ResponsesDropped);
        send(&mut server, b"lost").await;
        proxy.set_impairment(Impairment::None);
        send(&mut server, b"last").await;
        drop(server);
        let mut received = Vec::new();
        let end = client.read_to_end(&mut received).await;
        assert_eq!(String::from_utf8_lossy(&received), "first");
        assert!(end.is_err(), "the connection ended as if nothing were lost");
    });
}
