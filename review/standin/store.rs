//! Stand-in for the platform's metadata store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Message, response};

/// Maximum objects on a page of a list.
const PAGE_SIZE: usize = 500;
const MAX_WAIT_MS: u64 = 30_000;

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    /// JSON text as it was written.
    specification: String,
    status: String,
}

impl Object {
    fn json(&self, name: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\"deleting\":false}},\"specification\":{},\"status\":{}}}",
            self.revision, self.created, self.specification, self.status
        )
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind and JSON text of each event.
    history: Vec<(u64, String, String)>,
}

impl State {
    fn put(
        &mut self,
        kind: &str,
        name: &str,
        specification: Option<&str>,
        status: Option<&str>,
    ) -> &Object {
        let key = (kind.to_owned(), name.to_owned());
        let before = self.objects.get(&key).cloned();
        self.revision += 1;
        let before = before.unwrap_or(Object {
            revision: 0,
            created: self.revision,
            specification: "null".to_owned(),
            status: "null".to_owned(),
        });
        let object = Object {
            revision: self.revision,
            created: before.created,
            specification: specification.map_or(before.specification, str::to_owned),
            status: status.map_or(before.status, str::to_owned),
        };
        let event = format!("{{\"object\":{},\"deleted\":false}}", object.json(name));
        self.history.push((self.revision, kind.to_owned(), event));
        self.objects.insert(key.clone(), object);
        &self.objects[&key]
    }

    fn delete(&mut self, kind: &str, name: &str) -> bool {
        let removed = self.objects.remove(&(kind.to_owned(), name.to_owned()));
        let Some(mut object) = removed else {
            return false;
        };
        self.revision += 1;
        object.revision = self.revision;
        let event = format!("{{\"object\":{},\"deleted\":true}}", object.json(name));
        self.history.push((self.revision, kind.to_owned(), event));
        true
    }
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(addr: SocketAddr) -> io::Result<Store> {
        let listener = TcpListener::bind(addr)?;
        let store = Store {
            shared: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an object as the operator, a server or another writer; the return is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, specification: &str) {
        self.change(|state| {
            state.put(kind, name, Some(specification), None);
        });
    }

    pub fn delete(&self, kind: &str, name: &str) {
        self.change(|state| {
            state.delete(kind, name);
        });
    }

    fn change<F, T>(&self, f: F) -> T
    where
        F: FnOnce(&mut State) -> T,
    {
        let (state, changed) = &*self.shared;
        let result = f(&mut state.lock().unwrap());
        changed.notify_all();
        result
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut conn = Conn::new(stream)?;
        while let Some(req) = conn.read_message()? {
            let (status, body) = self.answer(&req);
            let headers = [("Content-Type", "application/json".to_owned())];
            conn.write(&response(status, &headers, body.as_bytes()))?;
        }
        Ok(())
    }

    fn answer(&self, req: &Message) -> (&'static str, String) {
        let not_found = ("404 Not Found", "{}".to_owned());
        let (path, query) = req.target().split_once('?').unwrap_or((req.target(), ""));
        let Some(path) = path.strip_prefix("/stoatjunction/objects/") else {
            return not_found;
        };
        let mut parts = path.split('/');
        let kind = parts.next().unwrap_or("");
        let body = String::from_utf8_lossy(&req.body).into_owned();
        match (req.method(), parts.next(), parts.next()) {
            ("GET", None, _) => match query_value(query, "watch") {
                Some(since) => self.watch(kind, since.parse().unwrap_or(0), query),
                None => self.list(kind, query),
            },
            ("GET", Some(name), _) => {
                let state = self.shared.0.lock().unwrap();
                let object = state.objects.get(&(kind.to_owned(), name.to_owned()));
                object.map_or(not_found, |o| ("200 OK", o.json(name)))
            }
            ("POST", None, _) => self.change(|state| {
                let name = text_field(&body, "name");
                if let Some(o) = state.objects.get(&(kind.to_owned(), name.clone())) {
                    return ("409 Conflict", o.json(&name));
                }
                let specification = object_field(&body, "specification");
                (
                    "201 Created",
                    state
                        .put(kind, &name, Some(&specification), None)
                        .json(&name),
                )
            }),
            ("PUT", Some(name), part) => self.change(|state| {
                let Some(known) = state.objects.get(&(kind.to_owned(), name.to_owned())) else {
                    return not_found;
                };
                let revision = number_field(&body, "revision");
                if revision.is_some_and(|r| r != known.revision) {
                    return ("409 Conflict", known.json(name));
                }
                let object = match part {
                    Some(_) => state.put(kind, name, None, Some(&object_field(&body, "status"))),
                    None => state.put(
                        kind,
                        name,
                        Some(&object_field(&body, "specification")),
                        None,
                    ),
                };
                ("200 OK", object.json(name))
            }),
            ("DELETE", Some(name), _) => match self.change(|state| state.delete(kind, name)) {
                true => ("200 OK", "{}".to_owned()),
                false => not_found,
            },
            _ => ("400 Bad Request", "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str, query: &str) -> (&'static str, String) {
        let state = self.shared.0.lock().unwrap();
        let after = query_value(query, "after-revision").unwrap_or("");
        let all = state
            .objects
            .iter()
            .filter(|((k, name), _)| k == kind && name.as_str() > after);
        let all: Vec<String> = all.map(|((_, name), o)| o.json(name)).collect();
        let page = &all[..all.len().min(PAGE_SIZE)];
        let body = format!(
            "{{\"items\":[{}],\"has-more\":{},\"at\":{}}}",
            page.join(","),
            all.len() > page.len(),
            state.revision
        );
        ("200 OK", body)
    }

    fn watch(&self, kind: &str, since: u64, query: &str) -> (&'static str, String) {
        let wait = query_value(query, "wait-ms").and_then(|v| v.parse().ok());
        let wait = Duration::from_millis(wait.unwrap_or(0).min(MAX_WAIT_MS));
        let ends_at = Instant::now() + wait;
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        loop {
            let events = state
                .history
                .iter()
                .filter(|(r, k, _)| *r > since && k == kind);
            let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
            let left = ends_at.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"at\":{}}}",
                    events.join(","),
                    state.revision
                );
                return ("200 OK", body);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs.filter(|(n, _)| *n == name).map(|(_, v)| v).next()
}

fn after_field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let (_, rest) = text.split_once(&format!("\"{name}\":"))?;
    Some(rest.trim_start())
}

fn text_field(text: &str, name: &str) -> String {
    let value = after_field(text, name).and_then(|v| v.strip_prefix('"'));
    let value = value.and_then(|v| v.split_once('"'));
    value.map(|(v, _)| v.to_owned()).unwrap_or_default()
}

fn number_field(text: &str, name: &str) -> Option<u64> {
    let value = after_field(text, name)?;
    let end = value
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(value.len());
    value[..end].parse().ok()
}

/// Returns the text of a field that is a table.
fn object_field(text: &str, name: &str) -> String {
    let Some(value) = after_field(text, name) else {
        return "null".to_owned();
    };
    let (mut depth, mut is_text, mut is_escaped) = (0, false, false);
    for (n, c) in value.char_indices() {
        match c {
            _ if is_escaped => is_escaped = false,
            '\\' if is_text => is_escaped = true,
            '"' => is_text = !is_text,
            '{' | '[' if !is_text => depth += 1,
            '}' | ']' if !is_text => depth -= 1,
            _ => {}
        }
        if depth == 0 && !is_text && (c == '}' || c == ']') {
            return value[..=n].to_owned();
        }
    }
    "null".to_owned()
}
