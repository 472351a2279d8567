//! The data centres that the operators have evacuated, as read from the store.

use std::collections::BTreeSet;

use crate::store::Revision;

/// The evacuated data centres, and how recent that is.
///
/// A read may be older than an earlier one, so what is older than the known state changes nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    dcs: BTreeSet<String>,
    as_of: Revision,
}

impl Evacuations {
    /// Returns the names of the data centres.
    #[must_use]
    pub const fn dcs(&self) -> &BTreeSet<String> {
        &self.dcs
    }

    /// Replaces the data centres by a complete list that was read at a revision; returns whether they
    /// changed.
    pub fn replace(&mut self, dcs: BTreeSet<String>, as_of: Revision) -> bool {
        if as_of < self.as_of {
            return false;
        }
        self.as_of = as_of;
        let changed = self.dcs != dcs;
        self.dcs = dcs;
        changed
    }

    /// Notes that an evacuation was requested, or its request taken back, at a revision; returns whether
    /// the data centres changed.
    pub fn set(&mut self, dc: &str, requested: bool, revision: Revision) -> bool {
        // Several changes share a revision if one transaction made them.
        if revision < self.as_of {
            return false;
        }
        self.as_of = revision;
        if requested {
            self.dcs.insert(dc.to_owned())
        } else {
            self.dcs.remove(dc)
        }
    }
}
