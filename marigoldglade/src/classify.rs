//! Assigns each request a class and a lane by the selectors in the configuration.
//!
//! A lane is the unit that the queue keeps apart: the requests of one class that may run on the
//! same targets.

use std::collections::HashMap;
use std::sync::Arc;

use crate::config::Config;
use crate::prelude::*;

/// The urgency of a request that no class matches.
const DEFAULT_URGENCY: u8 = 9;
/// The time, in milliseconds, that a request has if no class matches it and its caller sets no
/// deadline.
const DEFAULT_ANSWER_MS: u64 = 2_000;

/// The index of a class, valid within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassKey(pub u16);

/// The index of a lane, valid within one process, also after a change of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LaneKey(pub u16);

/// The settings of a class that the request path uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// The class's name; empty for the class of requests that match no other.
    pub name: String,
    /// The urgency, from 0, the most urgent, to 9.
    pub urgency: u8,
    /// The time that a request has if its caller sets no deadline, in milliseconds.
    pub answer_ms: u64,
}

/// The class and lane of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The class of the request.
    pub class: ClassKey,
    /// The lane of the request.
    pub lane: LaneKey,
}

/// A lane: its class and the selectors that its targets have to match.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lane {
    /// The class of the lane's requests.
    pub class: ClassKey,
    /// The selectors on VM labels of the class, the workspace and the service, in this order.
    pub allowed: [Selector; 3],
}

/// The most lanes; a request that would need one more is refused.
const LANE_LIMIT: usize = 4_096;

/// The classes and lanes of the current configuration.
#[derive(Default)]
pub struct Classifier {
    config: Arc<Config>,
    classes: Vec<Class>,
    lanes: Vec<Lane>,
    lane_cache: HashMap<(usize, Option<usize>, usize), LaneKey>,
}

impl Classifier {
    /// Creates a classifier without a configuration, which refuses every request.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Loads a version of the configuration. The keys of existing lanes and classes stay valid.
    pub fn load(&mut self, config: Arc<Config>) {
        for class in &config.classes {
            self.add_class(&class.name, class.urgency, class.answer_ms);
        }
        self.add_class("", DEFAULT_URGENCY, DEFAULT_ANSWER_MS);
        self.lane_cache.clear();
        self.config = config;
    }

    fn add_class(&mut self, name: &str, urgency: u8, answer_ms: u64) {
        let class = Class {
            name: name.to_owned(),
            urgency,
            answer_ms,
        };
        match self.classes.iter_mut().find(|c| c.name == name) {
            Some(found) => *found = class,
            None => self.classes.push(class),
        }
    }

    /// Returns a class by its key.
    #[must_use]
    pub fn class(&self, key: ClassKey) -> Option<&Class> {
        self.classes.get(usize::from(key.0))
    }

    /// Returns all lanes; a [`LaneKey`] is an index into them.
    #[must_use]
    pub fn lanes(&self) -> &[Lane] {
        &self.lanes
    }

    /// Assigns a request its class and lane. The workspace's labels override those of the request,
    /// so that a caller can't pose as another workspace. An empty name stands for no workspace.
    ///
    /// # Errors
    ///
    /// [`Kind::NotFound`] when the workspace or the service isn't in the configuration.
    pub fn assign(
        &mut self,
        workspace: &str,
        service: &str,
        labels: &Labels,
    ) -> Result<Assignment> {
        let config = self.config.clone();
        let workspace_at = config.workspaces.iter().position(|w| w.name == workspace);
        if workspace_at.is_none() && !workspace.is_empty() {
            return Err(Error::new(Kind::NotFound, "no such workspace"));
        }
        let service_at = config.services.iter().position(|s| s.name == service);
        let service_at = service_at.ok_or_else(|| Error::new(Kind::NotFound, "no such service"))?;
        let mut effective = labels.clone();
        if let Some(workspace_at) = workspace_at {
            effective.extend(config.workspaces[workspace_at].labels.clone());
        }
        effective.insert("workspace".to_owned(), workspace.to_owned());
        effective.insert("service".to_owned(), service.to_owned());
        let class_at = config
            .classes
            .iter()
            .position(|c| c.matches.matches(&effective));
        let class_at = class_at.unwrap_or(config.classes.len());
        let lane = match self.lane_cache.get(&(class_at, workspace_at, service_at)) {
            Some(lane) => *lane,
            None => self.add_lane(class_at, workspace_at, service_at)?,
        };
        Ok(Assignment {
            class: self.lanes[usize::from(lane.0)].class,
            lane,
        })
    }

    fn add_lane(
        &mut self,
        class_at: usize,
        workspace_at: Option<usize>,
        service_at: usize,
    ) -> Result<LaneKey> {
        let config = &self.config;
        let class = config.classes.get(class_at);
        let name = class.map_or("", |c| c.name.as_str());
        let key = self.classes.iter().position(|c| c.name == name);
        let lane = Lane {
            class: ClassKey(key.unwrap_or_default() as u16),
            allowed: [
                class.map(|c| c.r#where.clone()).unwrap_or_default(),
                workspace_at
                    .map(|s| config.workspaces[s].r#where.clone())
                    .unwrap_or_default(),
                config.services[service_at].r#where.clone(),
            ],
        };
        let at = self.lanes.iter().position(|l| *l == lane);
        if at.is_none() && self.lanes.len() >= LANE_LIMIT {
            return Err(Error::new(Kind::Shed, "too many lanes"));
        }
        let at = at.unwrap_or_else(|| {
            self.lanes.push(lane);
            self.lanes.len() - 1
        });
        let key = LaneKey(at as u16);
        self.lane_cache
            .insert((class_at, workspace_at, service_at), key);
        Ok(key)
    }
}
