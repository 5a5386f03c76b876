//! Stand-in for a server (a worker) that runs requests and registers itself in the store.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Conn, Message, response};
use crate::record::Record;
use crate::store::Store;

pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
const FILL_TIMEOUT: Duration = Duration::from_millis(100);

unsafe extern "C" {
    fn listen(fd: i32, backlog: i32) -> i32;
}

/// How a server answers the requests that it runs.
#[derive(Clone, Copy)]
pub struct Answers {
    /// Time for which it works on a request.
    pub work: Duration,
    pub bytes: usize,
}

struct Shared {
    id: String,
    service: String,
    addr: SocketAddr,
    slots: u32,
    born: u64,
    answers: Answers,
    record: Record,
    /// Time at which each request arrived, by its id.
    arrivals: Mutex<Vec<(String, u64)>>,
    connections: Mutex<HashMap<u64, TcpStream>>,
    running: AtomicU64,
    is_draining: AtomicBool,
    /// True once its machine has lost power: it neither answers nor lets connections be opened.
    is_dark: AtomicBool,
    has_ended: AtomicBool,
    sequence: AtomicU64,
    listener: TcpListener,
    /// Connections that keep others from being opened.
    fillers: Mutex<Vec<TcpStream>>,
    /// State that the store has of it.
    reported: Mutex<Option<String>>,
}

/// A running server. Clones are the same one.
#[derive(Clone)]
pub struct Server(Arc<Shared>);

impl Server {
    /// Starts a server and registers it.
    pub fn start(
        id: &str,
        service: &str,
        addr: SocketAddr,
        answers: Answers,
        store: &Store,
        record: &Record,
    ) -> io::Result<Server> {
        let listener = TcpListener::bind(addr)?;
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let server = Server(Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            addr,
            slots: 8,
            born: born.as_millis() as u64,
            answers,
            record: record.clone(),
            arrivals: Mutex::default(),
            connections: Mutex::default(),
            running: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            is_dark: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            listener: listener.try_clone()?,
            fillers: Mutex::default(),
            reported: Mutex::default(),
        }));
        server.report(store);
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(&listener));
        let (reporting, store) = (server.clone(), store.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT_INTERVAL);
                if reporting.0.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                reporting.report(&store);
            }
        });
        Ok(server)
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    /// Reports that it leaves; the return is the store's acknowledgement.
    pub fn drain(&self, store: &Store) {
        self.0.is_draining.store(true, Ordering::SeqCst);
        self.report(store);
    }

    /// Exits: what it still works on is broken off.
    pub fn exit(&self, store: &Store) {
        self.0.has_ended.store(true, Ordering::SeqCst);
        store.delete("servers", &self.0.id);
        // Wakes the thread that accepts, which closes the listener.
        let _woken = TcpStream::connect(self.0.addr);
        for stream in self.0.connections.lock().unwrap().values() {
            let _may_be_closed = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Goes dark, as a machine without power: connections stay open without an answer, and no more are opened.
    pub fn go_dark(&self) {
        self.0.is_dark.store(true, Ordering::SeqCst);
        // The thread that accepts ends; the shortest queue for connections is soon full.
        let _woken = TcpStream::connect(self.0.addr);
        unsafe {
            listen(self.0.listener.as_raw_fd(), 0);
        }
        while let Ok(filler) = TcpStream::connect_timeout(&self.0.addr, FILL_TIMEOUT) {
            self.0.fillers.lock().unwrap().push(filler);
        }
    }

    /// Has the store remove its entry, after three intervals without a heartbeat.
    pub fn expire(&self, store: &Store) {
        store.delete("servers", &self.0.id);
    }

    /// Returns the ids of the requests that it has begun to run, with the time of each.
    pub fn arrivals(&self) -> Vec<(String, u64)> {
        self.0.arrivals.lock().unwrap().clone()
    }

    /// Returns the number of requests that it works on.
    pub fn running(&self) -> u64 {
        self.0.running.load(Ordering::SeqCst)
    }

    fn report(&self, store: &Store) {
        let s = &self.0;
        if s.has_ended.load(Ordering::SeqCst) || self.is_dark() {
            return;
        }
        let state = if s.is_draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"here\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"cold-remaining-ms\":0,\"sequence\":{},\"born\":{}}}",
            s.service,
            s.addr,
            s.slots,
            s.sequence.fetch_add(1, Ordering::SeqCst) + 1,
            s.born
        );
        // A beat that changes nothing but the sequence changes no entry.
        let mut reported = s.reported.lock().unwrap();
        if reported.as_deref() != Some(state) {
            store.put("servers", &s.id, &entry);
            *reported = Some(state.to_owned());
        }
    }

    fn accept(&self, listener: &TcpListener) {
        for (n, stream) in listener.incoming().flatten().enumerate() {
            if self.0.has_ended.load(Ordering::SeqCst) || self.is_dark() {
                return;
            }
            if let Ok(other) = stream.try_clone() {
                self.0.connections.lock().unwrap().insert(n as u64, other);
            }
            let server = self.clone();
            thread::spawn(move || {
                let _ended_by_either_side = server.serve(stream);
                server.0.connections.lock().unwrap().remove(&(n as u64));
            });
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut conn = Conn::new(stream)?;
        while let Some(req) = conn.read_message()? {
            let bytes = self.answer(&req);
            while self.is_dark() {
                thread::sleep(HEARTBEAT_INTERVAL);
            }
            conn.write(&bytes)?;
        }
        Ok(())
    }

    fn is_dark(&self) -> bool {
        self.0.is_dark.load(Ordering::SeqCst)
    }

    fn answer(&self, req: &Message) -> Vec<u8> {
        let s = &self.0;
        if self.is_dark() {
            return Vec::new();
        }
        let id = req.header("attempt-id").unwrap_or("-").to_owned();
        let mut headers = vec![("Attempt-Id", id.clone()), ("Instance-Id", s.id.clone())];
        if req.target() == "/stoatjunction/report" {
            let body = format!("{{\"born\":{}}}", s.born);
            return response("200 OK", &headers, body.as_bytes());
        }
        if req.target() == "/health" {
            return response("200 OK", &headers, b"");
        }
        if req.header("expected-instance").is_some_and(|e| e != s.id) {
            s.record
                .add(&format!("server {} rejects {id} with 421", s.id));
            headers.push(("Not-Executed", "1".to_owned()));
            return response("421 Misdirected Request", &headers, b"");
        }
        s.arrivals
            .lock()
            .unwrap()
            .push((id.clone(), s.record.now_ms()));
        s.record.add(&format!(
            "server {} runs {id} tenant={}",
            s.id,
            req.header("tenant").unwrap_or("-")
        ));
        s.running.fetch_add(1, Ordering::SeqCst);
        thread::sleep(s.answers.work);
        s.running.fetch_sub(1, Ordering::SeqCst);
        headers.push(("Server-Stamp", format!("stamp.{}.{id}", s.id)));
        headers.push(("Server-Load", format!("1,0,{}", s.slots)));
        let body: Vec<u8> = (0..s.answers.bytes)
            .map(|n| b'a' + (n % 23) as u8)
            .collect();
        response("200 OK", &headers, &body)
    }
}
