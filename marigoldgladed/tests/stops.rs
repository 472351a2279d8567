//! Calls in flight while a daemon stops.

#[path = "support/cluster.rs"]
#[expect(dead_code, reason = "the cluster serves several test files")]
mod cluster;
#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/http.rs"]
mod http;

use std::io::{BufReader, Write as _};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use cluster::{Cluster, job, wait_until};
use fleet::{CONFIG, Fleet};
use http::read_answer;
use rstest::rstest;
use standin::batch_worker::LEASE_LIMIT_MS;
use standin::proxy::{Flow, Proxy};

/// How long an answer is waited for, beyond every bound of the daemon.
const READ_LIMIT: Duration = Duration::from_secs(9);
/// How often a submission is tried, and how long it may take to come on record.
const TRIES: u64 = 50;
const TRY_TIME: Duration = Duration::from_millis(500);

fn connect(addr: &str) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("the daemon listens");
    stream
        .set_read_timeout(Some(READ_LIMIT))
        .expect("an open socket");
    stream
}

fn request_text(method: &str, id: u64) -> String {
    let body = match method {
        "POST" => job("run_ms=50", 1).to_string(),
        _ => String::new(),
    };
    format!(
        "{method} /sweep/{id:016x} HTTP/1.1\r\nhost: h.example\r\nauthorization: Token secret\r\n\
         deadline-ms: 3000\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the path between the daemon and the store.
fn store_path(cluster: &Cluster) -> &Proxy {
    &cluster.paths["daemon-0"].store
}

/// Writes a submission and reads of the job back to back on a new connection, all but the last bytes, `rest`
/// of them. Returns the connection and these bytes when the submission is on record; the daemon doesn't
/// hear from the store then.
fn write_held_calls(cluster: &Cluster, methods: &[&str], rest: usize) -> (TcpStream, Vec<u8>) {
    let daemon = &cluster.daemons[0];
    for id in 1..TRIES {
        let first = TRIES + id;
        wait_until("an owner that takes jobs", || {
            daemon.submit(first, &job("run_ms=50", 1)) == 200
        });
        wait_until("completion", || daemon.state(first) == "completed");
        store_path(cluster).set_responses(Flow::Held);
        let mut stream = connect(&daemon.front);
        let text: String = methods.iter().map(|m| request_text(m, id)).collect();
        let (now, later) = text.as_bytes().split_at(text.len() - rest);
        stream.write_all(now).expect("it is sent");
        let key = format!("mg/jobs/{id:016x}");
        let end = Instant::now() + TRY_TIME;
        while Instant::now() < end {
            if !cluster.store.keys(&key).is_empty() {
                return (stream, later.to_vec());
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        // The daemon wasn't the owner yet, or its submission waits behind another commit.
        store_path(cluster).set_responses(Flow::Open);
    }
    panic!("no submission came on record");
}

/// Guards against calls that were cut off by a SIGTERM that came while the daemon was stopping.
#[test]
fn a_second_sigterm_cuts_off_no_call() {
    let c = Cluster::with_paths(1, 1, LEASE_LIMIT_MS);
    let (stream, _) = write_held_calls(&c, &["POST"], 0);
    c.daemons[0].signal("TERM");
    wait_until("the stop", || !c.daemons[0].is_ready());
    c.daemons[0].signal("TERM");
    store_path(&c).set_responses(Flow::Open);
    let answer = read_answer(&mut BufReader::new(stream));
    assert_eq!(answer.map(|a| (a.status, a.closes)), Ok((200, true)));
}

/// Guards against requests that were read together with an earlier one and dropped unanswered, since the
/// answer to that one closed the connection.
#[rstest]
#[case::all_at_once(0)]
#[case::the_last_one_in_part(10)]
fn requests_written_back_to_back_are_answered_on_a_stop(#[case] rest: usize) {
    let mut c = Cluster::with_paths(1, 1, LEASE_LIMIT_MS);
    let (mut stream, later) = write_held_calls(&c, &["POST", "GET", "GET"], rest);
    c.daemons[0].signal("TERM");
    wait_until("the stop", || !c.daemons[0].is_ready());
    stream.write_all(&later).expect("it is sent");
    store_path(&c).set_responses(Flow::Open);
    let mut input = BufReader::new(stream);
    for closes in [false, false, true] {
        let answer = read_answer(&mut input);
        assert_eq!(answer.map(|a| a.closes), Ok(closes));
    }
    assert!(c.daemons[0].wait().success());
}

/// As above, in front of a slow target.
#[test]
fn requests_written_back_to_back_to_a_target_are_answered_on_a_stop() {
    let mut fleet = Fleet::start(1, 0, CONFIG);
    fleet.wait_runners();
    let url = format!("http://{}/control", fleet.runners[0].addr);
    assert_eq!(
        fleet::call("PUT", &url, &[], r#"{"work_ms": 700}"#).status,
        204
    );
    let before = fleet.count_runs();
    let mut stream = connect(&fleet.first().process.addr.to_string());
    let text = |body: &str| {
        let length = body.len();
        format!(
            "POST /v1/request/helmet HTTP/1.1\r\nhost: h\r\nContent-Length:{length}\r\n\r\n{body}"
        )
    };
    let texts = [text("first"), text(""), text("a\r\n\r\nb")].concat();
    stream.write_all(texts.as_bytes()).expect("it is sent");
    fleet::wait_for("a request at the target", || {
        (fleet.count_runs() == before + 1).then_some(())
    });
    fleet.daemons[0].process.signal("TERM");
    let mut input = BufReader::new(stream);
    for (status, closes) in [(200, false), (503, false), (503, true)] {
        let answer = read_answer(&mut input).expect("a whole answer");
        assert_eq!((answer.status, answer.closes), (status, closes));
        assert!(status != 200 || answer.body == "first");
    }
    assert!(fleet.daemons[0].process.wait().success());
}

/// Guards against requests that were cut off by a SIGHUP, which ended a daemon without `platform` at once.
#[test]
fn a_sighup_cuts_off_no_request() {
    let fleet = Fleet::start(1, 0, CONFIG);
    fleet.wait_runners();
    let url = format!("http://{}/control", fleet.runners[0].addr);
    assert_eq!(
        fleet::call("PUT", &url, &[], r#"{"work_ms": 700}"#).status,
        204
    );
    let before = fleet.count_runs();
    let mut stream = connect(&fleet.first().process.addr.to_string());
    let text = "POST /v1/request/helmet HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\ncheck";
    stream.write_all(text.as_bytes()).expect("it is sent");
    fleet::wait_for("a request at the target", || {
        (fleet.count_runs() == before + 1).then_some(())
    });
    fleet.daemons[0].process.signal("HUP");
    let answer = read_answer(&mut BufReader::new(stream)).expect("a whole answer");
    assert_eq!((answer.status, answer.body.as_str()), (200, "check"));
    assert!(fleet.first().is_ready());
}

/// Guards against answers that were cut off because the daemon ended before a slow caller had read them.
#[test]
fn answers_are_sent_whole_before_the_daemon_ends() {
    let mut fleet = Fleet::start(1, 0, CONFIG);
    fleet.wait_runners();
    let before = fleet.count_runs();
    let stream = connect(&fleet.first().process.addr.to_string());
    let mut output = stream.try_clone().expect("a second handle");
    std::thread::spawn(move || {
        let body = "x".repeat(1_000_000);
        let length = body.len();
        let head = format!(
            "POST /v1/request/helmet HTTP/1.1\r\nhost: h\r\ncontent-length: {length}\r\n\r\n"
        );
        let request = [head, body].concat();
        // Ends when the daemon closes the connection.
        while output.write_all(request.as_bytes()).is_ok() {}
    });
    // The caller reads nothing, so the answers fill the buffers.
    let mut sent = 0;
    fleet::wait_for("answers that aren't read", || {
        std::thread::sleep(Duration::from_millis(500));
        let last = std::mem::replace(&mut sent, fleet.count_runs() - before);
        (sent > 1 && sent == last).then_some(())
    });
    fleet.daemons[0].process.signal("TERM");
    fleet::wait_for("the stop", || (!fleet.first().is_ready()).then_some(()));
    // Much longer than the daemon needs to end with nothing in flight.
    std::thread::sleep(Duration::from_secs(1));
    let mut input = BufReader::new(stream);
    for i in 0..sent {
        let answer = read_answer(&mut input);
        let answer = answer.map(|a| (a.status, a.body.len()));
        assert_eq!(answer, Ok((200, 1_000_000)), "{i} of {sent}");
    }
    assert!(fleet.daemons[0].process.wait().success());
}
