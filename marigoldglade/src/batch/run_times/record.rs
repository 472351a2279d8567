//! The stored record of what was learned, from which a new owner continues.

use serde::{Deserialize, Serialize};

use crate::batch::run_times::WorkKind;
use crate::error::{Error, Kind, Result};

/// The format that this program writes; a reader refuses newer ones.
const VERSION: u32 = 1;
/// The most workers and kinds in a record.
pub(super) const WORKER_LIMIT: usize = 4_096;
pub(super) const KIND_LIMIT: usize = 512;

/// What is read first, whatever the format.
#[derive(Deserialize)]
struct Header {
    version: u32,
}

/// What is stored about a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct WorkerRow {
    pub name: String,
    /// Its stretch in percent.
    pub percent: u32,
    /// The precision of the logarithm of its stretch.
    pub precision: u32,
}

/// What is stored about a kind of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct KindRow {
    pub kind: WorkKind,
    /// The run times that half and nine tenths of the runs don't exceed, in percent of the estimates.
    pub median: u64,
    pub high: u64,
    /// How many runs have shown that.
    pub runs: u64,
}

/// What is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Learned {
    version: u32,
    /// Whether the workers differ in speed.
    pub uneven: bool,
    pub workers: Vec<WorkerRow>,
    pub kinds: Vec<KindRow>,
}

impl Learned {
    pub fn new(uneven: bool, workers: Vec<WorkerRow>, kinds: Vec<KindRow>) -> Self {
        Self {
            version: VERSION,
            uneven,
            workers,
            kinds,
        }
    }

    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes)
            .map_err(|e| Error::new(Kind::Internal, format!("learned run times: {e}")))?;
        Ok(bytes)
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// [`Kind::BadInput`] if it is damaged or of a newer format.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let bad = |detail: String| Error::new(Kind::BadInput, detail);
        let header: Header = ciborium::from_reader(bytes).map_err(|e| bad(e.to_string()))?;
        if header.version != VERSION {
            let version = header.version;
            return Err(bad(format!("format {version}, expected {VERSION}")));
        }
        ciborium::from_reader(bytes).map_err(|e| bad(e.to_string()))
    }
}
