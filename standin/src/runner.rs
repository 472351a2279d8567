//! Stand-in for a runner, which executes a limited number of requests at once.
//!
//! `POST` to any path executes a request and returns its body. `PUT /control` sets the
//! [`Behaviour`]. `GET /ran` lists the ids of the executed requests in the order of their start,
//! and `GET /traces` the `traceparent` of each.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::Method;
use marigoldglade::api::{LEAVING_HEADER, REQUEST_ID_HEADER, RUN_HEADER, TRACE_HEADER};
use serde::{Deserialize, Serialize};

use crate::http::{Request, Server, answer, answer_json, header, serve};

/// How a runner behaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// The requests that run at once; the rest are answered with 503.
    pub slots: u16,
    /// The time that a request takes, in milliseconds.
    pub work_ms: u64,
    /// Whether the runner refuses new requests and says in its answer that it is leaving.
    pub leaving: bool,
    /// Whether each request is answered with 500 after it ran.
    pub failing: bool,
    /// Whether answers carry another request's id.
    pub crossing: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            slots: 8,
            work_ms: 0,
            leaving: false,
            failing: false,
            crossing: false,
        }
    }
}

#[derive(Default)]
struct State {
    behaviour: Behaviour,
    used_slots: u16,
    ran: Vec<String>,
    traces: Vec<String>,
}

/// Starts a runner on `addr`.
///
/// # Errors
///
/// When the address can't be bound.
pub fn start(addr: SocketAddr, behaviour: Behaviour) -> std::io::Result<Server> {
    let state = Arc::new(Mutex::new(State {
        behaviour,
        ..State::default()
    }));
    serve(addr, move |request| handle(&state, request))
}

fn handle(state: &Mutex<State>, request: Request) {
    match (request.method(), request.url()) {
        (&Method::GET, "/ran") => {
            let ran = lock(state).ran.clone();
            answer_json(request, 200, &ran);
        }
        (&Method::GET, "/traces") => {
            let traces = lock(state).traces.clone();
            answer_json(request, 200, &traces);
        }
        (&Method::PUT, "/control") => {
            let parsed = serde_json::from_slice(request.body()).ok();
            let Some(behaviour) = parsed else {
                return answer(request, 400, &[], Vec::new());
            };
            lock(state).behaviour = behaviour;
            answer(request, 204, &[], Vec::new());
        }
        _ => run(state, request),
    }
}

fn run(state: &Mutex<State>, request: Request) {
    let id = header(&request, REQUEST_ID_HEADER).unwrap_or_default();
    let trace = header(&request, TRACE_HEADER).unwrap_or_default();
    let body = request.body().to_vec();
    let Some(behaviour) = take_slot(state, &id, trace) else {
        let leaving = lock(state).behaviour.leaving.to_string();
        let headers = [
            (REQUEST_ID_HEADER, id.as_str()),
            (RUN_HEADER, "no"),
            (LEAVING_HEADER, leaving.as_str()),
        ];
        return answer(request, 503, &headers, Vec::new());
    };
    std::thread::sleep(Duration::from_millis(behaviour.work_ms));
    lock(state).used_slots -= 1;
    let answer_id = if behaviour.crossing { "crossed" } else { &id };
    let status = if behaviour.failing { 500 } else { 200 };
    answer(request, status, &[(REQUEST_ID_HEADER, answer_id)], body);
}

/// Takes a slot and records the request; returns `None` if all slots are taken or the runner is
/// leaving.
fn take_slot(state: &Mutex<State>, id: &str, trace: String) -> Option<Behaviour> {
    let mut state = lock(state);
    if state.behaviour.leaving || state.used_slots >= state.behaviour.slots {
        return None;
    }
    state.used_slots += 1;
    state.ran.push(id.to_owned());
    state.traces.push(trace);
    Some(state.behaviour.clone())
}

fn lock(state: &Mutex<State>) -> std::sync::MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
