//! Tests of invalid input: it is answered with the right kind and doesn't affect other callers.

#[path = "support/fleet.rs"]
mod fleet;

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::Barrier;

use fleet::{CONFIG, Fleet, call};
use marigoldglade::api::Problem;
use marigoldglade::prelude::*;
use rstest::rstest;

/// Sends bytes, shuts down the sending half, and reads until the end.
fn send_raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).expect("the daemon accepts");
    // The daemon may close before it has read everything.
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

fn kind(body: &str) -> Kind {
    serde_json::from_str::<Problem>(body)
        .unwrap_or_else(|e| panic!("{e}: {body}"))
        .kind
}

#[rstest]
#[case("POST", "jobs", &[], "{", Kind::BadInput)]
#[case("POST", "jobs", &[], "workspace: register\nkey: a\nshape: {tasks: 1, accels: 1}\nx: 1", Kind::BadInput)]
#[case("POST", "jobs", &[], "workspace: register\nkey: a\nshape: {tasks: 1, accels: 1}\nend: 1", Kind::Expired)]
#[case("POST", "jobs", &[], "workspace: none\nkey: a\nshape: {tasks: 1, accels: 1}", Kind::NotFound)]
#[case("POST", "request/none", &[], "", Kind::NotFound)]
#[case("POST", "request/helmet", &[("mg-deadline", "soon")], "", Kind::BadInput)]
#[case("POST", "request/helmet", &[("mg-deadline", "1")], "", Kind::Expired)]
#[case("POST", "request/helmet", &[("mg-idempotent", "false")], "", Kind::BadInput)]
#[case("PATCH", "jobs", &[], "", Kind::BadMethod)]
#[case("GET", "nothing", &[], "", Kind::NotFound)]
#[case("GET", "jobs/kista/register/none", &[], "", Kind::NotFound)]
#[case("PUT", "config", &[("mg-base", "x")], "centres: []", Kind::BadInput)]
#[case("PUT", "config", &[], "centres: {", Kind::BadInput)]
fn reports_the_kind_of_an_error(
    #[case] method: &str,
    #[case] path: &str,
    #[case] headers: &[(&str, &str)],
    #[case] body: &str,
    #[case] expected: Kind,
) {
    let fleet = Fleet::start(1, 0, CONFIG);
    fleet.wait_runners();
    let response = call(method, &fleet.first().url(path), headers, body);
    assert_eq!(kind(&response.body), expected, "{}", response.body);
    assert_eq!(response.status, expected.properties().status);
    assert_eq!(response.run, expected.properties().run.to_string());
    // Other callers are still served.
    assert_eq!(
        call("POST", &fleet.first().url("request/helmet"), &[], "ok").status,
        200
    );
}

#[test]
fn serves_others_after_malformed_bytes() {
    let fleet = Fleet::start(1, 0, CONFIG);
    fleet.wait_runners();
    let addr = fleet.first().process.addr;
    let headers: String = (0..500).map(|i| format!("x-{i}: y\r\n")).collect();
    let cases: Vec<Vec<u8>> = vec![
        b"\x00\xff\xfe garbage\r\n\r\n".to_vec(),
        b"GET / HTTP/9.9\r\n\r\n".to_vec(),
        format!("GET /v1/jobs HTTP/1.1\r\nhost: a\r\n{headers}\r\n").into_bytes(),
        format!("GET /{} HTTP/1.1\r\nhost: a\r\n\r\n", "a".repeat(100_000)).into_bytes(),
        b"POST /v1/jobs HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\nhalf".to_vec(),
        b"POST /v1/jobs HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n".to_vec(),
        b"POST /v1/jobs HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n\xff\xfe".to_vec(),
    ];
    for case in &cases {
        let response = send_raw(addr, case);
        assert!(
            response.is_empty() || response.starts_with("HTTP/1.1 4"),
            "{response} for {}",
            String::from_utf8_lossy(&case[..case.len().min(60)])
        );
        let url = fleet.first().url("request/helmet");
        assert_eq!(call("POST", &url, &[], "ok").status, 200);
    }
}

#[test]
fn refuses_an_oversize_body() {
    let fleet = Fleet::start(1, 0, CONFIG);
    let head = format!(
        "POST /v1/request/helmet HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n",
        2 << 20
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + (2 << 20), b'x');
    let response = send_raw(fleet.first().process.addr, &bytes);
    // The answer may be lost because the daemon closes with unread bytes; it is never a success.
    assert!(
        response.is_empty() || response.starts_with("HTTP/1.1 413"),
        "{response}"
    );
}

#[test]
fn answers_a_slow_sender_with_slow_input() {
    let fleet = Fleet::start(0, 0, CONFIG);
    let addr = fleet.first().process.addr;
    let mut stream = TcpStream::connect(addr).expect("the daemon accepts");
    let head = b"POST /v1/jobs HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\na";
    stream.write_all(head).expect("the head is sent");
    let mut response = String::new();
    let mut part = [0; 4096];
    while !response.contains("slow-input") {
        let n = stream.read(&mut part).expect("the daemon answers");
        assert!(n > 0, "closed after {response}");
        response += &String::from_utf8_lossy(&part[..n]);
    }
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
}

#[test]
fn forwards_the_callers_trace_to_the_target_with_a_new_span() {
    let fleet = Fleet::start(1, 0, CONFIG);
    fleet.wait_runners();
    let trace = "4bf92f3577b34da6a3ce929d0e0e4736";
    let parent = format!("00-{trace}-00f067aa0ba902b7-01");
    let url = fleet.first().url("request/helmet");
    assert_eq!(
        call("POST", &url, &[("traceparent", &parent)], "ok").status,
        200
    );
    let url = format!("http://{}/traces", fleet.runners[0].addr);
    let traces: Vec<String> =
        serde_json::from_str(&call("GET", &url, &[], "").body).expect("a list");
    let seen = traces.last().expect("a trace");
    assert!(seen.contains(trace), "{seen}");
    assert!(!seen.contains("00f067aa0ba902b7"), "{seen}");
}

#[test]
fn answers_health_checks_while_other_connections_stay_open() {
    const CHECKS: usize = 12;
    const HANG: std::time::Duration = std::time::Duration::from_secs(20);
    let fleet = Fleet::start(0, 0, CONFIG);
    let admin = fleet.first().admin;
    let (begin, end) = (Barrier::new(CHECKS), Barrier::new(CHECKS));
    let check = || {
        begin.wait();
        let mut stream = TcpStream::connect(admin).expect("the daemon accepts");
        stream.set_read_timeout(Some(HANG)).expect("a timeout");
        let sent = stream.write_all(b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n");
        let read = sent.and_then(|()| stream.read(&mut [0; 64]));
        // Every connection stays open until all checks are answered.
        end.wait();
        read.unwrap_or(0)
    };
    std::thread::scope(|scope| {
        let checks: Vec<_> = (0..CHECKS).map(|_| scope.spawn(check)).collect();
        for check in checks {
            assert_ne!(check.join().expect("the check ends"), 0);
        }
    });
}
