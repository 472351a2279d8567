//! The configuration: from the store by watch, or from a peer while the store can't be read.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use marigoldglade::batch::messages::Message;
use marigoldglade::batch::policy::Policy;
use marigoldglade::store::{Change, Pair};

use crate::batch::{Node, clock};

/// The time between questions to peers while the store can't be read, in milliseconds.
const ASK_MS: u64 = 300;
/// The time that a peer has to answer, in milliseconds.
const ANSWER_MS: u64 = 500;

impl Node {
    /// Follows the configuration in the store.
    pub(super) async fn follow_policy(self: Rc<Self>) {
        loop {
            let (pairs, mut since) = self.store.list(platform::policy::KEY).await;
            for pair in &pairs {
                self.take_policy(pair);
            }
            while let Some(changes) = self.store.watch(platform::policy::KEY, &mut since).await {
                for change in changes {
                    if let Change::Put(pair) = change {
                        self.take_policy(&pair);
                    }
                }
            }
            log::info!("history of the configuration was dropped; reading it anew");
        }
    }

    fn take_policy(&self, pair: &Pair) {
        if pair.key != platform::policy::KEY {
            return;
        }
        match platform::policy::decode(&pair.value) {
            Ok(policy) => self.adopt_policy(policy, "store"),
            Err(e) => {
                log::error!(revision = pair.changed, error:% = e; "the configuration can't be read; the old one stays");
            }
        }
    }

    /// Puts a configuration in force unless a newer one is.
    pub(super) fn adopt_policy(&self, policy: Policy, source: &str) {
        let old = self.policy().map_or(0, |p| p.version);
        if policy.version <= old {
            return;
        }
        log::info!(version = policy.version, old, source = source, queues = policy.queues.len(); "configuration in force");
        self.policy.send_replace(Some(Arc::new(policy)));
    }

    /// Asks peers for what is newer while the store can't be read.
    pub(super) async fn ask_peers(self: Rc<Self>) {
        let mut turn: usize = 0;
        loop {
            tokio::time::sleep(Duration::from_millis(ASK_MS)).await;
            if !self.store.is_lost() {
                continue;
            }
            self.store.probe().await;
            if !self.peers.is_up() {
                continue;
            }
            let addrs = self.peer_addrs();
            if addrs.is_empty() {
                continue;
            }
            turn = turn.wrapping_add(1);
            let addr = addrs[turn % addrs.len()];
            let question = Message::NewerRequest {
                version: self.policy().map_or(0, |p| p.version),
                term: self.known_term(),
            };
            let end = clock::now().after(ANSWER_MS);
            if let Ok(Message::NewerResponse { policy, owner }) =
                self.peers.ask(addr, question, end).await
            {
                if let Some(policy) = policy {
                    self.adopt_policy(*policy, "peer");
                }
                if let Some(owner) = owner {
                    self.heard_owner(owner);
                }
            }
        }
    }
}
