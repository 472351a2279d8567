//! The daemons' links to each other, and the membership that runs on them.
//!
//! Payloads flow in from the daemon's parts by [`App::notify`] and [`App::request`], and out to them
//! in `receive`, where each kind of payload finds its part.

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

/// The time between steps of the membership, in milliseconds.
const TICK_MS: u64 = 100;
/// The time between looks at the VM list for seeds, in milliseconds.
const SEEDS_MS: u64 = 1_000;
/// The time after which a link that carried nothing is closed, in milliseconds.
const IDLE_MS: u64 = 60_000;
/// The frames that wait for a link, at most; those beyond are lost.
const WAITING_LIMIT: usize = 256;
/// The connections of peers, at most.
const LINK_LIMIT: usize = 256;
/// The calls of peers that are worked on at a time.
const CALL_LIMIT: usize = 256;

/// A peer's frame, as the daemon's parts see its sender.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) name: String,
    pub(crate) addr: SocketAddr,
}

struct Waiting {
    link: u64,
    /// Whether the call may have reached the peer.
    sent: bool,
    answer: oneshot::Sender<Result<Payload>>,
}

#[derive(Clone)]
struct Handle {
    id: u64,
    frames: mpsc::Sender<Frame>,
}

/// The links of this daemon and its view of the others.
pub(crate) struct Mesh {
    key: Vec<u8>,
    hello: Hello,
    links: Mutex<HashMap<SocketAddr, Handle>>,
    calls: Mutex<HashMap<u64, Waiting>>,
    members: Mutex<Members>,
    next: AtomicU64,
    room: Arc<Semaphore>,
    work: Arc<Semaphore>,
    counts: Counts,
}

