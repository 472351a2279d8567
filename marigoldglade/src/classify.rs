//! Puts a request in its class and lane by the operators' selectors.
//!
//! The configuration and a request's labels flow in, a [`Place`] flows out. A lane is what the
//! queue keeps apart: one class, one service, and one set of places where the work may run.

use std::collections::HashMap;
use std::sync::Arc;

use crate::config::Config;
use crate::prelude::*;

/// The urgency of a request that no class matches.
const DEFAULT_URGENCY: u8 = 9;
/// The time a request has that no class matches and whose caller sets no deadline.
const DEFAULT_ANSWER_MS: u64 = 2_000;

/// A class within one version of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassKey(pub u16);

/// A lane within one process; it outlives changes of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LaneKey(pub u16);

/// What a class means to the request path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// The name.
    pub name: String,
    /// From 0, the most urgent, to 9.
    pub urgency: u8,
    /// The time a request has when its caller sets no deadline, in milliseconds.
    pub answer_ms: u64,
}

/// Where a request belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its class.
    pub class: ClassKey,
    /// Its lane.
    pub lane: LaneKey,
}

/// A lane: the class and the selectors that its targets match.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lane {
    /// The class.
    pub class: ClassKey,
    /// Selectors of class, workspace and service, over VM labels.
    pub allowed: [Selector; 3],
}

/// The most lanes that are kept apart; the rest of the requests are refused.
const LANE_LIMIT: usize = 4_096;

/// Classes and lanes of the configuration in force.
#[derive(Default)]
pub struct Classifier {
    config: Arc<Config>,
    classes: Vec<Class>,
    lanes: Vec<Lane>,
    known: HashMap<(usize, Option<usize>, usize), LaneKey>,
}

impl Classifier {
    /// Makes a classifier without a configuration; it refuses everything.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a version of the configuration. Lanes of the former one stay valid.
    pub fn load(&mut self, config: Arc<Config>) {
        for class in &config.classes {
            self.add_class(&class.name, class.urgency, class.answer_ms);
        }
        self.add_class("", DEFAULT_URGENCY, DEFAULT_ANSWER_MS);
        self.known.clear();
        self.config = config;
    }

    fn add_class(&mut self, name: &str, urgency: u8, answer_ms: u64) {
        let class = Class {
            name: name.to_owned(),
            urgency,
            answer_ms,
        };
        match self.classes.iter_mut().find(|c| c.name == name) {
            Some(known) => *known = class,
            None => self.classes.push(class),
        }
    }

    /// Returns the class behind a key of this classifier.
    #[must_use]
    pub fn class(&self, key: ClassKey) -> Option<&Class> {
        self.classes.get(usize::from(key.0))
    }

    /// Returns all lanes, by [`LaneKey`].
    #[must_use]
    pub fn lanes(&self) -> &[Lane] {
        &self.lanes
    }

    /// Finds class and lane. The workspace's labels go before the request's own, so that a
    /// caller can't pass for another tenant. An empty name is no workspace.
    ///
    /// # Errors
    ///
    /// [`Kind::NotFound`] when the workspace or the service isn't in the configuration.
    pub fn place(&mut self, workspace: &str, service: &str, labels: &Labels) -> Result<Place> {
        let config = self.config.clone();
        let space = config.workspaces.iter().position(|w| w.name == workspace);
        if space.is_none() && !workspace.is_empty() {
            return Err(Error::new(Kind::NotFound, "no such workspace"));
        }
        let group = config.services.iter().position(|s| s.name == service);
        let group = group.ok_or_else(|| Error::new(Kind::NotFound, "no such service"))?;
        let mut seen = labels.clone();
        if let Some(space) = space {
            seen.extend(config.workspaces[space].labels.clone());
        }
        seen.insert("workspace".to_owned(), workspace.to_owned());
        seen.insert("service".to_owned(), service.to_owned());
        let rule = config.classes.iter().position(|c| c.matches.matches(&seen));
        let rule = rule.unwrap_or(config.classes.len());
        let lane = match self.known.get(&(rule, space, group)) {
            Some(lane) => *lane,
            None => self.add_lane(rule, space, group)?,
        };
        Ok(Place {
            class: self.lanes[usize::from(lane.0)].class,
            lane,
        })
    }

    fn add_lane(&mut self, rule: usize, space: Option<usize>, group: usize) -> Result<LaneKey> {
        let config = &self.config;
        let class = config.classes.get(rule);
        let name = class.map_or("", |c| c.name.as_str());
        let key = self.classes.iter().position(|c| c.name == name);
        let lane = Lane {
            class: ClassKey(key.unwrap_or_default() as u16),
            allowed: [
                class.map(|c| c.r#where.clone()).unwrap_or_default(),
                space
                    .map(|s| config.workspaces[s].r#where.clone())
                    .unwrap_or_default(),
                config.services[group].r#where.clone(),
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
        self.known.insert((rule, space, group), key);
        Ok(key)
    }
}
