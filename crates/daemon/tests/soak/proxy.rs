//! A loopback proxy that impairs the connections it carries.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp},
    sync::Notify,
};

/// Effect of a proxy on all connections through it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Impairment {
    /// Forwards all bytes.
    None,
    /// Forwards the bytes of each read after a delay.
    Delayed(Duration),
    /// Resets open connections, and new ones once the proxy has connected to the server.
    Reset,
    /// Drops bytes from the server: requests arrive, responses do not. A connection that
    /// lost bytes delivers no later ones in that direction.
    ResponsesDropped,
    /// Drops bytes from the client, in the same way.
    RequestsDropped,
    /// Holds back bytes and the close of connections until the impairment changes.
    Stalled,
}

impl Impairment {
    /// Returns each variant with equal probability.
    pub fn random(rng: &mut fastrand::Rng) -> Self {
        match rng.u32(..6) {
            0 => Self::None,
            1 => Self::Delayed(Duration::from_millis(rng.u64(1..400))),
            2 => Self::Reset,
            3 => Self::ResponsesDropped,
            4 => Self::RequestsDropped,
            _ => Self::Stalled,
        }
    }

    /// Whether bytes in the given direction are dropped.
    fn is_lossy(self, to_server: bool) -> bool {
        match self {
            Self::ResponsesDropped => !to_server,
            Self::RequestsDropped => to_server,
            Self::None | Self::Delayed(_) | Self::Reset | Self::Stalled => false,
        }
    }
}

/// A proxy for one server.
pub struct Proxy {
    pub address: SocketAddr,
    impairment: Cell<Impairment>,
    impairment_changed: Notify,
}

impl Proxy {
    /// Starts a proxy on a loopback port that the system assigns.
    pub async fn start(server_address: SocketAddr) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Rc::new(Self {
            address: listener.local_addr().unwrap(),
            impairment: Cell::new(Impairment::None),
            impairment_changed: Notify::new(),
        });
        let state = Rc::clone(&proxy);
        actix_rt::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                actix_rt::spawn(forward_connection(
                    Rc::clone(&state),
                    client,
                    server_address,
                ));
            }
        });
        proxy
    }

    /// Sets the impairment of open and new connections.
    pub fn set_impairment(&self, impairment: Impairment) {
        self.impairment.set(impairment);
        self.impairment_changed.notify_waiters();
    }
}

async fn forward_connection(proxy: Rc<Proxy>, client: TcpStream, server_address: SocketAddr) {
    let Ok(server) = TcpStream::connect(server_address).await else {
        return;
    };
    for stream in [&client, &server] {
        // Nagle's algorithm would delay small messages; only the impairment may.
        let _ = stream.set_nodelay(true);
        // With zero linger, a close sends RST: nothing may be delivered after a reset.
        let _ = stream.set_zero_linger();
    }
    let ((from_client, to_client), (from_server, to_server)) =
        (client.into_split(), server.into_split());
    tokio::select! {
        () = wait_for_reset(&proxy) => {}
        // Dropping the sockets resets the connection.
        _ = async {
            tokio::try_join!(
                forward_bytes(&proxy, from_client, to_server, true),
                forward_bytes(&proxy, from_server, to_client, false),
            )
        } => {}
    }
}

async fn wait_for_reset(proxy: &Proxy) {
    while proxy.impairment.get() != Impairment::Reset {
        proxy.impairment_changed.notified().await;
    }
}

/// Bytes of a connection were lost before it ended.
struct BytesLost;

/// Forwards one direction of a connection until it ends.
async fn forward_bytes(
    proxy: &Proxy,
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    to_server: bool,
) -> Result<(), BytesLost> {
    let mut has_gap = false;
    let mut buffer = [0; 16 * 1024];
    loop {
        let read_result = from.read(&mut buffer).await;
        while proxy.impairment.get() == Impairment::Stalled {
            proxy.impairment_changed.notified().await;
        }
        if let Impairment::Delayed(delay) = proxy.impairment.get() {
            actix_rt::time::sleep(delay).await;
        }
        let impairment = proxy.impairment.get();
        match read_result {
            Ok(0) | Err(_) if has_gap => {
                // Dropping the half would end the stream as if it were complete.
                to.forget();
                return Err(BytesLost);
            }
            Ok(0) | Err(_) => {
                // Forward the close, also when the impairment drops bytes.
                let _ = to.shutdown().await;
                return Ok(());
            }
            Ok(_) if has_gap || impairment.is_lossy(to_server) => has_gap = true,
            Ok(length) => {
                if to.write_all(&buffer[..length]).await.is_err() {
                    return Ok(());
                }
            }
        }
    }
}
