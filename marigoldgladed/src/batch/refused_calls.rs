//! Bounds the log lines about calls that are refused again and again.

use std::collections::HashMap;

use marigoldglade::prelude::*;
use marigoldglade::time::SECOND_MS;

/// The time from one line about a kind of refused calls to the next, in milliseconds.
const GAP_MS: u64 = 10 * SECOND_MS;
/// The most kinds of refused calls that are told apart; all further ones share their lines.
const KINDS_LIMIT: usize = 64;

/// What refused calls have in common that share their lines: the error, why, and the path without its last
/// part, which may name a job.
type RefusedCall = (Kind, String, String);

/// The lines about refused calls of the last seconds.
#[derive(Default)]
pub(super) struct RefusedCalls(HashMap<Option<RefusedCall>, Line>);

struct Line {
    at: UnixMs,
    /// How many calls were refused since without a line.
    left_out: u64,
}

impl RefusedCalls {
    /// Notes a refused call; if it gets a line, returns how many such calls before it got none.
    pub(super) fn note(&mut self, now: UnixMs, error: &Error, path: &str) -> Option<u64> {
        let prefix = path.rsplit_once('/').map_or("", |(prefix, _)| prefix);
        let call = Some((error.kind, error.detail.clone(), prefix.to_owned()));
        let key = if self.0.len() < KINDS_LIMIT || self.0.contains_key(&call) {
            call
        } else {
            self.0.retain(|_, l| !l.at.after(GAP_MS).passed(now));
            call.filter(|_| self.0.len() < KINDS_LIMIT)
        };
        let Some(line) = self.0.get_mut(&key) else {
            self.0.insert(
                key,
                Line {
                    at: now,
                    left_out: 0,
                },
            );
            return Some(0);
        };
        if !line.at.after(GAP_MS).passed(now) {
            line.left_out += 1;
            return None;
        }
        line.at = now;
        Some(std::mem::take(&mut line.left_out))
    }
}
