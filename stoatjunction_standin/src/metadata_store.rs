//! Stand-in for the users' metadata store: objects with revisions, watches, a history that can be
//! compacted, and outages.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use stoatjunction_net::http::{Body, full, serve};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};

use crate::uri_text::{Malformed, decode_query, decode_segment};

/// Maximum wait of a watch in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;
/// Maximum number of objects on one page of a list, unless another one is set.
const DEFAULT_PAGE_SIZE: usize = 50;

/// Maximum number of pages that are kept.
const MAX_PAGES: usize = 64;

/// How the store responds to requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseMode {
    /// Responds normally.
    #[default]
    Normal,
    /// Responds to every request with 503.
    Unavailable,
    /// Never responds.
    Hang,
}

/// A copy of the store's data.
#[derive(Clone, Debug, Default)]
pub struct StoreCopy {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    history: Vec<(u64, String, Value)>,
    compacted_to: u64,
}

#[derive(Debug, Default)]
struct State {
    data: StoreCopy,
    /// Number of times that the store came back from a copy.
    era: u64,
    mode: ResponseMode,
    /// Number of times that all open connections went silent.
    silences: u64,
    /// Kind and revision of each watch that waits.
    watches: Vec<(String, u64)>,
    calls: u64,
    /// Calls by kind of object.
    calls_by_kind: BTreeMap<String, u64>,
    /// Reads that were answered, the oldest first.
    reads: Vec<Read>,
    /// Maximum number of objects on one page of a list, if another than the default one.
    page_size: Option<usize>,
    /// Pages of lists by kind, first name, and era and revision of the data, since making them takes most of the time.
    pages: BTreeMap<PageKey, Bytes>,
    /// Data that lists get which may be old, if it is older than the present data.
    old_data: Option<StoreCopy>,
    /// Number of following conditional writes that take effect but whose responses are lost.
    responses_to_lose: u32,
    /// Texts that stand in responses in place of these strings.
    replacements: Vec<(String, Bytes)>,
    status_writes: Vec<StatusWrite>,
}

/// Kind, name after which the page begins, era and revision.
type PageKey = (String, Option<String>, u64, u64);

/// A list or a watch that was answered.
#[derive(Clone, Debug)]
pub struct Read {
    /// Kind of the objects.
    pub kind: String,
    /// True if the caller accepts data that is seconds old, so that the call does not count toward the rate.
    pub may_be_stale: bool,
    /// Size of the response in bytes.
    pub bytes: usize,
    /// Time at which the request arrived.
    pub at: Instant,
}

/// A status that was written, in the order of the writes.
#[derive(Clone, Debug)]
pub struct StatusWrite {
    /// Kind of the object.
    pub kind: String,
    /// Name of the object.
    pub name: String,
    /// The status.
    pub status: Value,
    /// Time of the write.
    pub at: Instant,
}

/// What a conditional write replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Specification,
    Status,
}

/// A running metadata store.
#[derive(Clone, Debug)]
pub struct MetadataStore {
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    /// Texts that stand in responses at this address in place of others.
    view: Arc<Vec<(String, Bytes)>>,
    _open: Arc<watch::Sender<bool>>,
}

impl StoreCopy {
    fn put(&mut self, kind: &str, name: &str, specification: Value) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        let (created, status) = match self.objects.get(&key) {
            Some(before) => (
                before["metadata"]["created"].clone(),
                before["status"].clone(),
            ),
            None => (json!(self.revision + 1), Value::Null),
        };
        let object = json!({
            "metadata": {"name": name, "created": created, "finalizers": [], "deleting": false},
            "specification": specification,
            "status": status,
        });
        self.insert(kind, name, object)
    }

    /// Stores an object under the next revision, which is returned.
    fn insert(&mut self, kind: &str, name: &str, mut object: Value) -> u64 {
        self.revision += 1;
        object["metadata"]["revision"] = json!(self.revision);
        let event = json!({"object": object, "deleted": false});
        let key = (kind.to_owned(), name.to_owned());
        self.objects.insert(key, object);
        self.history.push((self.revision, kind.to_owned(), event));
        self.revision
    }
}

