//! Processes of daemons, and the folder of their settings.

use std::{
    ffi::c_int,
    fs,
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddrV4, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use super::sockets;

unsafe extern "C" {
    fn kill(process: c_int, signal: c_int) -> c_int;
}

pub const SIGTERM: c_int = 15;

/// Sends a signal to a process that the test started.
pub fn send_signal(child: &Child, signal: c_int) {
    // SAFETY: the call takes plain numbers.
    unsafe { kill(child.id() as c_int, signal) };
}

/// A daemon in a process of its own, started as the deploy file says.
pub struct Daemon {
    pub child: Child,
    pub front: SocketAddrV4,
    ready: SocketAddrV4,
}

impl Daemon {
    /// Starts a daemon on a loopback address of its own. `machine` holds the sections of the
    /// settings with its limits and bounds.
    pub fn start(
        directory: &Path,
        number: u8,
        zone: &str,
        store: SocketAddrV4,
        machine: &str,
    ) -> Self {
        let ip = Ipv4Addr::new(127, 0, 6, number);
        // All are open until each has its port.
        let listeners = [ip; 4].map(sockets::listen);
        let [front, ready, peers, metrics] = listeners.map(|(_, address)| address);
        let low_port = peers.port().min(metrics.port());
        let high_port = peers.port().max(metrics.port());
        let settings = format!(
            "node_name = \"front-{number}\"\nrole = \"daemon\"\nmachine_class = \"front\"\n\
             serves = [\"front\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"region\"\n\
             internal_ports = [{low_port}, {high_port}]\nseeds = []\nbootstrap = true\nheartbeat_ms = 1200\n\
             [listen]\nfront = \"{front}\"\nready = \"{ready}\"\n\
             [platform]\naddress = \"{store}\"\n{machine}"
        );
        let path = directory.join(format!("front-{number}.toml"));
        let fail = |step: &str, err: io::Error| -> ! { panic!("{step} {}: {err}", path.display()) };
        fs::write(&path, settings).unwrap_or_else(|err| fail("write the settings", err));
        let child = Command::new("target/release/cyclamengauged")
            .arg("gateway")
            .env("CYCLAMENGAUGE_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .unwrap_or_else(|err| fail("start target/release/cyclamengauged with", err));
        Self {
            child,
            front,
            ready,
        }
    }

    /// Waits until the daemon says that it is ready.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if let Ok(mut stream) = TcpStream::connect(self.ready) {
                let mut text = String::new();
                let sent = stream.write_all(
                    b"GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n",
                );
                if sent.is_ok()
                    && stream.read_to_string(&mut text).is_ok()
                    && text.starts_with("HTTP/1.1 200")
                {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A temporary folder that is removed on drop.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        match fs::create_dir_all(&path) {
            Ok(()) => Self(path),
            Err(err) => panic!("create the folder {}: {err}", path.display()),
        }
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
