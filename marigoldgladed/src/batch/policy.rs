//! Learns the configuration: by a watch on the store, or from a peer while the store can't be reached.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use marigoldglade::batch::messages::Message;
use marigoldglade::batch::policy::Policy;
use marigoldglade::store::{Change, Pair};

use crate::batch::{Node, clock};

/// The time between requests to peers while the store can't be reached, in milliseconds.
const POLL_MS: u64 = 300;
/// The longest time that a peer may take to respond, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 500;

impl Node {
    /// Keeps the configuration up to date from the store.
    pub(super) async fn follow_policy(self: Rc<Self>) {
        loop {
            let (pairs, mut since) = self.store.list(platform::policy::KEY).await;
            for pair in &pairs {
                self.load_policy(pair);
            }
            while let Some(changes) = self.store.watch(platform::policy::KEY, &mut since).await {
                for change in changes {
                    if let Change::Put(pair) = change {
                        self.load_policy(&pair);
                    }
                }
            }
            log::info!("the store has dropped the history of the configuration; reading it again");
        }
    }

    fn load_policy(&self, pair: &Pair) {
        if pair.key != platform::policy::KEY {
            return;
        }
        match platform::policy::decode(&pair.value) {
            Ok(policy) => self.adopt_policy(policy, "store"),
            Err(e) => {
                log::error!(revision = pair.changed, error:% = e; "can't decode the configuration; the old one stays in force");
            }
        }
    }

    /// Puts a configuration in force when it is newer than the one in force.
    pub(super) fn adopt_policy(&self, policy: Policy, source: &str) {
        let old = self.policy().map_or(0, |p| p.version);
        if policy.version <= old {
            return;
        }
        log::info!(version = policy.version, old, source = source, queues = policy.queues.len(); "configuration in force");
        self.policy.send_replace(Some(Arc::new(policy)));
    }

    /// While the store can't be reached, probes it and asks one peer after another for a newer
    /// configuration and owner.
    pub(super) async fn poll_peers(self: Rc<Self>) {
        let mut next: usize = 0;
        loop {
            tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
            if !self.store.is_lost() {
                continue;
            }
            self.store.probe().await;
            if !self.peers.has_key() {
                continue;
            }
            let addrs = self.peer_addrs();
            if addrs.is_empty() {
                continue;
            }
            next = next.wrapping_add(1);
            let addr = addrs[next % addrs.len()];
            let request = Message::NewerRequest {
                version: self.policy().map_or(0, |p| p.version),
                term: self.known_term(),
            };
            let deadline = clock::now().after(RESPONSE_TIMEOUT_MS);
            if let Ok(Message::NewerResponse { policy, owner }) =
                self.peers.request(addr, request, deadline).await
            {
                if let Some(policy) = policy {
                    self.adopt_policy(*policy, "peer");
                }
                if let Some(owner) = owner {
                    self.learn_owner(owner);
                }
            }
        }
    }
}
