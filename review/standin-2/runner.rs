//! Stand-in for a runner that takes orders by `invoke`.
//!
//! A task's `spec` holds `work_ms=N` (its work), `cpu=N` (what it takes) and `save` (it checkpoints).

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime};

use crate::http::{self, Request, Server};
use crate::json::{Json, quote};
use crate::store::Store;

/// The longest lease, in milliseconds (`max_hold_ms`).
const HOLD_LIMIT_MS: u64 = 10_000;
/// The time between two checkpoints (`checkpoint_interval_s`) and the time that a resumed run takes to restore
/// one (`restore_ms`), in milliseconds.
const SAVE_MS: u64 = 2_000;
const RESTORE_MS: u64 = 600;
/// The length of a checkpoint: that of a SHA-256 digest in hexadecimal digits.
const CHECKPOINT_DIGITS: usize = 64;
/// How long a stop takes, in milliseconds; below `stop_timeout_ms`.
const STOP_MS: u64 = 300;
/// The time between two writes of an entry (`heartbeat_ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// The most ends in one answer.
const ENDS: usize = 500;

struct Run {
    run: u64,
    cpu: u64,
    began: u64,
    /// The work that the checkpoint saved before.
    saved_ms: u64,
    work_ms: u64,
    saves: bool,
    stop_at: Option<u64>,
}

impl Run {
    fn done_ms(&self, clock: u64) -> u64 {
        let restore = if self.saved_ms > 0 { RESTORE_MS } else { 0 };
        self.saved_ms + clock.saturating_sub(self.began + restore)
    }

    /// Returns the newest checkpoint; a stop saves all work.
    fn checkpoint(&self, clock: u64, stopped: bool) -> String {
        let done = self.done_ms(clock);
        let saved = if stopped {
            done
        } else {
            done / SAVE_MS * SAVE_MS
        };
        if self.saves && saved > 0 {
            format!("{saved:0width$x}", width = CHECKPOINT_DIGITS)
        } else {
            String::new()
        }
    }
}

#[derive(Default)]
struct State {
    fence: u64,
    lease: u64,
    runs: BTreeMap<String, Run>,
    used: u64,
    ends: Vec<(u64, String)>,
    last_end: u64,
    blocked: HashMap<String, u64>,
    starts: Vec<(u64, String, u64)>,
    done: Vec<(u64, String)>,
    /// The runs: the task, the run, and when it began and ended, in milliseconds of this host.
    spans: Vec<(String, u64, u64, Option<u64>)>,
    /// Whether no process runs.
    down: bool,
    /// Whether the answer to the next start is lost.
    loses_answer: bool,
    /// When the runner leaves, if it drains.
    leaves_at: Option<u64>,
    gone: bool,
}

/// One process of a runner.
#[derive(Clone, Copy)]
struct Life {
    /// Its start in Unix milliseconds, by the time of day on its machine.
    born: u64,
    began: Instant,
}

pub struct Runner {
    pub id: String,
    pub rack: String,
    pub addr: SocketAddr,
    pub cpu: u64,
    server: Server,
    life: Mutex<Life>,
    state: Mutex<State>,
    changed: Condvar,
}

/// Returns the milliseconds since 1970.
pub fn now_ms() -> u64 {
    SystemTime::UNIX_EPOCH
        .elapsed()
        .expect("after 1970")
        .as_millis() as u64
}

