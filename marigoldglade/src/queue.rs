//! Holds requests that wait for a target, bounded in number and bytes.
//!
//! Requests flow in by lane and caller and flow out by deficit round robin over the callers of a
//! lane (Shreedhar and Varghese, 1996). Which lane is next is the composing filter's choice.

use std::collections::{HashMap, VecDeque};

use crate::classify::LaneKey;
use crate::share::{CallerKey, WEIGHT_FULL};

/// A request within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey(pub u64);

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The request.
    pub request: RequestKey,
    /// What it holds, in bytes.
    pub bytes: u32,
}

#[derive(Default)]
struct Flow {
    // Thousandths of a request.
    deficit: u32,
    entries: VecDeque<Entry>,
}

#[derive(Default)]
struct Lane {
    flows: HashMap<CallerKey, Flow>,
    ring: VecDeque<CallerKey>,
    len: usize,
}

/// The most that may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Requests.
    pub len: usize,
    /// Bytes of requests.
    pub bytes: u64,
}

/// All that waits.
pub struct Queue {
    bounds: Bounds,
    lanes: Vec<Lane>,
    len: usize,
    bytes: u64,
}

impl Queue {
    /// Makes an empty queue.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            lanes: Vec::new(),
            len: 0,
            bytes: 0,
        }
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the bytes of the requests that wait.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns whether a request of so many bytes fits.
    #[must_use]
    pub fn fits(&self, bytes: u32) -> bool {
        self.len < self.bounds.len && self.bytes + u64::from(bytes) <= self.bounds.bytes
    }

    /// Returns whether a request of so many bytes could fit if nothing else waited.
    #[must_use]
    pub fn could_fit(&self, bytes: u32) -> bool {
        u64::from(bytes) <= self.bounds.bytes
    }

    /// Counts a request that waits outside the lanes, for its next try.
    pub fn hold(&mut self, bytes: u32) {
        self.len += 1;
        self.bytes += u64::from(bytes);
    }

    /// Takes back what [`Self::hold`] counted.
    pub fn unhold(&mut self, bytes: u32) {
        self.len -= 1;
        self.bytes -= u64::from(bytes);
    }

    /// Returns how many requests of a lane wait.
    #[must_use]
    pub fn lane_len(&self, lane: LaneKey) -> usize {
        self.lane(lane).map_or(0, |l| l.len)
    }

    /// Returns the lanes in which requests wait.
    pub fn waiting(&self) -> impl Iterator<Item = LaneKey> + '_ {
        let full = self.lanes.iter().enumerate().filter(|(_, l)| l.len > 0);
        full.map(|(i, _)| LaneKey(i as u16))
    }

    fn lane(&self, lane: LaneKey) -> Option<&Lane> {
        self.lanes.get(usize::from(lane.0))
    }

    fn lane_mut(&mut self, lane: LaneKey) -> &mut Lane {
        let at = usize::from(lane.0);
        if self.lanes.len() <= at {
            self.lanes.resize_with(at + 1, Lane::default);
        }
        &mut self.lanes[at]
    }

    /// Returns how many requests of the lane go before the next one of `caller`, when all
    /// weights are equal.
    #[must_use]
    pub fn ahead(&self, lane: LaneKey, caller: CallerKey) -> usize {
        let Some(lane) = self.lane(lane) else {
            return 0;
        };
        let own = lane.flows.get(&caller).map_or(0, |f| f.entries.len());
        let others = lane.flows.iter().filter(|(key, _)| **key != caller);
        own + others
            .map(|(_, f)| f.entries.len().min(own + 1))
            .sum::<usize>()
    }

    /// Adds a request at the end of its caller's line, or at its head for a retry.
    pub fn push(&mut self, lane: LaneKey, caller: CallerKey, entry: Entry, head: bool) {
        self.len += 1;
        self.bytes += u64::from(entry.bytes);
        let lane = self.lane_mut(lane);
        lane.len += 1;
        let flow = lane.flows.entry(caller).or_default();
        if flow.entries.is_empty() {
            lane.ring.push_back(caller);
        }
        if head {
            flow.entries.push_front(entry);
        } else {
            flow.entries.push_back(entry);
        }
    }

    /// Takes the lane's next request; `weight` gives a caller's part of a request that it earns a
    /// round, in thousandths.
    pub fn pop(&mut self, lane: LaneKey, weight: impl Fn(CallerKey) -> u32) -> Option<Entry> {
        let lane = self.lane_mut(lane);
        loop {
            let caller = *lane.ring.front()?;
            let flow = lane.flows.get_mut(&caller)?;
            if flow.deficit < WEIGHT_FULL {
                flow.deficit += weight(caller).max(1);
            }
            if flow.deficit < WEIGHT_FULL {
                lane.ring.rotate_left(1);
                continue;
            }
            flow.deficit -= WEIGHT_FULL;
            let entry = flow.entries.pop_front()?;
            lane.len -= 1;
            if flow.entries.is_empty() {
                lane.flows.remove(&caller);
                lane.ring.pop_front();
            } else {
                lane.ring.rotate_left(1);
            }
            self.len -= 1;
            self.bytes -= u64::from(entry.bytes);
            return Some(entry);
        }
    }

    /// Removes one request.
    pub fn remove(&mut self, lane: LaneKey, caller: CallerKey, request: RequestKey) -> bool {
        let lane = self.lane_mut(lane);
        let Some(flow) = lane.flows.get_mut(&caller) else {
            return false;
        };
        let at = flow.entries.iter().position(|e| e.request == request);
        let Some(entry) = at.and_then(|at| flow.entries.remove(at)) else {
            return false;
        };
        lane.len -= 1;
        if flow.entries.is_empty() {
            lane.flows.remove(&caller);
            lane.ring.retain(|c| *c != caller);
        }
        self.len -= 1;
        self.bytes -= u64::from(entry.bytes);
        true
    }

    /// Returns the caller of a lane with the longest line for its weight, and its last request;
    /// `extra` is a caller whose line counts as one longer.
    #[must_use]
    pub fn heaviest(
        &self,
        lane: LaneKey,
        extra: Option<CallerKey>,
        weight: impl Fn(CallerKey) -> u32,
    ) -> Option<(CallerKey, RequestKey)> {
        let flows = self.lane(lane)?.flows.iter();
        let line = |key: CallerKey, len: usize| {
            let len = len + usize::from(extra == Some(key));
            len as u64 * u64::from(WEIGHT_FULL) / u64::from(weight(key).max(1))
        };
        let longest = flows.max_by_key(|(key, f)| (line(**key, f.entries.len()), **key))?;
        let last = longest.1.entries.back()?;
        Some((*longest.0, last.request))
    }
}
