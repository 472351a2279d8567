//! Stand-in for the platform's VM list: `GET /v1/vms` shows it, `PUT /v1/vms` replaces it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use hyper::Method;
use marigoldglade::wire::Vm;

use crate::http::{Server, answer, answer_json, serve};

/// The VM list, shared by the server and the test or demo that changes it.
pub type VmList = Arc<Mutex<Vec<Vm>>>;

/// Starts a server of `list` on `addr`.
///
/// # Errors
///
/// When the address can't be bound.
pub fn start(addr: SocketAddr, list: VmList) -> std::io::Result<Server> {
    serve(addr, move |request| {
        if *request.method() == Method::PUT {
            let parsed = serde_json::from_slice(request.body()).ok();
            let Some(vms) = parsed else {
                return answer(request, 400, &[], Vec::new());
            };
            *list.lock().unwrap_or_else(PoisonError::into_inner) = vms;
            return answer(request, 204, &[], Vec::new());
        }
        let vms = list.lock().unwrap_or_else(PoisonError::into_inner).clone();
        answer_json(request, 200, &vms);
    })
}
