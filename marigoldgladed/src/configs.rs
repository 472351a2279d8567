//! The configuration in force: follows the store and the peers, and applies each newer version.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use marigoldglade::config::Config;
use marigoldglade::config_accept::{Document, KEY, Stamp};
use marigoldglade::config_gossip::{Action, ConfigGossip, Event, Message, Peer};
use marigoldglade::events;
use marigoldglade::mesh::Payload;
use marigoldglade::prelude::*;
use marigoldglade::store::{Body, Call, Change, Op, Outcome, Pair, Revision, Txn};
use marigoldglade::time::SECOND_MS;
use marigoldglade::wire::Role;
use tokio::sync::watch;

use crate::app::App;
use crate::clock;
use crate::store_client::Rank;

/// The timeout of a store call for the configuration, in milliseconds.
pub(crate) const CALL_TIMEOUT_MS: u64 = 2_000;
/// The timeout of one watch of the stored version, in milliseconds.
const WATCH_TIMEOUT_MS: u64 = 30 * SECOND_MS;
/// The time between two ticks of the gossip, at which the daemons are counted too, in milliseconds.
const TICK_MS: u64 = 100;

/// A version of the configuration that is in force.
#[derive(Clone)]
pub(crate) struct Version {
    pub(crate) number: Revision,
    pub(crate) config: Arc<Config>,
    pub(crate) document: Arc<Document>,
}

/// The newest version that this daemon knows.
pub(crate) struct Configs {
    gossip: Mutex<ConfigGossip>,
    current: watch::Sender<Option<Version>>,
}

impl Configs {
    /// Creates the state of a daemon that knows no version yet.
    pub(crate) fn new() -> Self {
        Self {
            gossip: Mutex::new(ConfigGossip::new(rand::random())),
            current: watch::Sender::new(None),
        }
    }

    /// Returns the version in force, if there is one.
    pub(crate) fn current(&self) -> Option<Version> {
        self.current.borrow().clone()
    }

    /// Returns the version in force.
    ///
    /// # Errors
    ///
    /// [`Kind::NotReady`] while there is none.
    pub(crate) fn require(&self) -> Result<Version> {
        self.current()
            .ok_or_else(|| Error::new(Kind::NotReady, "no configuration is known yet"))
    }

    /// Returns the stamp of the version in force, or the default stamp if there is none.
    pub(crate) fn stamp(&self) -> Stamp {
        let version = self.current();
        version.map_or_else(Stamp::default, |v| v.document.stamp.clone())
    }

    fn lock(&self) -> MutexGuard<'_, ConfigGossip> {
        self.gossip.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl App {
    /// Keeps the configuration current until the daemon ends.
    pub(crate) async fn follow_configs(self: Arc<Self>) {
        tokio::spawn(Arc::clone(&self).spread_configs());
        loop {
            let watched = match self.read_config().await {
                Some(since) => self.watch_config(since).await,
                None => false,
            };
            if !watched {
                let wait = rand::random_range(SECOND_MS / 2..=SECOND_MS);
                clock::sleep_until(clock::now().after(wait)).await;
            }
        }
    }

    /// Reads the stored version and passes it to the gossip; returns the store's revision, if the
    /// store answered.
    async fn read_config(self: &Arc<Self>) -> Option<Revision> {
        let get = Call::Txn(Txn {
            then: vec![Op::Get(KEY.to_owned())],
            ..Txn::default()
        });
        let deadline = clock::now().after(CALL_TIMEOUT_MS);
        let reply = self.store.call(Rank::Config, get, deadline).await.ok()?;
        if let Body::Txn(done) = &reply.body
            && let Some(Outcome::Pairs(pairs)) = done.outcomes.first()
        {
            pairs.iter().for_each(|p| self.take_stored_config(p));
        }
        Some(reply.revision)
    }

    /// Watches the stored version until a change or the timeout; returns whether the store answered.
    async fn watch_config(self: &Arc<Self>, since: Revision) -> bool {
        let watch = Call::Watch {
            prefix: KEY.to_owned(),
            since,
        };
        let deadline = clock::now().after(WATCH_TIMEOUT_MS);
        let Ok(reply) = self.store.call(Rank::Config, watch, deadline).await else {
            return false;
        };
        if let Body::Changes(changes) = reply.body {
            for change in changes {
                if let Change::Put(pair) = change {
                    self.take_stored_config(&pair);
                }
            }
        }
        true
    }

    fn take_stored_config(self: &Arc<Self>, pair: &Pair) {
        if pair.key != KEY {
            return;
        }
        match Document::read(&pair.value) {
            Some(document) => self.step_configs(Event::Stored(document)),
            None => log::error!("the value of {KEY} isn't a version of the configuration"),
        }
    }

    /// Takes a version that the store accepted or already holds.
    pub(crate) fn adopt_config(self: &Arc<Self>, document: Document) {
        self.step_configs(Event::Stored(document));
    }

    /// Takes a peer's message about the configuration.
    pub(crate) fn receive_config(self: &Arc<Self>, from: Peer, message: Message) {
        self.step_configs(Event::Received(from, message));
    }

    /// Passes peers and the time to the gossip, and updates the store client's count of daemons.
    async fn spread_configs(self: Arc<Self>) {
        let mut known = Vec::new();
        loop {
            let peers: Vec<Peer> = self.mesh.neighbours().iter().map(|e| e.addr).collect();
            if peers != known {
                known.clone_from(&peers);
                self.step_configs(Event::Peers(peers));
            }
            self.step_configs(Event::Tick);
            self.count_members();
            clock::sleep_until(clock::now().after(TICK_MS)).await;
        }
    }

    /// Passes the number of daemons to the store client: the larger of those in the VM list and in
    /// the mesh, since the mesh may know too few.
    fn count_members(&self) {
        let listed = self.targets.list();
        let listed = listed.iter().filter(|vm| vm.role == Role::Entry).count();
        self.store.set_members(listed.max(self.mesh.peers().len()));
    }

    fn step_configs(self: &Arc<Self>, event: Event) {
        let from_peer = matches!(event, Event::Received(..));
        let mut out = Vec::new();
        {
            let mut gossip = self.configs.lock();
            gossip.step(clock::now(), event, &mut out);
            // Versions are applied under the lock, so that they are applied in order.
            for action in &out {
                if let Action::Apply(document, config) = action {
                    self.apply(document, config, from_peer);
                }
            }
        }
        for action in out {
            match action {
                Action::Send(peer, message) => self.notify(peer, Payload::Config(message)),
                Action::Unreadable(stamp, e) => {
                    log::error!("configuration version {} can't be read: {e}", stamp.number);
                }
                Action::Apply(..) => {}
            }
        }
    }

    fn apply(&self, document: &Arc<Document>, config: &Arc<Config>, from_peer: bool) {
        let number = document.stamp.number;
        let before = self.configs.stamp().number;
        self.configs.current.send_replace(Some(Version {
            number,
            config: Arc::clone(config),
            document: Arc::clone(document),
        }));
        log::info!("configuration version {number} is in force");
        if from_peer || before > 0 && number > before + 1 {
            self.record_event(events::Event::ConfigCaughtUp {
                revision: number,
                from: before,
            });
        }
    }

    /// Records an event when the store becomes unreachable and when it answers again.
    pub(crate) async fn watch_store_health(self: Arc<Self>) {
        let mut health = self.store.health();
        while health.changed().await.is_ok() {
            let up = *health.borrow_and_update();
            self.record_event(if up {
                events::Event::StoreUp
            } else {
                let cause = "no address answers".to_owned();
                events::Event::StoreDown { cause }
            });
        }
    }
}
