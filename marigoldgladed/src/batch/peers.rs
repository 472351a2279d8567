//! Links to other daemons. A request and its response use the same link.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use marigoldglade::batch::messages::{Message, Reply};
use marigoldglade::frame_auth::NONCE_BYTES;
use marigoldglade::mesh::{Frame, FrameKind, Hello, Payload, VERSION};
use marigoldglade::prelude::*;
use marigoldglade::settings::Settings;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

use crate::batch::relay::Outbox;
use crate::batch::{Node, clock};
use crate::link::{self, FrameReader, FrameWriter, Link};

/// The most frames that may wait to be sent on one link.
const QUEUE_LIMIT: usize = 1_024;

/// The requests on a link that wait for their response, by number.
type Pending = Rc<RefCell<HashMap<u64, oneshot::Sender<Message>>>>;

/// A link that this daemon has opened to a peer.
struct PeerLink {
    frames: mpsc::Sender<Frame>,
    pending: Pending,
}

/// The links that this daemon has opened to other daemons.
pub(super) struct Peers {
    /// What this daemon says of itself when it opens or accepts a link.
    hello: Hello,
    /// The secret that daemons share; `None` until it is known.
    key: RefCell<Option<Vec<u8>>>,
    /// The peers' addresses from the settings.
    seeds: RefCell<Vec<SocketAddr>>,
    links: RefCell<HashMap<SocketAddr, Rc<PeerLink>>>,
    /// The number of the next request.
    next: Cell<u64>,
}

impl Peers {
    /// Creates the state without any open link, with the secret and the addresses from the settings.
    pub(super) fn new(settings: &Settings) -> Self {
        let key = settings.mesh_key.clone().into_bytes();
        Self {
            hello: Hello {
                version: VERSION,
                name: settings.name.clone(),
                dc: settings.dc.clone(),
                addr: settings.mesh,
                nonce: [0; NONCE_BYTES],
            },
            key: RefCell::new((!key.is_empty()).then_some(key)),
            seeds: RefCell::new(settings.peers.clone()),
            links: RefCell::default(),
            next: Cell::new(1),
        }
    }

    /// Sets the secret that daemons share, unless it is already known.
    pub(super) fn set_key(&self, key: Vec<u8>) {
        self.key.borrow_mut().get_or_insert(key);
    }

    /// Returns whether the secret is known, without which no link can be opened.
    pub(super) fn has_key(&self) -> bool {
        self.key.borrow().is_some()
    }

    /// Sets the peers' addresses from the settings.
    pub(super) fn set_seeds(&self, addrs: &[SocketAddr]) {
        *self.seeds.borrow_mut() = addrs.to_vec();
    }

    /// Returns the peers' addresses from the settings.
    pub(super) fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.borrow().clone()
    }

    /// Sends a request to a daemon and waits for the response until `deadline`.
    ///
    /// # Errors
    ///
    /// [`Kind::NoTarget`] when the request certainly didn't reach the daemon, [`Kind::Unknown`] when it
    /// may have.
    pub(super) async fn request(
        &self,
        addr: SocketAddr,
        request: Message,
        deadline: UnixMs,
    ) -> Result<Message> {
        let link = self.open_link(addr, deadline).await?;
        let number = self.next.get();
        self.next.set(number + 1);
        let (answer, response) = oneshot::channel();
        link.pending.borrow_mut().insert(number, answer);
        let frame = Frame {
            kind: FrameKind::Request(number, deadline),
            payload: Payload::Batch(Box::new(request)),
        };
        if link.frames.try_send(frame).is_err() {
            self.remove_link(addr, &link);
            return Err(Error::new(
                Kind::NoTarget,
                "the link is closed or its queue is full",
            ));
        }
        match tokio::time::timeout(clock::until(deadline), response).await {
            Ok(Ok(message)) => Ok(message),
            Ok(Err(_)) => Err(Error::new(Kind::Unknown, "the link broke")),
            Err(_) => {
                link.pending.borrow_mut().remove(&number);
                // A silent link may never recover, so the next request opens a new one.
                self.remove_link(addr, &link);
                Err(Error::new(
                    Kind::Unknown,
                    "no response from the peer in time",
                ))
            }
        }
    }

    /// Removes a link, unless another one to the same address has replaced it.
    fn remove_link(&self, addr: SocketAddr, link: &Rc<PeerLink>) {
        let mut links = self.links.borrow_mut();
        if links.get(&addr).is_some_and(|l| Rc::ptr_eq(l, link)) {
            links.remove(&addr);
        }
    }

    /// Returns the open link to a daemon, or opens one.
    async fn open_link(&self, addr: SocketAddr, deadline: UnixMs) -> Result<Rc<PeerLink>> {
        if let Some(link) = self.links.borrow().get(&addr)
            && !link.frames.is_closed()
        {
            return Ok(Rc::clone(link));
        }
        let link = self.dial(addr, deadline).await?;
        let (frames, queue) = mpsc::channel(QUEUE_LIMIT);
        let pending = Pending::default();
        let peer_link = Rc::new(PeerLink {
            frames,
            pending: Rc::clone(&pending),
        });
        spawn_local(run_link(link.writer, link.reader, queue, pending));
        self.links.borrow_mut().insert(addr, Rc::clone(&peer_link));
        Ok(peer_link)
    }

    /// Opens a new link to a daemon.
    ///
    /// # Errors
    ///
    /// [`Kind::NoTarget`] when no link could be opened until `deadline`.
    pub(super) async fn dial(&self, addr: SocketAddr, deadline: UnixMs) -> Result<Link> {
        let key = self.key.borrow().clone();
        let key = key.ok_or_else(|| {
            Error::new(Kind::NoTarget, "the daemons' shared secret isn't known yet")
        })?;
        let dial =
            tokio::time::timeout(clock::until(deadline), link::dial(addr, &key, &self.hello));
        let link = dial
            .await
            .unwrap_or_else(|_| Err(Error::new(Kind::NoTarget, "the link wasn't open in time")));
        link.map_err(|e| Error::new(Kind::NoTarget, e.detail))
    }
}