fn word(spec: &str, name: &str) -> Option<u64> {
    spec.split(' ')
        .find_map(|w| w.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

impl State {
    fn note_end(&mut self, task: &str, at: u64) {
        let open = |s: &&mut (String, u64, u64, Option<u64>)| s.0 == task && s.3.is_none();
        if let Some(span) = self.spans.iter_mut().find(open) {
            span.3 = Some(at);
        }
    }

    fn end(&mut self, task: &str, how: &str, clock: u64) {
        self.note_end(task, now_ms());
        let Some(run) = self.runs.remove(task) else {
            return;
        };
        self.used -= run.cpu;
        self.last_end += 1;
        let saved = match how {
            "done" => String::new(),
            how => run.checkpoint(clock, how == "stopped"),
        };
        let row = format!(
            "[{},{},{},\"{how}\",{}]",
            self.last_end,
            quote(task),
            run.run,
            quote(&saved)
        );
        self.ends.push((self.last_end, row));
        self.blocked.insert(task.to_owned(), run.run);
        if how == "done" {
            self.done.push((clock, task.to_owned()));
        }
    }

    fn advance(&mut self, clock: u64) {
        let lapsed = clock > self.lease;
        let due = |r: &Run| {
            if lapsed {
                Some("lapsed")
            } else if r.done_ms(clock) >= r.work_ms {
                Some("done")
            } else if r.stop_at.is_some_and(|at| at <= clock) {
                Some("stopped")
            } else {
                None
            }
        };
        let due = self
            .runs
            .iter()
            .filter_map(|(t, r)| Some((t.clone(), due(r)?)));
        for (task, how) in due.collect::<Vec<_>>() {
            self.end(&task, how, clock);
        }
    }
}

impl Runner {
    /// Starts a runner at a free address.
    pub fn start(id: &str, rack: &str, cpu: u64, born: u64) -> Arc<Self> {
        let slot: Arc<Mutex<Option<Arc<Runner>>>> = Arc::default();
        let own = Arc::clone(&slot);
        let server = http::serve(move |request| {
            let runner = own.lock().expect("no panic").clone()?;
            runner.answer(request)
        });
        let runner = Arc::new(Self {
            id: id.to_owned(),
            rack: rack.to_owned(),
            addr: server.addr,
            server,
            cpu,
            life: Mutex::new(Life {
                born,
                began: Instant::now(),
            }),
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        *slot.lock().expect("no panic") = Some(Arc::clone(&runner));
        let ticked = Arc::clone(&runner);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                let clock = ticked.clock();
                let mut state = ticked.state.lock().expect("no panic");
                let before = state.last_end;
                state.advance(clock);
                if state.last_end > before {
                    ticked.changed.notify_all();
                }
            }
        });
        runner
    }

    /// Starts runners in racks of eight, and writes their entries to the registry until they leave.
    pub fn start_all(count: usize, store: &Arc<Store>) -> Vec<Arc<Self>> {
        let born = now_ms();
        let start = |i| Self::start(&format!("i-{i:010x}"), &format!("r{}", i / 8), 32_000, born);
        let runners: Vec<Arc<Self>> = (0..count).map(start).collect();
        let (beats, registry) = (runners.clone(), Arc::clone(store));
        std::thread::spawn(move || {
            for seq in 1.. {
                for runner in beats.iter().filter(|r| !r.is_away()) {
                    registry.put(&format!("servers/{}", runner.id), &runner.entry(seq));
                }
                std::thread::sleep(HEARTBEAT);
            }
        });
        runners
    }

    fn life(&self) -> Life {
        *self.life.lock().expect("no panic")
    }

    /// Crashes and starts again under the same id, when the time of day on its machine is `born`. It holds and
    /// knows nothing of before, and its connections end.
    pub fn crash(&self, born: u64) {
        self.go_down();
        self.go_up(born);
    }

    /// Crashes; no process runs until the next start.
    pub fn go_down(&self) {
        let mut state = self.state.lock().expect("no panic");
        for task in state.runs.keys().cloned().collect::<Vec<_>>() {
            state.note_end(&task, now_ms());
        }
        state.down = true;
        drop(state);
        self.changed.notify_all();
        self.server.close_connections();
    }

    /// Starts a new process under the same id.
    pub fn go_up(&self, born: u64) {
        let mut state = self.state.lock().expect("no panic");
        *self.life.lock().expect("no panic") = Life {
            born,
            began: Instant::now(),
        };
        let (starts, spans) = (
            std::mem::take(&mut state.starts),
            std::mem::take(&mut state.spans),
        );
        *state = State {
            starts,
            spans,
            ..State::default()
        };
        drop(state);
        self.changed.notify_all();
    }

    pub fn clock(&self) -> u64 {
        self.life().began.elapsed().as_millis() as u64 + 1
    }

    /// Returns the runner's entry in the registry.
    pub fn entry(&self, seq: u64) -> String {
        let leaves_at = self.state.lock().expect("no panic").leaves_at;
        let state = leaves_at.map_or("\"ready\"".to_owned(), |at| {
            format!(
                "\"draining\",\"remaining_ms\":{}",
                at.saturating_sub(self.clock())
            )
        });
        format!(
            "{{\"service\":\"pool-a\",\"address\":\"{}\",\"zone\":\"dc-a\",\"version\":\"v1\",\"slots\":8,\"state\":{state},\
             \"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":131072,\"gpu\":8}},\"labels\":[\"a\",\"{}\"],\
             \"born\":{},\"seq\":{seq}}}",
            self.addr,
            self.cpu,
            self.rack,
            self.life().born
        )
    }

    /// Loses the answer to the next start, which is carried out.
    pub fn lose_answer(&self) {
        self.state.lock().expect("no panic").loses_answer = true;
    }

    /// Answers all further starts.
    pub fn keep_answers(&self) {
        self.state.lock().expect("no panic").loses_answer = false;
    }

    /// Returns whether an end of a run of the job has been listed and taken note of, or will be listed.
    pub fn ended(&self, job: &str) -> bool {
        let state = self.state.lock().expect("no panic");
        state.blocked.keys().any(|t| t.starts_with(job)) && state.ends.is_empty()
    }

    /// Begins to drain; the runner leaves after this time.
    pub fn drain(&self, left: Duration) {
        let at = self.clock() + left.as_millis() as u64;
        self.state.lock().expect("no panic").leaves_at = Some(at);
    }

    /// Leaves, which ends everything that runs here.
    pub fn leave(&self) {
        let mut state = self.state.lock().expect("no panic");
        state.gone = true;
        state.runs.clear();
        state.used = 0;
    }

    /// Returns the runs of a job: the task, the run, and when it began and ended.
    pub fn spans(&self, job: &str) -> Vec<(String, u64, u64, Option<u64>)> {
        let state = self.state.lock().expect("no panic");
        state
            .spans
            .iter()
            .filter(|s| s.0.starts_with(job))
            .cloned()
            .collect()
    }

    fn is_away(&self) -> bool {
        let state = self.state.lock().expect("no panic");
        state.gone || state.down
    }

    /// Returns how many runs are in progress, and the processor that they take.
    pub fn load(&self) -> (usize, u64) {
        let state = self.state.lock().expect("no panic");
        (state.runs.len(), state.used)
    }

    pub fn is_running(&self, job: &str) -> bool {
        let state = self.state.lock().expect("no panic");
        state.runs.keys().any(|t| t.starts_with(job))
    }

    /// Returns how many runs have started and how many tasks were done, of tasks whose names begin so.
    pub fn counts(&self, job: &str) -> (usize, usize) {
        let state = self.state.lock().expect("no panic");
        let starts = state.starts.iter().filter(|s| s.1.starts_with(job)).count();
        (
            starts,
            state.done.iter().filter(|d| d.1.starts_with(job)).count(),
        )
    }

    /// Returns how many ends no daemon has taken note of.
    pub fn unseen(&self) -> usize {
        self.state.lock().expect("no panic").ends.len()
    }

    fn answer(&self, request: &Request) -> Option<(u16, String)> {
        let life = self.life();
        let clock = self.clock();
        if request.opened_at < life.began {
            return None;
        }
        if request
            .header("expect-instance")
            .is_some_and(|id| id != self.id)
        {
            return Some((421, format!("{{\"clock_ms\":{clock}}}")));
        }
        let body = Json::parse(&request.body)?;
        let mut state = self.state.lock().expect("no panic");
        if state.gone || state.down {
            return None;
        }
        state.advance(clock);
        let refused = |why: &str| {
            Some((
                409,
                format!("{{\"clock_ms\":{clock},\"reason\":\"{why}\"}}"),
            ))
        };
        let token = body.get("fencing_token").number();
        if token < state.fence {
            return refused("fence");
        }
        state.fence = token;
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").number());
        let deadline = body.get("deadline_ms").number();
        match request.path() {
            "/run-start" => {
                if state.runs.get(&task).is_some_and(|r| r.run == run) {
                    state.extend(clock, deadline);
                    return Some((200, format!("{{\"clock_ms\":{clock}}}")));
                }
                if deadline <= clock {
                    return refused("late");
                }
                if run <= state.blocked.get(&task).copied().unwrap_or(0)
                    || state.runs.contains_key(&task)
                {
                    state.extend(clock, deadline);
                    return refused("old");
                }
                let spec = body.get("spec").text();
                let cpu = word(spec, "cpu").unwrap_or(0);
                state.extend(clock, deadline);
                if state.used + cpu > self.cpu {
                    return refused("room");
                }
                let saved = body.get("checkpoint").text();
                let added = Run {
                    run,
                    cpu,
                    began: clock,
                    saved_ms: u64::from_str_radix(saved, 16).unwrap_or(0),
                    work_ms: word(spec, "work_ms").unwrap_or(300),
                    saves: spec.split(' ').any(|w| w == "save"),
                    stop_at: None,
                };
                state.used += cpu;
                state.runs.insert(task.clone(), added);
                state.starts.push((clock, task.clone(), run));
                state.spans.push((task, run, now_ms(), None));
                if std::mem::take(&mut state.loses_answer) {
                    return None;
                }
                Some((200, format!("{{\"clock_ms\":{clock}}}")))
            }
            "/run-stop" => {
                match state.runs.get_mut(&task) {
                    Some(r) if r.run <= run => {
                        r.stop_at.get_or_insert(clock + STOP_MS);
                    }
                    _ => {
                        let blocked = state.blocked.entry(task).or_default();
                        *blocked = (*blocked).max(run);
                    }
                }
                Some((200, format!("{{\"clock_ms\":{clock}}}")))
            }
            "/hold" => {
                let seen = body.get("last_seen").number();
                state.extend(clock, deadline);
                state.ends.retain(|e| e.0 > seen);
                let end =
                    Instant::now() + Duration::from_millis(body.get("wait_ms").number().min(2_000));
                while state.ends.is_empty()
                    && !state.gone
                    && !state.down
                    && self.life().began == life.began
                    && Instant::now() < end
                {
                    let left = end.saturating_duration_since(Instant::now());
                    state = self.changed.wait_timeout(state, left).expect("no panic").0;
                }
                if self.life().began != life.began || state.gone || state.down {
                    return None;
                }
                let clock = self.clock();
                state.advance(clock);
                let row = |(task, r): (&String, &Run)| {
                    let percent = (r.done_ms(clock) * 100 / r.work_ms.max(1)).min(99);
                    format!(
                        "[{},{},{},{percent},{}]",
                        quote(task),
                        r.run,
                        quote(&r.checkpoint(clock, false)),
                        r.cpu
                    )
                };
                let running: Vec<String> = state.runs.iter().map(row).collect();
                let ends: Vec<String> = state.ends.iter().take(ENDS).map(|e| e.1.clone()).collect();
                let (running, ends) = (running.join(","), ends.join(","));
                Some((
                    200,
                    format!(
                        "{{\"clock_ms\":{clock},\"born\":{},\"running\":[{running}],\"finished\":[{ends}]}}",
                        life.born
                    ),
                ))
            }
            "/pace" => Some((200, format!("{{\"clock_ms\":{clock}}}"))),
            _ => Some((400, format!("{{\"clock_ms\":{clock}}}"))),
        }
    }
}

impl State {
    fn extend(&mut self, clock: u64, deadline: u64) {
        self.lease = self.lease.max(deadline.min(clock + HOLD_LIMIT_MS));
    }
}
