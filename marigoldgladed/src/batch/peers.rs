//! Links to other daemons: questions flow out, answers flow back on the same link.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use marigoldglade::batch::messages::{Message, Reply};
use marigoldglade::frame_auth::NONCE_BYTES;
use marigoldglade::mesh::{Frame, Hello, Payload, VERSION, Way};
use marigoldglade::prelude::*;
use marigoldglade::settings::Settings;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

use crate::batch::{Node, clock};
use crate::link::{self, Inlet, Outlet};

/// Frames that may wait for a link.
const QUEUE_LIMIT: usize = 1_024;

type Answers = Rc<RefCell<HashMap<u64, oneshot::Sender<Message>>>>;

struct Line {
    frames: mpsc::Sender<Frame>,
    answers: Answers,
}

/// Links to other daemons.
pub(super) struct Peers {
    hello: Hello,
    key: RefCell<Option<Vec<u8>>>,
    seeds: RefCell<Vec<SocketAddr>>,
    lines: RefCell<HashMap<SocketAddr, Rc<Line>>>,
    next: Cell<u64>,
}

impl Peers {
    /// Makes the links of a daemon, none of them open.
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
            lines: RefCell::default(),
            next: Cell::new(1),
        }
    }

    /// Sets the secret that daemons share, unless the settings gave one.
    pub(super) fn set_key(&self, key: Vec<u8>) {
        self.key.borrow_mut().get_or_insert(key);
    }

    /// Returns whether the secret is known, so that links can be made.
    pub(super) fn is_up(&self) -> bool {
        self.key.borrow().is_some()
    }

    /// Sets the addresses to begin with.
    pub(super) fn seed(&self, addrs: &[SocketAddr]) {
        *self.seeds.borrow_mut() = addrs.to_vec();
    }

    /// Returns the addresses to begin with.
    pub(super) fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.borrow().clone()
    }

    /// Asks a daemon and waits for its answer until `end`.
    ///
    /// # Errors
    ///
    /// [`Kind::NoTarget`] when the question provably didn't reach it, [`Kind::Unknown`] when it may
    /// have.
    pub(super) async fn ask(
        &self,
        addr: SocketAddr,
        question: Message,
        end: UnixMs,
    ) -> Result<Message> {
        let line = self.line(addr, end).await?;
        let number = self.next.get();
        self.next.set(number + 1);
        let (answer, answered) = oneshot::channel();
        line.answers.borrow_mut().insert(number, answer);
        let frame = Frame {
            way: Way::Ask(number, end),
            payload: Payload::Batch(Box::new(question)),
        };
        if line.frames.try_send(frame).is_err() {
            self.cut(addr, &line);
            return Err(Error::new(Kind::NoTarget, "the link takes no frames"));
        }
        match tokio::time::timeout(clock::until(end), answered).await {
            Ok(Ok(message)) => Ok(message),
            Ok(Err(_)) => Err(Error::new(Kind::Unknown, "the link broke")),
            Err(_) => {
                line.answers.borrow_mut().remove(&number);
                // A link that is silent may stay so for good.
                self.cut(addr, &line);
                Err(Error::new(Kind::Unknown, "the peer didn't answer in time"))
            }
        }
    }

    fn cut(&self, addr: SocketAddr, line: &Rc<Line>) {
        let mut lines = self.lines.borrow_mut();
        if lines.get(&addr).is_some_and(|l| Rc::ptr_eq(l, line)) {
            lines.remove(&addr);
        }
    }

    async fn line(&self, addr: SocketAddr, end: UnixMs) -> Result<Rc<Line>> {
        if let Some(line) = self.lines.borrow().get(&addr)
            && !line.frames.is_closed()
        {
            return Ok(Rc::clone(line));
        }
        let key = self.key.borrow().clone();
        let key = key.ok_or_else(|| Error::new(Kind::NoTarget, "no shared secret yet"))?;
        let dial = tokio::time::timeout(clock::until(end), link::dial(addr, &key, &self.hello));
        let link = dial
            .await
            .unwrap_or_else(|_| Err(Error::new(Kind::NoTarget, "dialling took too long")));
        let link = link.map_err(|e| Error::new(Kind::NoTarget, e.detail))?;
        let (frames, queue) = mpsc::channel(QUEUE_LIMIT);
        let answers = Answers::default();
        let line = Rc::new(Line {
            frames,
            answers: Rc::clone(&answers),
        });
        spawn_local(drive(link.outlet, link.inlet, queue, answers));
        self.lines.borrow_mut().insert(addr, Rc::clone(&line));
        Ok(line)
    }
}

/// Carries frames both ways until the link breaks; then the waiting questions end.
async fn drive(
    mut outlet: Outlet,
    mut inlet: Inlet,
    mut queue: mpsc::Receiver<Frame>,
    answers: Answers,
) {
    let send = async {
        while let Some(frame) = queue.recv().await {
            if outlet.send(&frame).await.is_err() {
                break;
            }
        }
    };
    let receive = async {
        while let Ok((frame, _)) = inlet.receive().await {
            if let (Way::Answer(number), Payload::Batch(message)) = (frame.way, frame.payload)
                && let Some(answer) = answers.borrow_mut().remove(&number)
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
    answers.borrow_mut().clear();
}

impl Node {
    /// Takes links of other daemons until the task is aborted.
    pub(super) async fn serve_peers(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((tcp, _)) = listener.accept().await else {
                // The process is out of descriptors; some will come back.
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
                        node.answer_peer(link.peer.name, link.outlet, link.inlet)
                            .await;
                    }
                    Err(e) => log::info!(error:% = e; "a peer's link was refused"),
                }
            });
        }
    }

    async fn answer_peer(self: Rc<Self>, name: String, mut outlet: Outlet, mut inlet: Inlet) {
        let (frames, mut queue) = mpsc::channel::<Frame>(QUEUE_LIMIT);
        spawn_local(async move {
            while let Some(frame) = queue.recv().await {
                if outlet.send(&frame).await.is_err() {
                    break;
                }
            }
        });
        while let Ok((frame, _)) = inlet.receive().await {
            let (Way::Ask(number, end), Payload::Batch(message)) = (frame.way, frame.payload)
            else {
                log::warn!(peer = name.as_str(); "a peer sent a frame of another kind");
                continue;
            };
            let (node, frames) = (Rc::clone(&self), frames.clone());
            spawn_local(async move {
                let answer = node.answer_message(*message, end).await;
                let frame = Frame {
                    way: Way::Answer(number),
                    payload: Payload::Batch(Box::new(answer)),
                };
                let _ = frames.try_send(frame);
            });
        }
    }

    async fn answer_message(self: Rc<Self>, message: Message, end: UnixMs) -> Message {
        // The peer's deadline is on the peer's clock, which may be far off.
        let end = end.min(clock::now().after(super::calls::RELAY_MS));
        match message {
            Message::Call(call) => Message::Reply(self.owner_call(call).await),
            Message::Relay(call) => Message::Reply(self.relayed(call, end).await),
            Message::NewerRequest { version, term } => {
                let policy = self.policy().filter(|p| p.version > version);
                let owner = self.view.borrow().owner.clone().map(|k| k.owner);
                Message::NewerResponse {
                    policy: policy.map(|p| Box::new((*p).clone())),
                    owner: owner.filter(|o| o.term > term),
                }
            }
            Message::IncarnationRequest => Message::IncarnationResponse {
                incarnation: self.life,
                term: self.term.get(),
            },
            Message::Reply(_)
            | Message::NewerResponse { .. }
            | Message::IncarnationResponse { .. } => Message::Reply(Reply::NotOwner),
        }
    }
}
