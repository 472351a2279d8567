//! The operators' routes for the configuration: show it, change it and list its history.

use std::sync::Arc;

use bytes::Bytes;
use hyper::StatusCode;
use hyper::http::request::Parts;
use marigoldglade::api::{CALLER_HEADER, KEY_HEADER};
use marigoldglade::config::Config;
use marigoldglade::config_accept::{
    Action, Document, HISTORY_PREFIX, Proposal, Stamp, Verdict, history_key,
};
use marigoldglade::config_diff::{Change, diff};
use marigoldglade::config_edit::Edit;
use marigoldglade::guarantee;
use marigoldglade::label::is_word;
use marigoldglade::prelude::*;
use marigoldglade::store::{Body, Call, Fault};
use marigoldglade::wire::Role;
use serde_json::json;

use crate::app::App;
use crate::clock;
use crate::configs::CALL_TIMEOUT_MS;
use crate::front::{self, Answer};
use crate::store_client::Rank;

/// The header with the number of the version that an operator's change is based on.
const BASE_HEADER: &str = "mg-base";
/// The time to write a new version to the store and learn the outcome, in milliseconds.
const ACCEPT_TIMEOUT_MS: u64 = 5_000;
/// The most versions of the history that are read at once.
const HISTORY_PAGE: u32 = 20;
/// The most times that a small edit is tried when other operators' changes are written first.
const EDIT_TRIES: usize = 5;

impl App {
    /// Answers with the version in force at this daemon.
    pub(crate) fn show_config(&self) -> Result<Answer> {
        let version = self.configs.require()?;
        front::json(
            StatusCode::OK,
            &json!({
                "version": version.number,
                "author": version.document.author,
                "at": version.document.at,
                "text": version.document.text,
            }),
        )
    }

    /// Writes an operator's new configuration, if it is based on the newest version.
    pub(crate) async fn apply_config(
        self: &Arc<Self>,
        parts: &Parts,
        body: &Bytes,
    ) -> Result<Answer> {
        let text = std::str::from_utf8(body)
            .map_err(|_| Error::new(Kind::BadInput, "the configuration isn't UTF-8"))?;
        let config = Config::parse("configuration", text)?;
        let base: u64 = front::header(parts, BASE_HEADER)?
            .unwrap_or("0")
            .parse()
            .map_err(|_| Error::new(Kind::BadInput, format!("{BASE_HEADER}: expected a number")))?;
        let nonce = nonce(parts)?;
        let author = author(parts)?;
        let accepted = self.propose(base, (nonce, author), &config, text).await?;
        accepted_answer(&accepted)
    }

    /// Applies a small edit to the newest version, and tries again if another change was written first.
    pub(crate) async fn edit_config(
        self: &Arc<Self>,
        parts: &Parts,
        body: &Bytes,
    ) -> Result<Answer> {
        let edit: Edit = serde_json::from_slice(body)
            .map_err(|e| Error::new(Kind::BadInput, format!("edit: {e}")))?;
        let author = author(parts)?;
        let nonce = nonce(parts)?;
        let mut last = Error::new(
            Kind::Conflict,
            "at each try another operator's change was written first",
        );
        for _ in 0..EDIT_TRIES {
            let version = self.configs.current();
            let base = version.as_ref().map_or(0, |v| v.number);
            let before = version.map(|v| v.config).unwrap_or_default();
            let text = edit.apply(&before)?.to_yaml()?;
            let config = Config::parse("configuration", &text)?;
            let writer = (nonce.clone(), author.clone());
            match self.propose(base, writer, &config, &text).await {
                Ok(document) => return accepted_answer(&document),
                Err(e) if e.kind == Kind::Conflict => last = e,
                Err(e) => return Err(e),
            }
        }
        Err(last)
    }

    async fn propose(
        self: &Arc<Self>,
        base: u64,
        (nonce, author): (String, String),
        config: &Config,
        text: &str,
    ) -> Result<Document> {
        let before = self.base_config(base).await;
        self.check_guarantees(&before, config)?;
        let number = base + 1;
        let document = Document {
            stamp: Stamp { number, nonce },
            author,
            at: clock::now(),
            changes: diff(&before, config),
            text: text.to_owned(),
        };
        match self.write_version(document).await {
            Verdict::Accepted(document) => {
                self.adopt_config(document.clone());
                Ok(document)
            }
            Verdict::Conflict(newest) => Err(self.conflict(base, newest).await),
            Verdict::NotWritten => Err(Error::new(
                Kind::StoreDown,
                "the store can't be reached; nothing was changed",
            )),
            Verdict::Unknown => Err(Error::new(
                Kind::Unknown,
                format!(
                    "the store didn't answer; version {number} may have been accepted: look at \
                     the history, or send the same change again with the same {KEY_HEADER}"
                ),
            )),
        }
    }

    /// Returns the configuration that a change is based on, or an empty one if it isn't known.
    async fn base_config(&self, base: u64) -> Arc<Config> {
        if let Some(version) = self.configs.current().filter(|v| v.number == base) {
            return version.config;
        }
        let past = self.past_version(base).await.ok().flatten();
        let config = past.and_then(|d| Config::parse("history", &d.text).ok());
        Arc::new(config.unwrap_or_default())
    }

