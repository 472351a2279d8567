//! The configuration in force: the store's document flows in, checked versions flow out.

use std::sync::Arc;

use bytes::Bytes;
use hyper::StatusCode;
use hyper::http::request::Parts;
use marigoldglade::config::Config;
use marigoldglade::prelude::*;
use marigoldglade::store::{Body, Call, Compare, Fault, Op, Outcome, Pair, Revision, Txn};
use marigoldglade::time::SECOND_MS;
use serde_json::json;
use tokio::sync::watch;

use crate::app::App;
use crate::clock;
use crate::front::{self, Answer};
use crate::keeper::Rank;

/// The key of the configuration.
const KEY: &str = "/mg/config";
/// The header with the version that an operator's change is based on.
const BASE_HEADER: &str = "mg-base";
/// The time a call for the configuration may take, in milliseconds.
const CALL_MS: u64 = 2_000;
/// The time a watch may wait, in milliseconds.
const WATCH_MS: u64 = 30 * SECOND_MS;

/// A version in force.
#[derive(Clone)]
pub(crate) struct Version {
    pub(crate) number: Revision,
    pub(crate) config: Arc<Config>,
    pub(crate) text: Arc<str>,
}

/// The newest version that this daemon knows.
pub(crate) struct Configs {
    current: watch::Sender<Option<Version>>,
}

impl Configs {
    /// Makes one that knows no version.
    pub(crate) fn new() -> Self {
        Self {
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
    pub(crate) fn need(&self) -> Result<Version> {
        self.current()
            .ok_or_else(|| Error::new(Kind::NotReady, "no configuration is known yet"))
    }

    /// Puts a version in force unless a newer one is.
    fn take(&self, pair: &Pair) -> Result<()> {
        let text = String::from_utf8_lossy(&pair.value);
        let config: Config = Config::parse("configuration", &text)?;
        self.current.send_if_modified(|current| {
            let newer = current.as_ref().is_none_or(|c| c.number < pair.changed);
            if newer {
                log::info!("configuration {} is in force", pair.changed);
                *current = Some(Version {
                    number: pair.changed,
                    config: Arc::new(config),
                    text: text.into(),
                });
            }
            newer
        });
        Ok(())
    }
}

impl App {
    /// Keeps the configuration current until the daemon ends.
    pub(crate) async fn follow_configs(self: Arc<Self>) {
        loop {
            let end = clock::now().after(CALL_MS);
            let get = Call::Txn(Txn {
                then: vec![Op::Get(KEY.to_owned())],
                ..Txn::default()
            });
            let since = match self.keeper.call(Rank::Config, get, end).await {
                Ok(reply) => {
                    if let Body::Txn(done) = &reply.body
                        && let Some(Outcome::Pairs(pairs)) = done.outcomes.first()
                        && let Some(pair) = pairs.first()
                        && let Err(e) = self.configs.take(pair)
                    {
                        log::error!("the stored configuration can't be read: {e}");
                    }
                    reply.revision
                }
                Err(_) => {
                    clock::sleep_until(clock::now().after(SECOND_MS)).await;
                    continue;
                }
            };
            let watch = Call::Watch {
                prefix: KEY.to_owned(),
                since,
            };
            let end = clock::now().after(WATCH_MS);
            let _ = self.keeper.call(Rank::Config, watch, end).await;
        }
    }

    /// Shows the version in force.
    pub(crate) fn show_config(&self) -> Result<Answer> {
        let version = self.configs.need()?;
        front::json(
            StatusCode::OK,
            &json!({"version": version.number, "text": &*version.text}),
        )
    }

    /// Takes an operator's new configuration when it is based on the newest version.
    pub(crate) async fn apply_config(&self, parts: &Parts, body: &Bytes) -> Result<Answer> {
        let text = std::str::from_utf8(body)
            .map_err(|_| Error::new(Kind::BadInput, "the configuration isn't UTF-8"))?;
        Config::parse("configuration", text)?;
        let base: Revision = front::header(parts, BASE_HEADER)?
            .unwrap_or("0")
            .parse()
            .map_err(|_| Error::new(Kind::BadInput, format!("{BASE_HEADER}: not a number")))?;
        let txn = Txn {
            when: vec![Compare::Changed(KEY.to_owned(), base)],
            then: vec![Op::Put(KEY.to_owned(), text.into(), 0)],
            other: Vec::new(),
        };
        let end = clock::now().after(CALL_MS);
        let call = self.keeper.call(Rank::Config, Call::Txn(txn), end).await;
        match call {
            Ok(reply) => match reply.body {
                Body::Txn(done) if done.held => {
                    front::json(StatusCode::OK, &json!({"version": reply.revision}))
                }
                _ => Err(Error::new(
                    Kind::Conflict,
                    format!("version {base} isn't the newest"),
                )),
            },
            Err(Fault::Unknown) => Err(Error::new(Kind::Unknown, "the store didn't answer")),
            Err(_) => Err(Error::new(Kind::StoreDown, "the store can't be reached")),
        }
    }
}
