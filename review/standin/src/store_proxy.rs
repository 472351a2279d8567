//! The platform's store as the daemons reach it: it takes 4 ms for an answer and can lose the answers of
//! writes, which it then carries out seconds later,
//! or turn a machine away.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use standin::http::{Request, Server, answer, serve};

use crate::http;

/// How long the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// How long a connection without an answer stays open.
const SILENCE: Duration = Duration::from_secs(6);
/// The longest time that forwarding a call to the store may take; watches wait for up to 30 s.
const FORWARD_LIMIT: Duration = Duration::from_secs(32);

/// A generator of random numbers (xorshift64*).
#[derive(Clone)]
pub struct Random(u64);

impl Random {
    /// Creates a generator from a seed that isn't zero.
    pub fn new(seed: u64) -> Self {
        Self(seed | 1)
    }

    /// Returns a number from 0 to `limit` - 1.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        (self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 33) % limit
    }
}

struct Faults {
    /// The share of writes that get no answer and are carried out late, in percent.
    late_percent: u64,
    random: Random,
    /// Whether all calls are turned away.
    rejects: bool,
    lost: u64,
    writes: u64,
}

/// A proxy in front of an endpoint of the store.
pub struct StoreProxy {
    served: Server,
    faults: Arc<Mutex<Faults>>,
}

impl StoreProxy {
    /// Starts a proxy on a free port.
    pub fn start(endpoint: SocketAddr, seed: u64) -> std::io::Result<Self> {
        let faults = Arc::new(Mutex::new(Faults {
            late_percent: 0,
            random: Random::new(seed),
            rejects: false,
            lost: 0,
            writes: 0,
        }));
        let own = Arc::clone(&faults);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let served = serve(any, move |request| handle(endpoint, &own, request))?;
        Ok(Self { served, faults })
    }

    pub fn addr(&self) -> SocketAddr {
        self.served.addr
    }

    /// Sets the share of writes that get no answer and are carried out 1 to 6 s later.
    pub fn set_late_percent(&self, percent: u64) {
        self.faults.lock().expect("no panic").late_percent = percent;
    }

    /// Sets whether all calls are turned away.
    pub fn set_rejects(&self, rejects: bool) {
        self.faults.lock().expect("no panic").rejects = rejects;
    }

    /// Returns how many of the writes during faults have been lost, and how many there were.
    pub fn lost_writes(&self) -> (u64, u64) {
        let faults = self.faults.lock().expect("no panic");
        (faults.lost, faults.writes)
    }
}

fn forward(endpoint: SocketAddr, method: &str, url: &str, body: &[u8]) -> Option<http::Response> {
    let headers = [("Host", "store"), ("Content-Type", "application/json")];
    http::send(endpoint, method, url, &headers, body, FORWARD_LIMIT)
}

fn handle(endpoint: SocketAddr, faults: &Mutex<Faults>, request: Request) {
    let method = request.method().to_string();
    let (url, body) = (request.url().to_owned(), request.body().to_vec());
    if faults.lock().expect("no panic").rejects {
        return answer(request, 503, &[], Vec::new());
    }
    let late = (method != "GET").then(|| {
        let mut faults = faults.lock().expect("no panic");
        if faults.late_percent == 0 {
            return None;
        }
        faults.writes += 1;
        let lost = faults.random.below(100) < faults.late_percent;
        faults.lost += u64::from(lost);
        lost.then(|| 1_000 + faults.random.below(5_000))
    });
    if let Some(late_ms) = late.flatten() {
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(late_ms));
            forward(endpoint, &method, &url, &body)
        });
        std::thread::sleep(SILENCE);
        return;
    }
    let Some(response) = forward(endpoint, &method, &url, &body) else {
        return;
    };
    std::thread::sleep(ANSWER_TIME);
    let json = [("content-type", "application/json")];
    answer(request, response.status, &json, response.body);
}
