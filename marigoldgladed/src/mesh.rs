//! The links to other daemons, and the membership that runs on them.
//!
//! The other modules send payloads with [`App::notify`] and [`App::request`]. `receive` passes each
//! payload that arrives to the module it is for.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use marigoldglade::events::Event;
use marigoldglade::frame_auth::NONCE_BYTES;
use marigoldglade::member::{self, Entry, Members, State};
use marigoldglade::mesh::{Frame, FrameKind, Hello, Payload, VERSION};
use marigoldglade::prelude::*;
use marigoldglade::settings::Settings;
use marigoldglade::wire::Role;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, oneshot};

use crate::admin::Counts;
use crate::app::App;
use crate::clock;
use crate::link::{self, FrameReader, FrameWriter, Link};

/// The time between two ticks of the membership, in milliseconds.
const TICK_MS: u64 = 100;
/// The time between two updates of the seeds from the VM list, in milliseconds.
const SEEDS_MS: u64 = 1_000;
/// The time after which a link on which nothing was received is closed, in milliseconds.
const IDLE_MS: u64 = 60_000;
/// The most frames that may wait to be sent on a link; further ones are lost.
const QUEUE_LIMIT: usize = 256;
/// The most connections accepted from peers.
const LINK_LIMIT: usize = 256;
/// The most requests of peers that are handled at a time.
const REQUEST_LIMIT: usize = 256;

/// The sender of a frame.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) name: String,
    pub(crate) addr: SocketAddr,
}

/// A request to a peer that has no response so far.
struct PendingRequest {
    /// The number of the link that the request uses.
    link: u64,
    /// Whether the request may have reached the peer.
    sent: bool,
    answer: oneshot::Sender<Result<Payload>>,
}

/// Sends frames on one link.
#[derive(Clone)]
struct LinkHandle {
    id: u64,
    frames: mpsc::Sender<Frame>,
}

/// The links of this daemon and its view of the other daemons.
pub(crate) struct Mesh {
    key: Vec<u8>,
    hello: Hello,
    links: Mutex<HashMap<SocketAddr, LinkHandle>>,
    requests: Mutex<HashMap<u64, PendingRequest>>,
    members: Mutex<Members>,
    /// The number of the next link or request.
    next: AtomicU64,
    link_slots: Arc<Semaphore>,
    request_slots: Arc<Semaphore>,
    counts: Counts,
}

impl Mesh {
    /// Creates the mesh of a daemon; the mesh address in `settings` must be bound already.
    pub(crate) fn new(settings: &Settings, counts: Counts) -> Self {
        let hello = Hello {
            version: VERSION,
            name: settings.name.clone(),
            dc: settings.dc.clone(),
            addr: settings.mesh,
            nonce: [0; NONCE_BYTES],
        };
        let (name, dc, addr) = (&settings.name, &settings.dc, settings.mesh);
        let members = Members::new(name, dc, addr, clock::now(), rand::random());
        Self {
            key: settings.mesh_key.clone().into_bytes(),
            hello,
            links: Mutex::default(),
            requests: Mutex::default(),
            members: Mutex::new(members),
            next: AtomicU64::new(1),
            link_slots: Arc::new(Semaphore::new(LINK_LIMIT)),
            request_slots: Arc::new(Semaphore::new(REQUEST_LIMIT)),
            counts,
        }
    }

    /// Returns the live daemons, including this one.
    pub(crate) fn peers(&self) -> Vec<Entry> {
        let members = lock(&self.members);
        members.live().into_iter().cloned().collect()
    }

    /// Returns a digest that changes when the live daemons do.
    pub(crate) fn digest(&self) -> u64 {
        lock(&self.members).digest()
    }

    /// Returns the members that this daemon probes.
    pub(crate) fn neighbours(&self) -> Vec<Entry> {
        let members = lock(&self.members);
        members.neighbours().into_iter().cloned().collect()
    }

