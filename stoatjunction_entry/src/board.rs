//! The blackboard: what the controllers of the daemon know and share.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;

use indexmap::IndexMap;
use stoatjunction_core::entry::config::Configuration;
use stoatjunction_core::entry::limit::{self, RateLimiter};
use stoatjunction_core::entry::pool::{Pool, WaitingCounts};
use stoatjunction_core::entry::queue::CallId;
use stoatjunction_core::entry::retry_budget::RetryBudget;
use stoatjunction_core::entry::route_table::RouteTable;
use stoatjunction_core::entry::suspects::{Crash, PoisonRequests};
use stoatjunction_core::entry::upstream_list::UpstreamList;
use stoatjunction_core::hash;
use stoatjunction_core::time::{Span, Time};
use tokio::sync::Notify;

use crate::beat::NodeLoad;
use crate::clock;
use crate::connection_pool::{Connection, ConnectionPool};
use crate::names::Names;
use crate::placement::ServiceScheduler;
use crate::settings::EntrySettings;

/// How far the daemon has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// It serves.
    #[default]
    Serving,
    /// It serves what still comes and asks for nothing new.
    Leaving,
    /// It only finishes what it has.
    Closing,
}

/// What another host said last.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peer {
    pub(crate) boot: u64,
    pub(crate) heard: Time,
    /// Its data centre; empty while that is not known.
    pub(crate) dc: String,
    /// True while it follows the store and is answered.
    pub(crate) follows: bool,
    /// True when it is about to stop.
    pub(crate) leaving: bool,
    /// Calls a second that its callers ask of each service.
    pub(crate) demand: Vec<(String, f32)>,
    pub(crate) loads: Vec<NodeLoad>,
    pub(crate) waiting: Vec<(String, WaitingCounts)>,
}

impl Peer {
    /// A host of which only the address is known.
    pub(crate) fn unheard(now: Time) -> Peer {
        Peer {
            heard: now.back(FAR_SILENT),
            ..Peer::default()
        }
    }
}

/// What the controllers know.
#[derive(Debug)]
pub(crate) struct Board {
    pub(crate) phase: Phase,
    pub(crate) routes: Option<Rc<RouteTable>>,
    pub(crate) view: UpstreamList,
    pub(crate) has_list: bool,
    pub(crate) desks: IndexMap<String, ServiceScheduler>,
    pub(crate) limits: RateLimiter,
    pub(crate) budget: RetryBudget,
    pub(crate) suspects: PoisonRequests,
    pub(crate) news: News,
    pub(crate) peers: IndexMap<IpAddr, Peer>,
    /// This host's data centre.
    dc: String,
    pub(crate) started: Time,
    pub(crate) store_failed: Option<Time>,
    /// When the store last answered, by topic; none while it is not followed or does not answer.
    pub(crate) store_heard: [Option<Time>; 2],
    /// Time in which an upstream that leaves must get no more work.
    pub(crate) drain: Span,
    /// True while another host is asked for its view.
    pub(crate) asking: bool,
    full_deadlines: IndexMap<String, Span>,
    pub(crate) next_call: CallId,
}

/// What the other hosts have not been told yet.
#[derive(Debug, Default)]
pub(crate) struct News {
    pub(crate) breaks: Vec<(Crash, u8)>,
    pub(crate) parts: Vec<(u32, u64)>,
    pub(crate) changed: bool,
    /// True when a host was met that may not know the others yet.
    pub(crate) new_host: bool,
}

/// Everything that a controller needs.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) settings: EntrySettings,
    pub(crate) names: Names,
    pub(crate) boot: u64,
    pub(crate) board: RefCell<Board>,
    pub(crate) connections: ConnectionPool,
    pub(crate) changed: Notify,
    pub(crate) in_progress: Cell<usize>,
}

impl Context {
    pub(crate) fn new(settings: EntrySettings, names: Names) -> Context {
        let now = clock::now();
        let mut board = Board {
            phase: Phase::Serving,
            routes: None,
            view: UpstreamList::default(),
            has_list: false,
            desks: IndexMap::new(),
            limits: RateLimiter::new(settings.tolerance.usable(), now),
            budget: RetryBudget::new(settings.budget),
            suspects: PoisonRequests::default(),
            news: News::default(),
            peers: IndexMap::new(),
            dc: settings.dc.clone(),
            started: now,
            store_failed: None,
            store_heard: [None; 2],
            drain: settings.drain,
            asking: false,
            full_deadlines: IndexMap::new(),
            next_call: 0,
        };
        let (heard, known) = board.reach(now);
        board.limits.set_reachable(heard, known, now);
        Context {
            settings,
            names,
            boot: fastrand::u64(..),
            board: RefCell::new(board),
            connections: ConnectionPool::default(),
            changed: Notify::new(),
            in_progress: Cell::new(0),
        }
    }

    /// Takes over the figures of changed settings that are not bound to sockets.
    pub(crate) fn retune(&self, settings: &EntrySettings) {
        let mut board = self.board.borrow_mut();
        board.budget.set_config(settings.budget);
        board.limits.set_tolerance(settings.tolerance.usable());
        board.drain = settings.drain;
    }

    /// Puts a newer configuration in force; true when it was newer.
    pub(crate) fn configure(&self, cfg: Configuration) -> bool {
        let mut board = self.board.borrow_mut();
        let known = board.routes.as_ref().map(|r| r.cfg().version);
        if known.is_some_and(|v| v >= cfg.version) {
            return false;
        }
        let now = clock::now();
        log::info!(
            "event=configured version={} routes={} organisations={}",
            cfg.version,
            cfg.routes.len(),
            cfg.organisations.len()
        );
        for o in &cfg.organisations {
            let id = hash::hash_parts(&[o.name.as_bytes()]);
            board.limits.set_limit(id, o.rate, o.burst, now);
        }
        board.routes = Some(Rc::new(RouteTable::new(cfg)));
        board.spread_nodes(&self.settings.dc, self.boot, now);
        drop(board);
        self.changed.notify_one();
        self.poll();
        true
    }

