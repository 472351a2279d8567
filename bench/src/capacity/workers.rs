//! Cost of exchanges with workers, by encoding and number of renewed tasks, and of reading the VM
//! list.

use marigoldglade::label::Labels;
use marigoldglade::mesh;
use marigoldglade::time::UnixMs;
use marigoldglade::wire::{Order, Orders, Role, TaskId, TaskState, TaskStatus, Vm};
use serde::{Deserialize, Serialize};

use super::{CENTRES, TASKS, WORKERS};
use crate::meter::{Line, cost_us, print_line, state_bytes};

/// The numbers of renewed tasks in an exchange that are measured.
const SIZES: [usize; 4] = [1, 2, 4, 8];
/// The numbers of VMs in a list that are measured.
const LIST_SIZES: [usize; 4] = [50, 300, 1_200, 2_400];
/// The planned number of workers, runners and daemons.
const VMS: f64 = 1_200.0;
/// The HTTP heads of a daemon's request and of a worker's answer.
const HEADS: [&str; 2] = [
    "POST /v1/orders HTTP/1.1\r\nhost: 10.100.100.100:8080\r\ncontent-type: application/json\r\ncontent-length: 1000\r\n\r\n",
    "HTTP/1.1 200 OK\r\nServer: tiny-http (Rust)\r\nDate: Fri, 04 Dec 2026 09:00:00 GMT\r\nContent-Type: application/json\r\nContent-Length: 1000\r\n\r\n",
];
/// The bytes of the IP and TCP headers, with timestamps, of a request, an answer and their
/// acknowledgements.
const PACKET_BYTES: f64 = 4.0 * 52.0;
/// The bytes per second that a daemon may spend on control traffic.
const BUDGET_BYTES: f64 = 8_000.0;

/// A renewal of all tasks of a worker, identified by the digest of its task list.
#[derive(Serialize, Deserialize)]
struct Renewal {
    epoch: u64,
    digest: u64,
    end: UnixMs,
}

fn task(i: usize) -> TaskId {
    TaskId {
        job: format!("dc0/workspace-17/sweep-2026-12-04-{i:04}"),
        attempt: 1,
        index: u16::try_from(i).unwrap_or(0),
    }
}

fn orders(tasks: usize) -> Orders {
    let end = UnixMs(1_796_376_553_794);
    let renew = |i| Order::Renew {
        task: task(i),
        expires_at: end,
    };
    Orders {
        epoch: 123_456,
        orders: (0..tasks).map(renew).collect(),
    }
}

fn statuses(tasks: usize) -> Vec<TaskStatus> {
    let status = |i| TaskStatus {
        task: task(i),
        state: TaskState::Running,
        result: String::new(),
    };
    (0..tasks).map(status).collect()
}

fn json_bytes(tasks: usize) -> f64 {
    let bodies = [
        serde_json::to_vec(&orders(tasks)).unwrap_or_default(),
        serde_json::to_vec(&statuses(tasks)).unwrap_or_default(),
    ];
    bodies.iter().map(|b| b.len() as f64).sum::<f64>() + head_bytes()
}

fn cbor_bytes(tasks: usize) -> f64 {
    let bodies = [
        mesh::encode(&orders(tasks)).unwrap_or_default(),
        mesh::encode(&statuses(tasks)).unwrap_or_default(),
    ];
    bodies.iter().map(|b| b.len() as f64).sum::<f64>() + head_bytes()
}

/// Returns the bytes around the bodies of a request and its answer.
fn head_bytes() -> f64 {
    HEADS.iter().map(|h| h.len() as f64).sum::<f64>() + PACKET_BYTES
}

/// Returns a VM list in JSON with a number of workers.
fn vm_list(workers: usize) -> Vec<u8> {
    let vm = |i| Vm {
        name: format!("worker-{i:04}"),
        addr: "10.100.100.100:8080".to_owned(),
        role: Role::Worker,
        dc: format!("dc{}", i % 7),
        rack: format!("dc{}-rack-{:02}", i % 7, i / 8),
        accels: 8,
        slots: 0,
        labels: Labels::new(),
        leaving: false,
    };
    let vms: Vec<Vm> = (0..workers).map(vm).collect();
    serde_json::to_vec(&vms).unwrap_or_default()
}

fn run_list() {
    println!("\nVM list, read whole, x = VMs");
    let points = |f: &dyn Fn(usize) -> f64| LIST_SIZES.map(|n| (n as f64, f(n)));
    let bytes = points(&|n| vm_list(n).len() as f64);
    print_line("answer", "bytes", &bytes, VMS);
    let cost = points(&|n| {
        let text = vm_list(n);
        cost_us(|| serde_json::from_slice::<Vec<Vm>>(&text).is_ok())
    });
    print_line("decode", "cpu us", &cost, VMS);
    let state = points(&|n| {
        let text = vm_list(n);
        state_bytes(32, || serde_json::from_slice::<Vec<Vm>>(&text))
    });
    print_line("state", "bytes", &state, VMS);
    let whole = Line::fit(&bytes).at(VMS);
    println!(
        "interval at which reading it whole fits {BUDGET_BYTES} bytes/s: {:.1} s",
        whole / BUDGET_BYTES
    );
}

pub(super) fn run() {
    run_list();
    println!("\nworker watcher, one exchange with one worker, x = tasks it renews");
    let points = |f: &dyn Fn(usize) -> f64| SIZES.map(|n| (n as f64, f(n)));
    let json = points(&json_bytes);
    let each = TASKS / WORKERS;
    print_line("a renewal a task, JSON (today)", "bytes", &json, each);
    let cbor = points(&cbor_bytes);
    print_line("a renewal a task, CBOR", "bytes", &cbor, each);
    let digest = renewal_bytes();
    println!("one renewal a worker by digest, CBOR over HTTP: {digest:.0} bytes");
    let cost = points(&|n| cost_us(|| exchange(n)));
    print_line("encode and decode, JSON", "cpu us", &cost, each);
    println!("interval in s at which the bytes of one watcher fit {BUDGET_BYTES} bytes/s:");
    println!("workers  JSON a task  CBOR a task  digest a worker");
    let (json, cbor) = (Line::fit(&json).at(each), Line::fit(&cbor).at(each));
    for workers in [8.0, 32.0, WORKERS / CENTRES, WORKERS] {
        let fit = |bytes: f64| workers * bytes / BUDGET_BYTES;
        let [a, b, c] = [json, cbor, digest].map(fit);
        println!("{workers:>7.0} {a:>12.1} {b:>12.1} {c:>16.1}");
    }
}

/// Encodes orders and their answer, and decodes the answer.
fn exchange(tasks: usize) -> bool {
    let out = serde_json::to_vec(&orders(tasks)).unwrap_or_default();
    let back = serde_json::to_vec(&statuses(tasks)).unwrap_or_default();
    let decoded: Result<Vec<TaskStatus>, _> = serde_json::from_slice(&back);
    out.len() + decoded.map_or(0, |t| t.len()) > 0
}

/// Returns the bytes of a renewal by digest and of its answer.
fn renewal_bytes() -> f64 {
    let renewal = Renewal {
        epoch: 123_456,
        digest: u64::MAX,
        end: UnixMs(1_796_376_553_794),
    };
    let body = mesh::encode(&renewal).unwrap_or_default().len() as f64;
    2.0 * body + head_bytes()
}
