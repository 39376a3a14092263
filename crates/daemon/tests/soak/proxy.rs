//! A loopback proxy that impairs the connections it carries.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp},
    sync::Notify,
};

/// How connections fare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Impairment {
    /// Bytes pass.
    None,
    /// Bytes pass late.
    Delayed(Duration),
    /// All connections are reset, and new ones as soon as they are there.
    Reset,
    /// What the server sends is lost: requests arrive, answers don't.
    AnswersLost,
    /// What the client sends is lost.
    RequestsLost,
    /// Nothing passes either way, and nothing is closed.
    Silent,
}

impl Impairment {
    /// One of the kinds, as often as the others.
    pub fn draw(rng: &mut fastrand::Rng) -> Self {
        match rng.u32(..6) {
            0 => Self::None,
            1 => Self::Delayed(Duration::from_millis(rng.u64(1..400))),
            2 => Self::Reset,
            3 => Self::AnswersLost,
            4 => Self::RequestsLost,
            _ => Self::Silent,
        }
    }

    fn loses(self, to_server: bool) -> bool {
        match self {
            Self::AnswersLost => !to_server,
            Self::RequestsLost => to_server,
            Self::None | Self::Delayed(_) | Self::Reset | Self::Silent => false,
        }
    }
}

/// A proxy before one server.
pub struct Proxy {
    pub address: SocketAddr,
    impairment: Cell<Impairment>,
    changed: Notify,
}

impl Proxy {
    /// Starts a proxy on an address from the system.
    pub async fn start(server: SocketAddr) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Rc::new(Self {
            address: listener.local_addr().unwrap(),
            impairment: Cell::new(Impairment::None),
            changed: Notify::new(),
        });
        let state = Rc::clone(&proxy);
        actix_rt::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                actix_rt::spawn(carry(Rc::clone(&state), client, server));
            }
        });
        proxy
    }

    /// Impairs open and new connections from now on.
    pub fn set(&self, impairment: Impairment) {
        self.impairment.set(impairment);
        self.changed.notify_waiters();
    }
}

async fn carry(proxy: Rc<Proxy>, client: TcpStream, server: SocketAddr) {
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    for stream in [&client, &server] {
        // Small messages must not wait for each other; the impairment decides.
        let _ = stream.set_nodelay(true);
        // Closing resets, as nothing may be delivered after a reset.
        let _ = stream.set_zero_linger();
    }
    let ((from_client, to_client), (from_server, to_server)) =
        (client.into_split(), server.into_split());
    tokio::select! {
        () = until_reset(&proxy) => {}
        () = async {
            tokio::join!(
                pass(&proxy, from_client, to_server, true),
                pass(&proxy, from_server, to_client, false),
            );
        } => {}
    }
}

async fn until_reset(proxy: &Proxy) {
    while proxy.impairment.get() != Impairment::Reset {
        proxy.changed.notified().await;
    }
}

/// Carries one direction to its end.
async fn pass(
    proxy: &Proxy,
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    to_server: bool,
) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer).await;
        while proxy.impairment.get() == Impairment::Silent {
            proxy.changed.notified().await;
        }
        if let Impairment::Delayed(time) = proxy.impairment.get() {
            actix_rt::time::sleep(time).await;
        }
        let impairment = proxy.impairment.get();
        match read {
            Ok(0) | Err(_) => {
                // The end of the connection has to reach the other side too.
                let _ = to.shutdown().await;
                return;
            }
            Ok(_) if impairment.loses(to_server) => {}
            Ok(length) => {
                if to.write_all(&buffer[..length]).await.is_err() {
                    return;
                }
            }
        }
    }
}