impl MetadataStore {
    /// Starts a store on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if no port can be bound.
    pub async fn start() -> std::io::Result<MetadataStore> {
        MetadataStore::serve(Arc::default(), Arc::default(), Vec::new()).await
    }

    /// Starts another address of the same store, at which a string stands in responses in place of another one, as the
    /// address at which a host reaches an upstream does.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if no port can be bound.
    pub async fn start_view<I>(&self, strings: I) -> std::io::Result<MetadataStore>
    where
        I: IntoIterator<Item = (String, String)>,
    {
        let quoted = |s: String| format!("\"{s}\"");
        let strings = strings.into_iter();
        let view = strings.map(|(from, to)| (quoted(from), Bytes::from(quoted(to))));
        MetadataStore::serve(self.state.clone(), self.changed.clone(), view.collect()).await
    }

    async fn serve(
        state: Arc<Mutex<State>>,
        changed: Arc<Notify>,
        view: Vec<(String, Bytes)>,
    ) -> std::io::Result<MetadataStore> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let (tx, rx) = watch::channel(false);
        let store = MetadataStore {
            addr,
            state,
            changed,
            view: Arc::new(view),
            _open: Arc::new(tx),
        };
        let serving = store.clone();
        let handle = move |req: Request<Incoming>, _| {
            let store = serving.clone();
            async move { store.handle(req).await }
        };
        tokio::spawn(serve(listener, rx, handle));
        Ok(store)
    }

    /// Returns the address of the store.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of requests received.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Returns the number of requests received for a kind of objects.
    pub fn calls_for(&self, kind: &str) -> u64 {
        let state = self.lock();
        state.calls_by_kind.get(kind).copied().unwrap_or_default()
    }

    /// Returns the lists and watches that were answered, the oldest first.
    pub fn reads(&self) -> Vec<Read> {
        self.lock().reads.clone()
    }

    /// Sets the maximum number of objects on one page of a list.
    pub fn set_page_size(&self, objects: usize) {
        let mut state = self.lock();
        state.page_size = Some(objects);
        state.pages.clear();
    }

    /// Answers lists that may be old from the present data from now on, whatever is written.
    pub fn freeze_stale_lists(&self) {
        let mut state = self.lock();
        state.old_data = Some(state.data.clone());
    }

    /// Loses the responses of this many conditional writes from now on, which take effect.
    pub fn lose_responses(&self, writes: u32) {
        self.lock().responses_to_lose = writes;
    }

    /// Returns the statuses that were written, the oldest first.
    pub fn status_writes(&self) -> Vec<StatusWrite> {
        self.lock().status_writes.clone()
    }

    /// Returns the number of watches on a kind that wait for its next change.
    pub fn waiting_watches(&self, kind: &str) -> usize {
        let state = self.lock();
        let changes = state.data.history.iter().filter(|(_, k, _)| k == kind);
        let newest = changes.map(|(revision, _, _)| *revision).max().unwrap_or(0);
        let watches = state.watches.iter();
        watches
            .filter(|(k, since)| k == kind && *since >= newest)
            .count()
    }

    /// Changes how the store responds to new requests. Pending requests are not affected.
    pub fn set_response_mode(&self, mode: ResponseMode) {
        self.lock().mode = mode;
        self.changed.notify_waiters();
    }

    /// Lets all requests in progress go without a response, as if their connections were dead without a
    /// reset. New ones are answered.
    pub fn silence_connections(&self) {
        self.lock().silences += 1;
    }

    /// Writes an object and returns its revision. A replaced object keeps its status.
    pub fn put(&self, kind: &str, name: &str, specification: Value) -> u64 {
        let revision = self.lock().data.put(kind, name, specification);
        self.changed.notify_waiters();
        revision
    }

    /// Writes an object whose specification stands in responses as this text, which need not be JSON.
    pub fn put_text(&self, kind: &str, name: &str, text: &[u8]) {
        let mut state = self.lock();
        let mark = format!("text-{}", state.replacements.len());
        let text = Bytes::copy_from_slice(text);
        state.replacements.push((format!("\"{mark}\""), text));
        drop(state);
        self.put(kind, name, json!(mark));
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.lock();
        let Some(object) = state
            .data
            .objects
            .remove(&(kind.to_owned(), name.to_owned()))
        else {
            return;
        };
        state.data.revision += 1;
        let revision = state.data.revision;
        let event = json!({"object": object, "deleted": true});
        state.data.history.push((revision, kind.to_owned(), event));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Discards the history. Watches from an earlier revision then receive 410.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.data.history.clear();
        state.data.compacted_to = state.data.revision;
    }

    /// Returns a copy of the data.
    pub fn copy(&self) -> StoreCopy {
        self.lock().data.clone()
    }

    /// Comes back from a copy: what was written since is lost, and its revisions are given out again.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.lock();
        state.data = copy;
        state.era += 1;
        drop(state);
        self.changed.notify_waiters();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("store lock is not poisoned")
    }

    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        let (era, silences) = {
            let state = self.lock();
            (state.era, state.silences)
        };
        let mut res = self.respond(req).await;
        if silences != self.lock().silences {
            std::future::pending::<()>().await;
        }
        // A watch that waits while the store comes back from a copy is cut off, like its connection.
        res = self.with_texts(res).await;
        let now = self.lock().era;
        if era != now {
            res = status(StatusCode::GONE);
        }
        res.headers_mut().insert("store-era", now.into());
        res
    }

    /// Puts texts in the place of the strings that stand for them.
    async fn with_texts(&self, res: Response<Body>) -> Response<Body> {
        let mut replacements = self.lock().replacements.clone();
        replacements.extend(self.view.iter().cloned());
        if replacements.is_empty() {
            return res;
        }
        let (head, body) = res.into_parts();
        let body = body.collect().await.map(|b| b.to_bytes());
        let mut body = body.unwrap_or_default().to_vec();
        for (mark, text) in replacements {
            let mark = mark.as_bytes();
            while let Some(at) = body.windows(mark.len()).position(|w| w == mark) {
                body.splice(at..at + mark.len(), text.iter().copied());
            }
        }
        Response::from_parts(head, full(body))
    }

    async fn respond(&self, req: Request<Incoming>) -> Response<Body> {
        let mode = {
            let mut state = self.lock();
            state.calls += 1;
            let kind = req.uri().path().split('/').nth(3).unwrap_or_default();
            *state.calls_by_kind.entry(kind.to_owned()).or_default() += 1;
            state.mode
        };
        match mode {
            ResponseMode::Normal => {}
            ResponseMode::Unavailable => return status(StatusCode::SERVICE_UNAVAILABLE),
            ResponseMode::Hang => std::future::pending().await,
        }
        let path = Path::parse(req.uri().path());
        let query = Query::parse(req.uri().query().unwrap_or_default());
        let (path, query) = match (path, query) {
            (Ok(Some(path)), Ok(query)) => (path, query),
            (Ok(None), _) => return status(StatusCode::NOT_FOUND),
            _ => return status(StatusCode::BAD_REQUEST),
        };
        match (req.method(), path.name.as_deref()) {
            (&Method::GET, None) => self.read_list(&path.kind, query).await,
            (&Method::GET, Some(name)) => {
                let object = self.object(&path.kind, name);
                object.map_or_else(|| status(StatusCode::NOT_FOUND), |o| ok(&o))
            }
            (&Method::PUT, Some(_)) => self.replace(&path, req).await,
            (&Method::POST, None) => self.create(&path.kind, req).await,
            (&Method::DELETE, Some(name)) => self.delete(&path.kind, name),
            _ => status(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    /// Responds to a list or a watch.
    async fn read_list(&self, kind: &str, query: Query) -> Response<Body> {
        let at = Instant::now();
        let may_be_stale = query.may_be_stale;
        let res = match query.watch {
            Some(since) => self.watch(kind, since, query.wait_ms).await,
            None => self.list(kind, query.after.as_deref(), may_be_stale),
        };
        self.lock().reads.push(Read {
            kind: kind.to_owned(),
            may_be_stale,
            bytes: res.body().size_hint().exact().unwrap_or_default() as usize,
            at,
        });
        res
    }

    async fn create(&self, kind: &str, req: Request<Incoming>) -> Response<Body> {
        let Ok(body) = req.into_body().collect().await else {
            return status(StatusCode::BAD_REQUEST);
        };
        let Ok(object) = serde_json::from_slice::<Value>(&body.to_bytes()) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let Some(name) = object["metadata"]["name"].as_str() else {
            return status(StatusCode::BAD_REQUEST);
        };
        if self.object(kind, name).is_some() {
            return status(StatusCode::CONFLICT);
        }
        self.put(kind, name, object["specification"].clone());
        let stored = self.object(kind, name).unwrap_or_default();
        self.answer_write(ok(&stored)).await
    }

    /// Handles the replacement of an object or of its status, on condition that its revision is the one
    /// in the body.
    async fn replace(&self, path: &Path, req: Request<Incoming>) -> Response<Body> {
        let name = path.name.as_deref().unwrap_or_default();
        let Ok(body) = req.into_body().collect().await else {
            return status(StatusCode::BAD_REQUEST);
        };
        let Ok(body) = serde_json::from_slice::<Value>(&body.to_bytes()) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let res = self.replace_part(&path.kind, name, path.part, &body);
        if res.status() == StatusCode::OK {
            self.changed.notify_waiters();
        }
        self.answer_write(res).await
    }

    fn replace_part(&self, kind: &str, name: &str, part: Part, body: &Value) -> Response<Body> {
        let mut state = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        let Some(mut object) = state.data.objects.get(&key).cloned() else {
            return status(StatusCode::NOT_FOUND);
        };
        let expected = &body["metadata"]["revision"];
        if !expected.is_null() && *expected != object["metadata"]["revision"] {
            let mut res = ok(&object);
            *res.status_mut() = StatusCode::CONFLICT;
            return res;
        }
        let before = object.clone();
        match part {
            Part::Specification => object["specification"] = body["specification"].clone(),
            Part::Status => {
                object["status"] = body["status"].clone();
                state.status_writes.push(StatusWrite {
                    kind: kind.to_owned(),
                    name: name.to_owned(),
                    status: body["status"].clone(),
                    at: Instant::now(),
                });
            }
        }
        if object != before {
            state.data.insert(kind, name, object);
        }
        ok(&state.data.objects[&key])
    }

    /// Returns the response to a write, unless it is to be lost.
    async fn answer_write(&self, res: Response<Body>) -> Response<Body> {
        let is_lost = {
            let mut state = self.lock();
            let is_lost = state.responses_to_lose > 0 && res.status() == StatusCode::OK;
            state.responses_to_lose -= u32::from(is_lost);
            is_lost
        };
        if is_lost {
            std::future::pending::<()>().await;
        }
        res
    }

    fn delete(&self, kind: &str, name: &str) -> Response<Body> {
        if self.object(kind, name).is_none() {
            return status(StatusCode::NOT_FOUND);
        }
        self.remove(kind, name);
        ok(&json!({}))
    }

    /// Returns an object.
    pub fn object(&self, kind: &str, name: &str) -> Option<Value> {
        let key = (kind.to_owned(), name.to_owned());
        self.lock().data.objects.get(&key).cloned()
    }

    /// Returns the names of all objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.lock();
        let of_kind = state.data.objects.keys().filter(|(k, _)| k == kind);
        of_kind.map(|(_, name)| name.clone()).collect()
    }

    fn list(&self, kind: &str, after: Option<&str>, may_be_stale: bool) -> Response<Body> {
        let mut state = self.lock();
        let old_data = state.old_data.as_ref().filter(|_| may_be_stale);
        let data = old_data.unwrap_or(&state.data);
        let after_name = after.map(str::to_owned);
        let key = (kind.to_owned(), after_name, state.era, data.revision);
        if let Some(page) = state.pages.get(&key) {
            return Response::new(full(page.clone()));
        }
        let page_size = state.page_size.unwrap_or(DEFAULT_PAGE_SIZE);
        let of_kind = data.objects.iter().filter(|((k, _), _)| k == kind);
        let mut items: Vec<&Value> = of_kind
            .filter(|((_, name), _)| after.is_none_or(|a| name.as_str() > a))
            .map(|(_, object)| object)
            .collect();
        let has_more = items.len() > page_size;
        items.truncate(page_size);
        let page = json!({"items": items, "has-more": has_more, "at": data.revision});
        let page = Bytes::from(page.to_string());
        if state.pages.len() >= MAX_PAGES {
            state.pages.clear();
        }
        state.pages.insert(key, page.clone());
        Response::new(full(page))
    }

    async fn watch(&self, kind: &str, since: u64, wait_ms: Option<u64>) -> Response<Body> {
        let wait = Duration::from_millis(wait_ms.unwrap_or(0).min(MAX_WAIT_MS));
        let deadline = tokio::time::Instant::now() + wait;
        let _waiting = WaitingWatch::new(self, kind, since);
        loop {
            let notified = self.changed.notified();
            if let Some(res) = self.events(kind, since) {
                return res;
            }
            if tokio::time::timeout_at(deadline, notified).await.is_err() {
                let revision = self.lock().data.revision;
                return ok(&json!({"events": [], "at": revision}));
            }
        }
    }

    /// Returns the response to a watch, or `None` if it has to wait for an event.
    fn events(&self, kind: &str, since: u64) -> Option<Response<Body>> {
        let state = self.lock();
        if since < state.data.compacted_to || since > state.data.revision {
            return Some(status(StatusCode::GONE));
        }
        let events = state.data.history.iter();
        let events: Vec<&Value> = events
            .filter(|(revision, k, _)| *revision > since && k == kind)
            .map(|(_, _, event)| event)
            .collect();
        if events.is_empty() {
            return None;
        }
        Some(ok(&json!({"events": events, "at": state.data.revision})))
    }
}

/// Counts a watch as waiting until it is dropped.
struct WaitingWatch<'a> {
    store: &'a MetadataStore,
    watch: (String, u64),
}