impl Mesh {
    /// Makes the mesh of a daemon whose mesh address is bound.
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
            calls: Mutex::default(),
            members: Mutex::new(members),
            next: AtomicU64::new(1),
            room: Arc::new(Semaphore::new(LINK_LIMIT)),
            work: Arc::new(Semaphore::new(CALL_LIMIT)),
            counts,
        }
    }

    /// Returns the living daemons, this one among them.
    pub(crate) fn peers(&self) -> Vec<Entry> {
        let members = lock(&self.members);
        members.live().into_iter().cloned().collect()
    }

    /// Returns a number that changes when the living daemons do.
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

    fn number(&self) -> u64 {
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

    /// Calls the daemon with this mesh address and waits for its answer until `end`.
    ///
    /// # Errors
    ///
    /// [`Kind::NoTarget`] when the call provably didn't reach it, [`Kind::Unknown`] or
    /// [`Kind::Timeout`] when it may have, and the error that the peer answered.
    pub(crate) async fn request(
        self: &Arc<Self>,
        addr: SocketAddr,
        payload: Payload,
        end: UnixMs,
    ) -> Result<Payload> {
        let number = self.mesh.number();
        let handle = self.handle(addr);
        let (answer, answered) = oneshot::channel();
        let waiting = Waiting {
            link: handle.id,
            sent: false,
            answer,
        };
        lock(&self.mesh.calls).insert(number, waiting);
        let frame = Frame {
            kind: FrameKind::Request(number, end),
            payload,
        };
        if handle.frames.try_send(frame).is_err() {
            lock(&self.mesh.calls).remove(&number);
            return Err(Error::new(Kind::NoTarget, "too much waits for the peer"));
        }
        let outcome = tokio::time::timeout(clock::until(end), answered).await;
        let waiting = lock(&self.mesh.calls).remove(&number);
        match outcome {
            Ok(Ok(Ok(Payload::Refused(e)))) => Err(e),
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => Err(Error::new(Kind::Unknown, "the link was closed")),
            Err(_) if waiting.is_some_and(|w| !w.sent) => {
                // The frame may still leave the queue, so that this isn't proof.
                Err(Error::new(Kind::Timeout, "the peer wasn't reached in time"))
            }
            Err(_) => Err(Error::new(Kind::Timeout, "the peer didn't answer in time")),
        }
    }

    /// Returns the link to an address, and begins to connect when there is none.
    fn handle(self: &Arc<Self>, addr: SocketAddr) -> Handle {
        let mut links = lock(&self.mesh.links);
        if let Some(handle) = links.get(&addr)
            && !handle.frames.is_closed()
        {
            return handle.clone();
        }
        let (frames, queue) = mpsc::channel(WAITING_LIMIT);
        let id = self.mesh.number();
        let handle = Handle { id, frames };
        links.insert(addr, handle.clone());
        drop(links);
        tokio::spawn(Arc::clone(self).dial(addr, handle.clone(), queue));
        handle
    }

    async fn dial(self: Arc<Self>, addr: SocketAddr, handle: Handle, queue: mpsc::Receiver<Frame>) {
        let id = handle.id;
        match link::dial(addr, &self.mesh.key, &self.mesh.hello).await {
            Ok(link) => {
                self.mesh.count("dialled", 1);
                Arc::clone(&self).run(link, handle, queue).await;
            }
            Err(e) => self.note_refusal("dial", &e),
        }
        self.drop_link(addr, id);
    }

    fn note_refusal(&self, what: &str, e: &Error) {
        if matches!(e.kind, Kind::BadPeer | Kind::TooLarge) {
            self.mesh.count("refused", 1);
            log::warn!("{what}: a peer was refused: {e}");
        } else {
            log::debug!("{what}: {e}");
        }
    }

    /// Ends the calls that waited on a link: those never written provably didn't reach the peer.
    fn drop_link(&self, addr: SocketAddr, id: u64) {
        let mut links = lock(&self.mesh.links);
        if links.get(&addr).is_some_and(|h| h.id == id) {
            links.remove(&addr);
        }
        drop(links);
        let mut calls = lock(&self.mesh.calls);
        for (_, waiting) in calls.extract_if(|_, w| w.link == id) {
            let kind = if waiting.sent {
                Kind::Unknown
            } else {
                Kind::NoTarget
            };
            let _ = waiting.answer.send(Err(Error::new(kind, "the link broke")));
        }
    }

    /// Takes connections of peers until the task is aborted.
    pub(crate) async fn serve_mesh(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((tcp, _)) = listener.accept().await else {
                // The process is out of descriptors; some will come back.
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let Ok(permit) = Arc::clone(&self.mesh.room).try_acquire_owned() else {
                self.mesh.count("refused", 1);
                continue;
            };
            let app = Arc::clone(&self);
            tokio::spawn(async move {
                match link::accept(tcp, &app.mesh.key, &app.mesh.hello).await {
                    Ok(link) => app.accepted(link).await,
                    Err(e) => app.note_refusal("accept", &e),
                }
                drop(permit);
            });
        }
    }

    async fn accepted(self: Arc<Self>, link: Link) {
        self.mesh.count("accepted", 1);
        let addr = link.peer.addr;
        let (frames, queue) = mpsc::channel(WAITING_LIMIT);
        let id = self.mesh.number();
        let handle = Handle { id, frames };
        lock(&self.mesh.links)
            .entry(addr)
            .or_insert_with(|| handle.clone());
        Arc::clone(&self).run(link, handle, queue).await;
        self.drop_link(addr, id);
    }

    /// Carries frames both ways until the link breaks or idles.
    async fn run(self: Arc<Self>, link: Link, handle: Handle, queue: mpsc::Receiver<Frame>) {
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
            self.note_refusal(&peer.name, &e);
        }
    }

    async fn read(
        self: &Arc<Self>,
        mut reader: FrameReader,
        peer: &Peer,
        handle: Handle,
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
                    if let Some(waiting) = lock(&self.mesh.calls).remove(&number) {
                        let _ = waiting.answer.send(Ok(frame.payload));
                    }
                }
                FrameKind::Notification => {
                    self.receive(peer, frame.payload).await;
                }
                FrameKind::Request(number, end) => {
                    self.work_on(peer, &handle, number, end, frame.payload);
                }
            }
        }
    }

    /// Works on a peer's call beside the reading, so that a slow one holds up nobody.
    fn work_on(
        self: &Arc<Self>,
        peer: &Peer,
        handle: &Handle,
        number: u64,
        end: UnixMs,
        payload: Payload,
    ) {
        let answer = move |payload| Frame {
            kind: FrameKind::Response(number),
            payload,
        };
        let Ok(permit) = Arc::clone(&self.mesh.work).try_acquire_owned() else {
            let e = Error::new(Kind::Shed, "too many calls of peers");
            let _ = handle.frames.try_send(answer(Payload::Refused(e)));
            return;
        };
        let (app, peer, frames) = (Arc::clone(self), peer.clone(), handle.frames.clone());
        tokio::spawn(async move {
            let work = app.receive(&peer, payload);
            if let Ok(payload) = tokio::time::timeout(clock::until(end), work).await {
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
            if let FrameKind::Request(number, end) = frame.kind {
                let mut calls = lock(&self.mesh.calls);
                match calls.get_mut(&number) {
                    Some(waiting) if !end.passed(clock::now()) => {
                        waiting.sent = true;
                        waiting.link = id;
                    }
                    // Nobody waits any more.
                    _ => continue,
                }
            }
            let size = writer.send(&frame).await?;
            self.mesh.count("sent", 1);
            self.mesh.count("sent_bytes", size);
        }
        Ok(())
    }

    /// Gives a peer's payload to the part it is for, and that part's answer back.
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
                log::debug!("{} told nothing that was asked", peer.name);
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

    /// Tells the neighbours that this daemon goes.
    pub(crate) fn leave_mesh(self: &Arc<Self>) {
        self.step_members(member::Event::Leave);
    }
}