/// Sends and receives frames until the link breaks, then fails the requests that still wait for a
/// response.
async fn run_link(
    mut writer: FrameWriter,
    mut reader: FrameReader,
    mut queue: mpsc::Receiver<Frame>,
    pending: Pending,
) {
    let send = async {
        while let Some(frame) = queue.recv().await {
            if writer.send(&frame).await.is_err() {
                break;
            }
        }
    };
    let receive = async {
        while let Ok((frame, _)) = reader.receive().await {
            if let (FrameKind::Response(number), Payload::Batch(message)) =
                (frame.kind, frame.payload)
                && let Some(answer) = pending.borrow_mut().remove(&number)
            {
                let _ = answer.send(*message);
            }
        }
    };
    tokio::select! {
        () = send => {}
        () = receive => {}
    }
    queue.close();
    pending.borrow_mut().clear();
}

impl Node {
    /// Accepts links from other daemons until the task is aborted.
    pub(super) async fn serve_peers(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((tcp, _)) = listener.accept().await else {
                // The process is out of file descriptors; it tries again when some may be free.
                clock::sleep_until(clock::now().after(10)).await;
                continue;
            };
            let Some(key) = self.peers.key.borrow().clone() else {
                continue;
            };
            let node = Rc::clone(&self);
            spawn_local(async move {
                match link::accept(tcp, &key, &node.peers.hello).await {
                    Ok(link) => {
                        node.serve_link(link.peer.name, link.writer, link.reader)
                            .await;
                    }
                    Err(e) => log::info!(error:% = e; "link from a peer refused"),
                }
            });
        }
    }

    /// Answers the requests that arrive on a link which a peer has opened.
    async fn serve_link(
        self: Rc<Self>,
        name: String,
        mut writer: FrameWriter,
        mut reader: FrameReader,
    ) {
        let (frames, mut queue) = mpsc::channel::<Frame>(QUEUE_LIMIT);
        spawn_local(async move {
            while let Some(frame) = queue.recv().await {
                if writer.send(&frame).await.is_err() {
                    break;
                }
            }
        });
        let mut outbox = None;
        while let Ok((frame, _)) = reader.receive().await {
            let (number, deadline, message) = match (frame.kind, frame.payload) {
                (FrameKind::Request(number, deadline), Payload::Batch(message)) => {
                    (number, deadline, message)
                }
                (FrameKind::Notification, Payload::Batch(message)) => {
                    if let Message::Orders(orders) = *message {
                        let outbox =
                            outbox.get_or_insert_with(|| Outbox::new(&self, frames.clone()));
                        self.relay_orders(orders, outbox);
                    }
                    continue;
                }
                _ => {
                    log::warn!(peer = name.as_str(); "a peer sent a frame that isn't a request");
                    continue;
                }
            };
            let (node, frames) = (Rc::clone(&self), frames.clone());
            spawn_local(async move {
                let answer = node.respond(*message, deadline).await;
                let frame = Frame {
                    kind: FrameKind::Response(number),
                    payload: Payload::Batch(Box::new(answer)),
                };
                let _ = frames.try_send(frame);
            });
        }
    }

    async fn respond(self: Rc<Self>, message: Message, deadline: UnixMs) -> Message {
        // The deadline was set by the peer's clock, which may be far off.
        let deadline = deadline.min(clock::now().after(super::calls::RELAY_TIMEOUT_MS));
        match message {
            Message::Call(call) => Message::Reply(self.answer_as_owner(call).await),
            Message::Relay(call) => Message::Reply(self.make_relayed_call(call, deadline).await),
            Message::NewerRequest { version, term } => {
                let policy = self.policy().filter(|p| p.version > version);
                let owner = self.view.borrow().owner.clone().map(|k| k.owner);
                Message::NewerResponse {
                    policy: policy.map(|p| Box::new((*p).clone())),
                    owner: owner.filter(|o| o.term > term),
                }
            }
            Message::IncarnationRequest => Message::IncarnationResponse {
                incarnation: self.incarnation,
                term: self.term.get(),
            },
            Message::AttemptRequest(id) => Message::AttemptResponse {
                none: self.has_no_attempt(id, None),
            },
            Message::Reply(_)
            | Message::AttemptResponse { .. }
            | Message::Orders(_)
            | Message::OrderResponses { .. }
            | Message::NewerResponse { .. }
            | Message::IncarnationResponse { .. } => Message::Reply(Reply::NotOwner),
        }
    }
}
