//! The recent self-repair events of this daemon, which logs, metrics and `GET /v1/events` show.

use std::sync::{Mutex, PoisonError};

use hyper::StatusCode;
use marigoldglade::events::{EVENT_LIMIT, Entry, Event, Recent};
use marigoldglade::prelude::*;

use crate::app::App;
use crate::clock;
use crate::front::{self, Answer};

/// The recent events, shared by all modules of the daemon.
#[derive(Default)]
pub(crate) struct Events(Mutex<Recent>);

impl App {
    /// Logs and counts an event and adds it to the recent ones.
    pub(crate) fn record_event(&self, event: Event) {
        let fields = serde_json::to_string(&event).unwrap_or_default();
        log::info!(target: "events", "{fields}");
        let label = vec![("kind", event.kind().to_string())];
        self.admin.events.get_or_create(&label).inc();
        let mut recent = self.events.0.lock().unwrap_or_else(PoisonError::into_inner);
        recent.push(clock::now(), event);
    }

    /// Answers with the recent events, the newest first.
    pub(crate) fn show_events(&self) -> Result<Answer> {
        let entries: Vec<Entry> = {
            let recent = self.events.0.lock().unwrap_or_else(PoisonError::into_inner);
            recent.newest(EVENT_LIMIT).cloned().collect()
        };
        front::json(StatusCode::OK, &entries)
    }

    /// Answers with the live daemons and the owners of the data centres that this daemon knows.
    pub(crate) fn show_mesh(&self) -> Result<Answer> {
        let view = serde_json::json!({
            "members": self.mesh.peers(),
            "owners": self.roles.holders(),
        });
        front::json(StatusCode::OK, &view)
    }
}
