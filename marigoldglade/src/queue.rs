//! The queue of requests that wait for a target, bounded in number and bytes.
//!
//! Requests are queued by lane and caller. Within a lane the callers are served by deficit round
//! robin (Shreedhar and Varghese, 1996); [`Requests`](crate::requests::Requests) chooses the lane.

use std::collections::{HashMap, VecDeque};

use crate::classify::LaneKey;
use crate::share::{CallerKey, FULL_WEIGHT};

/// The number of a request, unique within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey(pub u64);

/// A request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The request that waits.
    pub request: RequestKey,
    /// The memory that the request holds, in bytes.
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
    // The callers with waiting requests, in the order of their turns.
    ring: VecDeque<CallerKey>,
    len: usize,
}

/// The limits of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The most requests that may wait.
    pub len: usize,
    /// The most bytes that the waiting requests may hold.
    pub bytes: u64,
}

/// The waiting requests of one daemon.
pub struct Queue {
    bounds: Bounds,
    lanes: Vec<Lane>,
    len: usize,
    bytes: u64,
}

impl Queue {
    /// Creates an empty queue.
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

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns how many bytes the waiting requests hold.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns whether a request of this size fits now.
    #[must_use]
    pub fn fits(&self, bytes: u32) -> bool {
        self.len < self.bounds.len && self.bytes + u64::from(bytes) <= self.bounds.bytes
    }

    /// Returns whether a request of this size fits into an empty queue.
    #[must_use]
    pub fn can_ever_fit(&self, bytes: u32) -> bool {
        u64::from(bytes) <= self.bounds.bytes
    }

    /// Counts a request that waits outside the lanes until its next try.
    pub fn count_delayed(&mut self, bytes: u32) {
        self.len += 1;
        self.bytes += u64::from(bytes);
    }

    /// Stops counting a request that [`Self::count_delayed`] counted.
    pub fn uncount_delayed(&mut self, bytes: u32) {
        self.len -= 1;
        self.bytes -= u64::from(bytes);
    }

    /// Returns how many requests of a lane wait.
    #[must_use]
    pub fn lane_len(&self, lane: LaneKey) -> usize {
        self.lane(lane).map_or(0, |l| l.len)
    }

    /// Returns the lanes in which requests wait.
    pub fn waiting_lanes(&self) -> impl Iterator<Item = LaneKey> + '_ {
        let nonempty = self.lanes.iter().enumerate().filter(|(_, l)| l.len > 0);
        nonempty.map(|(i, _)| LaneKey(i as u16))
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

    /// Returns how many requests of the lane are served before a new one of `caller`, if all
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

    /// Adds a request at the end of its caller's requests, or at the front if it was queued before.
    pub fn push(&mut self, lane: LaneKey, caller: CallerKey, entry: Entry, at_front: bool) {
        self.len += 1;
        self.bytes += u64::from(entry.bytes);
        let lane = self.lane_mut(lane);
        lane.len += 1;
        let flow = lane.flows.entry(caller).or_default();
        if flow.entries.is_empty() {
            lane.ring.push_back(caller);
        }
        if at_front {
            flow.entries.push_front(entry);
        } else {
            flow.entries.push_back(entry);
        }
    }

    /// Removes and returns the lane's next request; `weight` is what a caller earns in each round,
    /// in thousandths of a request.
    pub fn pop(&mut self, lane: LaneKey, weight: impl Fn(CallerKey) -> u32) -> Option<Entry> {
        let lane = self.lane_mut(lane);
        loop {
            let caller = *lane.ring.front()?;
            let flow = lane.flows.get_mut(&caller)?;
            if flow.deficit < FULL_WEIGHT {
                flow.deficit += weight(caller).max(1);
            }
            if flow.deficit < FULL_WEIGHT {
                lane.ring.rotate_left(1);
                continue;
            }
            flow.deficit -= FULL_WEIGHT;
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

    /// Removes a request and returns whether it was there.
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

    /// Returns the caller of a lane with the most waiting requests for its weight, and its last
    /// request; one more request is counted for the caller `arriving`.
    #[must_use]
    pub fn heaviest_caller(
        &self,
        lane: LaneKey,
        arriving: Option<CallerKey>,
        weight: impl Fn(CallerKey) -> u32,
    ) -> Option<(CallerKey, RequestKey)> {
        let flows = self.lane(lane)?.flows.iter();
        let load = |key: CallerKey, len: usize| {
            let len = len + usize::from(arriving == Some(key));
            len as u64 * u64::from(FULL_WEIGHT) / u64::from(weight(key).max(1))
        };
        let heaviest = flows.max_by_key(|(key, f)| (load(**key, f.entries.len()), **key))?;
        let last = heaviest.1.entries.back()?;
        Some((*heaviest.0, last.request))
    }
}