impl<'a> WaitingWatch<'a> {
    fn new(store: &'a MetadataStore, kind: &str, since: u64) -> WaitingWatch<'a> {
        let watch = (kind.to_owned(), since);
        store.lock().watches.push(watch.clone());
        WaitingWatch { store, watch }
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        let mut state = self.store.lock();
        let index = state.watches.iter().position(|w| *w == self.watch);
        if let Some(index) = index {
            state.watches.swap_remove(index);
        }
    }
}

/// What a path names.
struct Path {
    kind: String,
    /// Name of one object; all of the kind without it.
    name: Option<String>,
    part: Part,
}

impl Path {
    /// Reads a path; `None` if it names nothing.
    fn parse(path: &str) -> Result<Option<Path>, Malformed> {
        let Some(path) = path.strip_prefix("/stoatjunction/objects/") else {
            return Ok(None);
        };
        let mut segments = path.split('/').map(decode_segment);
        let kind = segments.next().unwrap_or(Err(Malformed))?;
        let name = segments.next().transpose()?;
        let part = match segments.next().transpose()?.as_deref() {
            None => Part::Specification,
            Some("status") => Part::Status,
            Some(_) => return Ok(None),
        };
        let is_whole = segments.next().is_none() && !kind.is_empty() && name.as_deref() != Some("");
        Ok(is_whole.then_some(Path { kind, name, part }))
    }
}

/// Parameters of a list or a watch.
#[derive(Default)]
struct Query {
    after: Option<String>,
    may_be_stale: bool,
    watch: Option<u64>,
    wait_ms: Option<u64>,
}

impl Query {
    fn parse(query: &str) -> Result<Query, Malformed> {
        let mut parsed = Query::default();
        let names = [
            "after-revision",
            "allow-stale",
            "watch",
            "wait-ms",
            "revision",
        ];
        for (name, value) in decode_query(query, &names)? {
            let number = || value.parse::<u64>().map_err(|_| Malformed);
            match name.as_str() {
                "after-revision" => parsed.after = Some(value),
                "allow-stale" => parsed.may_be_stale = value == "1",
                "watch" => parsed.watch = Some(number()?),
                "wait-ms" => parsed.wait_ms = Some(number()?),
                _ => {}
            }
        }
        match parsed.wait_ms {
            Some(ms) if ms > MAX_WAIT_MS => Err(Malformed),
            _ => Ok(parsed),
        }
    }
}

fn ok(value: &Value) -> Response<Body> {
    Response::new(full(Bytes::from(value.to_string())))
}

fn status(code: StatusCode) -> Response<Body> {
    let mut res = Response::new(full(Bytes::new()));
    *res.status_mut() = code;
    res
}
