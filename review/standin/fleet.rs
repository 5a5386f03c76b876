//! Hosts of the system as processes, with addresses of their own, and their settings.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Conn;

const SIGKILL: u64 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// Ports of a fleet, the same at all of its addresses: callers, readiness, store, and 16 for hosts among themselves.
const PORT_COUNT: u16 = 20;
const MAX_ADDRESSES: u8 = 40;
/// Option of prctl: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, arg: u64, ...) -> i32;
}

/// Bounds of a deployment as the settings name them.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub stable_window_ms: u64,
    pub drain_ms: u64,
    pub configuration_ms: u64,
    pub grace_s: u64,
}

/// Addresses and a temporary folder of one run.
pub struct Place {
    subnet: (u8, u8),
    base_port: u16,
    pub folder: PathBuf,
}

impl Place {
    /// Finds a loopback subnet in which all ports are free.
    pub fn find() -> io::Result<Place> {
        let pid = std::process::id();
        for n in 0..200_u32 {
            let draw = pid.wrapping_mul(31).wrapping_add(n * 7);
            let subnet = ((64 + draw % 120) as u8, (draw / 120 % 250) as u8);
            let base_port = 20_000 + (draw % 500) as u16 * 20;
            if is_free(subnet, base_port) {
                let folder = std::env::temp_dir().join(format!("stoatjunction-review-{pid}"));
                std::fs::create_dir_all(&folder)?;
                return Ok(Place {
                    subnet,
                    base_port,
                    folder,
                });
            }
        }
        Err(io::Error::from(io::ErrorKind::AddrInUse))
    }

    pub fn ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet.0, self.subnet.1, number)
    }

    pub fn callers(&self, host: u8) -> SocketAddr {
        SocketAddr::from((self.ip(host), self.base_port))
    }

    fn ready(&self, host: u8) -> SocketAddr {
        SocketAddr::from((self.ip(host), self.base_port + 1))
    }

    pub fn store(&self) -> SocketAddr {
        SocketAddr::from((self.ip(30), self.base_port + 2))
    }

    /// Returns the address of a server; one port serves all, since their numbers differ.
    pub fn server(&self, number: u8) -> SocketAddr {
        SocketAddr::from((self.ip(number), self.base_port + 2))
    }

    fn settings(&self, host: u8, zone: &str, bounds: Bounds, is_first_start: bool) -> String {
        let ip = self.ip(host);
        let inner = self.base_port + 4;
        format!(
            r#"node-name = "front-{zone}-{host}"
role = "entry"
machine-class = "front"
serves = ["front", "control"]
ip-address = "{ip}"
zone = "{zone}"
region = "region"
internal-port-range = [{inner}, {}]
seeds = ["{}:{}"]
bootstrap = {is_first_start}
[listen]
front = "{}"
ready = "{}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = 260
file-descriptors = 4100
[bounds]
stable-window-ms = {}
drain-ms = {}
configuration-ms = {}
grace-s = {}
retry-budget-ratio = 0.2
budget-window-s = 10
budget-extra-retries = 54
quota-overage = 0.1
quota-slack = 140000
[platform]
address = "{}"
"#,
            inner + 15,
            self.ip(1),
            self.base_port + 3,
            self.callers(host),
            self.ready(host),
            bounds.stable_window_ms,
            bounds.drain_ms,
            bounds.configuration_ms,
            bounds.grace_s,
            self.store()
        )
    }
}

fn is_free(subnet: (u8, u8), base_port: u16) -> bool {
    (1..=MAX_ADDRESSES).all(|n| {
        let ip = Ipv4Addr::new(127, subnet.0, subnet.1, n);
        let ports = base_port..base_port + PORT_COUNT;
        let mut ports = ports.filter(|p| n < 3 || *p < base_port + 6);
        ports.all(|p| TcpListener::bind((ip, p)).is_ok() && UdpSocket::bind((ip, p)).is_ok())
    })
}

/// A process of the system. It is killed when it is dropped.
pub struct Host {
    pub number: u8,
    child: Child,
}

impl Host {
    /// Starts the program that the deploy file names, in the folder of the repository.
    pub fn start(
        place: &Place,
        number: u8,
        zone: &str,
        bounds: Bounds,
        is_first_start: bool,
    ) -> io::Result<Host> {
        let path = place.folder.join(format!("{number}.toml"));
        std::fs::write(&path, place.settings(number, zone, bounds, is_first_start))?;
        let log = place.folder.join(format!("{number}.log"));
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)?;
        let mut command = Command::new("target/release/stoatjunction-platform");
        command
            .env("STOATJUNCTION_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // A process must not outlive its case, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn()?;
        Ok(Host { number, child })
    }

    pub fn signal(&self, signal: i32) {
        unsafe {
            kill(self.child.id() as i32, signal);
        }
    }

    /// Waits until the process says that it is ready.
    pub fn wait_ready(&self, place: &Place, limit: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < limit {
            if is_ready(place.ready(self.number)) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _may_have_ended = self.child.kill();
        let _reaped = self.child.wait();
    }
}

fn is_ready(addr: SocketAddr) -> bool {
    let ask = || -> io::Result<bool> {
        let mut conn = Conn::open(addr)?;
        conn.write(
            b"GET /stoatjunction/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n",
        )?;
        Ok(conn.read_message()?.is_some_and(|m| m.status() == 200))
    };
    ask().unwrap_or(false)
}