    /// Refuses a change that guarantees more than the listed workers can provide. Without a worker in
    /// the list, every change passes.
    fn check_guarantees(&self, before: &Config, after: &Config) -> Result<()> {
        let listed = self.targets.list();
        if listed.iter().any(|vm| vm.role == Role::Worker) {
            guarantee::check_change(before, after, &listed)?;
        }
        Ok(())
    }

    async fn write_version(&self, document: Document) -> Verdict {
        let deadline = clock::now().after(ACCEPT_TIMEOUT_MS);
        let (mut proposal, mut action) = Proposal::new(document, deadline);
        loop {
            action = match action {
                Action::Finish(verdict) => return verdict,
                Action::Wait(until) => {
                    clock::sleep_until(until).await;
                    proposal.resume()
                }
                Action::Call(call) => {
                    let call_deadline = deadline.min(clock::now().after(CALL_TIMEOUT_MS));
                    let result = self.store.call(Rank::Config, call, call_deadline).await;
                    proposal.step(clock::now(), result.as_ref().map_err(|f| *f))
                }
            };
        }
    }

    /// Returns the error for a change that isn't based on the newest version. It lists what changed
    /// since version `base`.
    async fn conflict(self: &Arc<Self>, base: u64, newest: Option<Document>) -> Error {
        let number = newest.as_ref().map_or(0, |d| d.stamp.number);
        if let Some(newest) = newest {
            self.adopt_config(newest);
        }
        let past = self.history(base).await.unwrap_or_default();
        let mut changes: Vec<&Change> = past.iter().flat_map(|d| &d.changes).collect();
        changes.sort();
        changes.dedup();
        let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
        let detail = format!(
            "version {base} isn't the newest, {number} is; changed since: {}",
            lines.join(", ")
        );
        Error::new(Kind::Conflict, detail)
    }

    /// Reads the versions after number `after`, at most [`HISTORY_PAGE`] of them.
    async fn history(&self, after: u64) -> std::result::Result<Vec<Document>, Fault> {
        let call = Call::Range {
            prefix: HISTORY_PREFIX.to_owned(),
            after: history_key(after),
            limit: HISTORY_PAGE,
        };
        let deadline = clock::now().after(CALL_TIMEOUT_MS);
        let reply = self.store.call(Rank::Config, call, deadline).await?;
        let Body::Range { pairs, .. } = reply.body else {
            return Ok(Vec::new());
        };
        let documents = pairs.iter().filter_map(|p| Document::read(&p.value));
        Ok(documents.collect())
    }

    async fn past_version(&self, number: u64) -> std::result::Result<Option<Document>, Fault> {
        let documents = self.history(number.saturating_sub(1)).await?;
        Ok(documents.into_iter().find(|d| d.stamp.number == number))
    }

    /// Answers with the newest versions, without their texts.
    pub(crate) async fn show_history(&self) -> Result<Answer> {
        let newest = self.configs.stamp().number;
        let documents = self
            .history(newest.saturating_sub(HISTORY_PAGE.into()))
            .await;
        let documents = documents.map_err(store_down)?;
        let rows: Vec<_> = documents
            .iter()
            .map(|d| {
                let changes: Vec<String> = d.changes.iter().map(ToString::to_string).collect();
                json!({
                    "version": d.stamp.number, "at": d.at, "author": d.author,
                    "nonce": d.stamp.nonce, "changes": changes,
                })
            })
            .collect();
        front::json(StatusCode::OK, &rows)
    }

    /// Answers with a past version and its text.
    pub(crate) async fn show_version(&self, number: &str) -> Result<Answer> {
        let number: u64 = number.parse().map_err(|_| {
            Error::new(Kind::BadInput, "the version in the path: expected a number")
        })?;
        match self.past_version(number).await.map_err(store_down)? {
            Some(document) => front::json(StatusCode::OK, &document),
            None => Err(Error::new(
                Kind::NotFound,
                format!("there is no version {number} in the history"),
            )),
        }
    }
}

fn store_down(_: Fault) -> Error {
    Error::new(Kind::StoreDown, "the store can't be reached")
}

fn accepted_answer(document: &Document) -> Result<Answer> {
    let changes: Vec<String> = document.changes.iter().map(ToString::to_string).collect();
    let number = document.stamp.number;
    front::json(
        StatusCode::OK,
        &json!({"version": number, "changes": changes}),
    )
}

fn header_word(parts: &Parts, header: &str, default: impl FnOnce() -> String) -> Result<String> {
    match front::header(parts, header)? {
        None => Ok(default()),
        Some(text) if is_word(text) => Ok(text.to_owned()),
        Some(_) => Err(Error::new(
            Kind::BadInput,
            format!("{header}: expected 1 to 128 word characters"),
        )),
    }
}

fn author(parts: &Parts) -> Result<String> {
    header_word(parts, CALLER_HEADER, || "unknown".to_owned())
}

/// Returns the operator's idempotency key, or else a random nonce.
fn nonce(parts: &Parts) -> Result<String> {
    header_word(parts, KEY_HEADER, || {
        format!("{:016x}", rand::random::<u64>())
    })
}