    fn count(&self, what: &'static str, more: usize) {
        let label = vec![("what", what.to_owned())];
        self.counts
            .get_or_create(&label)
            .inc_by(u64::try_from(more).unwrap_or(u64::MAX));
    }

    fn next_number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl App {
    /// Sends a payload to the daemon with this mesh address; it may get lost.
    pub(crate) fn notify(self: &Arc<Self>, addr: SocketAddr, payload: Payload) {
        let frame = Frame {
            kind: FrameKind::Notification,
            payload,
        };
        if self.handle(addr).frames.try_send(frame).is_err() {
            self.mesh.count("lost", 1);
        }
    }

    /// Sends a request to the daemon with this mesh address and waits for the response until
    /// `deadline`.
    ///
    /// # Errors
    ///
    /// [`Kind::NoTarget`] when the request certainly didn't reach the daemon, [`Kind::Unknown`] or
    /// [`Kind::Timeout`] when it may have, and the error with which the daemon responded.
    pub(crate) async fn request(
        self: &Arc<Self>,
        addr: SocketAddr,
        payload: Payload,
        deadline: UnixMs,
    ) -> Result<Payload> {
        let number = self.mesh.next_number();
        let handle = self.handle(addr);
        let (answer, answered) = oneshot::channel();
        let pending = PendingRequest {
            link: handle.id,
            sent: false,
            answer,
        };
        lock(&self.mesh.requests).insert(number, pending);
        let frame = Frame {
            kind: FrameKind::Request(number, deadline),
            payload,
        };
        if handle.frames.try_send(frame).is_err() {
            lock(&self.mesh.requests).remove(&number);
            return Err(Error::new(
                Kind::NoTarget,
                "the link to the peer is closed or its queue is full",
            ));
        }
        let outcome = tokio::time::timeout(clock::until(deadline), answered).await;
        let pending = lock(&self.mesh.requests).remove(&number);
        match outcome {
            Ok(Ok(Ok(Payload::Refused(e)))) => Err(e),
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => Err(Error::new(Kind::Unknown, "the link was closed")),
            Err(_) if pending.is_some_and(|p| !p.sent) => {
                // The frame may still be sent, so this doesn't prove that it won't arrive.
                Err(Error::new(
                    Kind::Timeout,
                    "the request wasn't sent to the peer in time",
                ))
            }
            Err(_) => Err(Error::new(Kind::Timeout, "the peer didn't respond in time")),
        }
    }

    /// Returns the link to an address, and starts to connect if there is none.
    fn handle(self: &Arc<Self>, addr: SocketAddr) -> LinkHandle {
        let mut links = lock(&self.mesh.links);
        if let Some(handle) = links.get(&addr)
            && !handle.frames.is_closed()
        {
            return handle.clone();
        }
        let (frames, queue) = mpsc::channel(QUEUE_LIMIT);
        let id = self.mesh.next_number();
        let handle = LinkHandle { id, frames };
        links.insert(addr, handle.clone());
        drop(links);
        tokio::spawn(Arc::clone(self).dial(addr, handle.clone(), queue));
        handle
    }

    async fn dial(
        self: Arc<Self>,
        addr: SocketAddr,
        handle: LinkHandle,
        queue: mpsc::Receiver<Frame>,
    ) {
        let id = handle.id;
        match link::dial(addr, &self.mesh.key, &self.mesh.hello).await {
            Ok(link) => {
                self.mesh.count("dialled", 1);
                Arc::clone(&self).run(link, handle, queue).await;
            }
            Err(e) => self.log_error("dial", &e),
        }
        self.drop_link(addr, id);
    }

    fn log_error(&self, what: &str, e: &Error) {
        if matches!(e.kind, Kind::BadPeer | Kind::TooLarge) {
            self.mesh.count("refused", 1);
            log::warn!("{what}: peer refused: {e}");
        } else {
            log::debug!("{what}: {e}");
        }
    }

    /// Removes a link and fails its pending requests. Those that were never sent certainly didn't
    /// reach the peer.
    fn drop_link(&self, addr: SocketAddr, id: u64) {
        let mut links = lock(&self.mesh.links);
        if links.get(&addr).is_some_and(|h| h.id == id) {
            links.remove(&addr);
        }
        drop(links);
        let mut requests = lock(&self.mesh.requests);
        for (_, pending) in requests.extract_if(|_, p| p.link == id) {
            let kind = if pending.sent {
                Kind::Unknown
            } else {
                Kind::NoTarget
            };
            let _ = pending.answer.send(Err(Error::new(kind, "the link broke")));
        }
    }

    /// Accepts connections of peers until the task is aborted.
    pub(crate) async fn serve_mesh(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((tcp, _)) = listener.accept().await else {
                // The process is out of file descriptors; it tries again when some may be free.
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let Ok(permit) = Arc::clone(&self.mesh.link_slots).try_acquire_owned() else {
                self.mesh.count("refused", 1);
                continue;
            };
            let app = Arc::clone(&self);
            tokio::spawn(async move {
                match link::accept(tcp, &app.mesh.key, &app.mesh.hello).await {
                    Ok(link) => app.accepted(link).await,
                    Err(e) => app.log_error("accept", &e),
                }
                drop(permit);
            });
        }
    }

    async fn accepted(self: Arc<Self>, link: Link) {
        self.mesh.count("accepted", 1);
        let addr = link.peer.addr;
        let (frames, queue) = mpsc::channel(QUEUE_LIMIT);
        let id = self.mesh.next_number();
        let handle = LinkHandle { id, frames };
        lock(&self.mesh.links)
            .entry(addr)
            .or_insert_with(|| handle.clone());
        Arc::clone(&self).run(link, handle, queue).await;
        self.drop_link(addr, id);
    }

    /// Sends and receives frames until the link breaks or nothing was received for [`IDLE_MS`].
    async fn run(self: Arc<Self>, link: Link, handle: LinkHandle, queue: mpsc::Receiver<Frame>) {
        let peer = Peer {
            name: link.peer.name.clone(),
            addr: link.peer.addr,
        };
        let id = handle.id;
        let reader = self.read(link.reader, &peer, handle);
        let writer = self.write(link.writer, id, queue);
        let ended = tokio::select! {
            ended = reader => ended,
            ended = writer => ended,
        };
        if let Err(e) = ended {
            self.log_error(&peer.name, &e);
        }
    }

    async fn read(
        self: &Arc<Self>,
        mut reader: FrameReader,
        peer: &Peer,
        handle: LinkHandle,
    ) -> Result<()> {
        loop {
            let idle = Duration::from_millis(IDLE_MS);
            let Ok(received) = tokio::time::timeout(idle, reader.receive()).await else {
                return Ok(());
            };
            let (frame, size) = received?;
            self.mesh.count("received", 1);
            self.mesh.count("received_bytes", size);
            match frame.kind {
                FrameKind::Response(number) => {
                    if let Some(pending) = lock(&self.mesh.requests).remove(&number) {
                        let _ = pending.answer.send(Ok(frame.payload));
                    }
                }
                FrameKind::Notification => {
                    self.receive(peer, frame.payload).await;
                }
                FrameKind::Request(number, deadline) => {
                    self.respond(peer, &handle, number, deadline, frame.payload);
                }
            }
        }
    }

    /// Handles a peer's request in a task of its own, so that a slow one doesn't delay later frames.
    fn respond(
        self: &Arc<Self>,
        peer: &Peer,
        handle: &LinkHandle,
        number: u64,
        deadline: UnixMs,
        payload: Payload,
    ) {
        let answer = move |payload| Frame {
            kind: FrameKind::Response(number),
            payload,
        };
        let Ok(permit) = Arc::clone(&self.mesh.request_slots).try_acquire_owned() else {
            let e = Error::new(Kind::Shed, "too many requests of peers are in progress");
            let _ = handle.frames.try_send(answer(Payload::Refused(e)));
            return;
        };
        let (app, peer, frames) = (Arc::clone(self), peer.clone(), handle.frames.clone());
        tokio::spawn(async move {
            let work = app.receive(&peer, payload);
            if let Ok(payload) = tokio::time::timeout(clock::until(deadline), work).await {
                let _ = frames.try_send(answer(payload));
            }
            drop(permit);
        });
    }

    async fn write(
        self: &Arc<Self>,
        mut writer: FrameWriter,
        id: u64,
        mut queue: mpsc::Receiver<Frame>,
    ) -> Result<()> {
        while let Some(frame) = queue.recv().await {
            if let FrameKind::Request(number, deadline) = frame.kind {
                let mut requests = lock(&self.mesh.requests);
                match requests.get_mut(&number) {
                    Some(pending) if !deadline.passed(clock::now()) => {
                        pending.sent = true;
                        pending.link = id;
                    }
                    // The caller no longer waits for the response.
                    _ => continue,
                }
            }
            let size = writer.send(&frame).await?;
            self.mesh.count("sent", 1);
            self.mesh.count("sent_bytes", size);
        }
        Ok(())
    }

    /// Passes a peer's payload to the module it is for, and returns that module's response.
    async fn receive(self: &Arc<Self>, peer: &Peer, payload: Payload) -> Payload {
        match payload {
            Payload::Member(message) => {
                self.step_members(member::Event::Message(peer.addr, message));
                Payload::Done
            }
            Payload::Owners(holders) => {
                self.receive_owners(holders);
                Payload::Done
            }
            Payload::Config(message) => {
                self.receive_config(peer.addr, message);
                Payload::Done
            }
            Payload::Request(gossip) => {
                self.receive_gossip(&peer.name, gossip);
                Payload::Done
            }
            Payload::Job(dc, call) => self.answer_peer(&dc, call).await,
            Payload::Refused(_) | Payload::JobReply(_) | Payload::Batch(_) | Payload::Done => {
                log::debug!("unexpected payload from {}", peer.name);
                Payload::Done
            }
        }
    }

    fn step_members(self: &Arc<Self>, event: member::Event) {
        let mut out = Vec::new();
        lock(&self.mesh.members).step(clock::now(), event, &mut out);
        for action in out {
            match action {
                member::Action::Send(addr, message) => self.notify(addr, Payload::Member(message)),
                member::Action::Changed(entry) => self.member_changed(entry),
                member::Action::Refuted => self.record_event(Event::SuspicionRefuted),
            }
        }
    }

    fn member_changed(&self, entry: Entry) {
        let name = entry.name;
        match entry.state {
            State::Alive => self.record_event(Event::MemberJoined { name }),
            State::Suspect => log::debug!("{name} is suspected"),
            State::Left => self.record_event(Event::MemberLeft { name }),
            State::Dead => {
                lock(&self.mesh.links).remove(&entry.addr);
                self.record_event(Event::MemberDied { name });
            }
        }
    }

    /// Runs the membership until the task is aborted.
    pub(crate) async fn follow_members(self: Arc<Self>) {
        let mut next_seeds = clock::now();
        loop {
            if next_seeds.passed(clock::now()) {
                next_seeds = clock::now().after(SEEDS_MS);
                self.step_members(member::Event::Seeds(self.seeds()));
            }
            self.step_members(member::Event::Tick);
            clock::sleep_until(clock::now().after(TICK_MS)).await;
        }
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        let vms = self.targets.list();
        let listed = vms
            .iter()
            .filter(|v| v.role == Role::Entry && !v.leaving)
            .filter_map(|v| v.addr.parse().ok());
        let mut seeds: Vec<SocketAddr> =
            self.settings.peers.iter().copied().chain(listed).collect();
        seeds.sort();
        seeds.dedup();
        seeds
    }

    /// Tells the neighbours that this daemon is leaving.
    pub(crate) fn leave_mesh(self: &Arc<Self>) {
        self.step_members(member::Event::Leave);
    }
}