    /// Lets the pools follow the list of upstreams.
    pub(crate) fn list_changed(&self) {
        let now = clock::now();
        let mut board = self.board.borrow_mut();
        board.spread_nodes(&self.settings.dc, self.boot, now);
        let draining = board.view.upstreams().filter(|l| l.draining).count();
        log::info!(
            "event=upstreams listed={} draining={draining} revision={}",
            board.view.upstreams().count(),
            board.view.revision()
        );
        drop(board);
        self.changed.notify_one();
        self.poll();
        let board = self.board.borrow();
        let listed: Vec<&str> = board.view.upstreams().map(|l| l.id.as_str()).collect();
        self.connections.remove_unusable(|id| listed.contains(&id));
    }

    /// Decides on waiting calls until nothing more can be decided.
    pub(crate) fn poll(&self) {
        let now = clock::now();
        let mut board = self.board.borrow_mut();
        for desk in board.desks.values_mut() {
            desk.pool.expire_peer_loads(now);
            desk.place_waiting(now);
        }
    }

    /// Keeps a connection for further requests, within this host's part of what an upstream accepts.
    pub(crate) fn keep(
        &self,
        service: &str,
        upstream: &str,
        connection: Connection,
        stated: Option<Span>,
    ) {
        let (_, known) = self.reach();
        let accepted = {
            let board = self.board.borrow();
            let routes = board.routes.as_ref();
            let service = routes.and_then(|r| r.cfg().services.get(service));
            service.map_or(0, |s| s.connections as usize)
        };
        let most = (accepted / (KEPT_PART * known)).max(1);
        self.connections
            .keep_idle(upstream, connection, stated, most);
    }

    /// Number of hosts that are known, and of those heard of late, this one included.
    pub(crate) fn reach(&self) -> (usize, usize) {
        self.board.borrow().reach(clock::now())
    }
}

/// One in so many of the connections that an upstream accepts may be idle.
const KEPT_PART: usize = 4;
/// Silence after which another host counts as out of reach.
const PEER_SILENT: Span = Span::from_millis(700);
/// The same for a host of which only relays tell.
const FAR_SILENT: Span = Span::from_millis(1_500);
/// Hosts beyond which other data centres are told by relays only.
const MANY_HOSTS: usize = 24;

/// Something that has to end before the daemon may. It counts from its making to its drop.
#[derive(Debug)]
pub(crate) struct InProgress(Rc<Context>);

impl InProgress {
    pub(crate) fn new(cx: &Rc<Context>) -> InProgress {
        cx.in_progress.set(cx.in_progress.get() + 1);
        InProgress(cx.clone())
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
    }
}

impl Board {
    /// True when hosts are so many that other data centres are told by relays only.
    pub(crate) fn has_many_hosts(&self) -> bool {
        self.peers.len() > MANY_HOSTS
    }

    /// True when a host has not been heard for so long that it counts as out of reach.
    pub(crate) fn is_silent(&self, peer: &Peer, now: Time) -> bool {
        let is_near = peer.dc == self.dc || !self.has_many_hosts();
        let most = if is_near { PEER_SILENT } else { FAR_SILENT };
        now.since(peer.heard) >= most
    }

    /// Numbers of hosts that are heard and known, this one included, as far as one that has only
    /// started may rely on them.
    pub(crate) fn reach(&self, now: Time) -> (usize, usize) {
        let heard = self.peers.values();
        let heard = heard.filter(|p| !self.is_silent(p, now)).count() + 1;
        limit::reachable_hosts(now.since(self.started), heard, self.peers.len() + 1)
    }

    /// Takes in that a host was heard, directly or by another's word.
    pub(crate) fn met(&mut self, ip: IpAddr, peer: Peer) {
        let boot = peer.boot;
        match self.peers.insert(ip, peer) {
            None => {
                log::info!("event=host_heard host={ip}");
                self.news.new_host = true;
            }
            Some(before) if before.boot != boot => {
                self.news.new_host = true;
                self.limits.remove_reporter(before.boot);
                for desk in self.desks.values_mut() {
                    desk.pool.forget_peer(before.boot);
                }
            }
            Some(_) => {}
        }
    }

    fn spread_nodes(&mut self, dc: &str, seed: u64, now: Time) {
        let Some(routes) = self.routes.clone() else {
            return;
        };
        let services = &routes.cfg().services;
        for name in services.keys() {
            let desk = self
                .desks
                .entry(name.clone())
                .or_insert_with(|| ServiceScheduler::new(Pool::new(dc, seed)));
            let listed = self.view.upstreams().filter(|l| l.service == *name);
            desk.pool.set_upstreams(listed, now);
        }
    }

    /// Time that a returning caller has already spent: the longest deadline seen on the route, less
    /// this one.
    pub(crate) fn elapsed(&mut self, route: &str, deadline: Span) -> Span {
        let full = self.full_deadlines.entry(route.to_owned()).or_default();
        *full = (*full).max(deadline);
        let spent = *full - deadline;
        if spent < RETURNED { Span::ZERO } else { spent }
    }
}

/// Time by which a deadline has to be short of the longest for its caller to count as returned.
const RETURNED: Span = Span::from_millis(40);
