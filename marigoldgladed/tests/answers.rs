//! Tests with faulty targets over real sockets: the answers to callers and the fate of connections.

#[path = "support/fleet.rs"]
mod fleet;

use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use fleet::{Answer, CONFIG, Fleet, call, wait_for};
use marigoldglade::api::Problem;
use marigoldglade::label::Labels;
use marigoldglade::prelude::*;
use marigoldglade::time::UnixMs;
use marigoldglade::wire::{Role, Vm};
use rstest::rstest;

/// The requests that a fake target read: for each its body and the number of its connection.
type Received = Arc<Mutex<Vec<(String, usize)>>>;

/// A target that shows the fault that the body of a request names.
struct FakeTarget {
    addr: SocketAddr,
    received: Received,
}

impl FakeTarget {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        let received = Received::default();
        let shared = Arc::clone(&received);
        std::thread::spawn(move || {
            for (n, stream) in listener.incoming().enumerate() {
                let received = Arc::clone(&shared);
                std::thread::spawn(move || serve(stream.expect("a connection"), n, &received));
            }
        });
        Self { addr, received }
    }

    fn vm(&self) -> Vm {
        Vm {
            name: "fake".to_owned(),
            addr: self.addr.to_string(),
            role: Role::Runner,
            dc: "kista".to_owned(),
            rack: String::new(),
            accels: 0,
            slots: 8,
            labels: Labels::new(),
            leaving: false,
        }
    }

    /// Returns the connections on which requests with this body came.
    fn connections(&self, body: &str) -> Vec<usize> {
        let received = self.received.lock().expect("no panic");
        received
            .iter()
            .filter(|s| s.0 == body)
            .map(|s| s.1)
            .collect()
    }
}

fn serve(stream: TcpStream, conn: usize, received: &Received) {
    let mut out = stream.try_clone().expect("a second handle");
    let mut input = BufReader::new(stream);
    while let Some((id, body)) = read_request(&mut input) {
        received
            .lock()
            .expect("no panic")
            .push((body.clone(), conn));
        let complete = answer("200 OK", &id, body.len(), &body);
        let bytes = match body.as_str() {
            "close" => return,
            "truncate" => answer("200 OK", &id, 100, "part"),
            "no-length" => format!("HTTP/1.1 200 OK\r\nmg-request-id: {id}\r\n\r\nall?"),
            "cross" => answer("200 OK", "another", 5, "cross"),
            "no-id" => "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno".to_owned(),
            "double" => complete.clone() + &complete,
            "oversize" => answer("200 OK", &id, (1 << 20) + 1, &"x".repeat((1 << 20) + 1)),
            "garbage" => "SMTP ready\r\n\r\n".to_owned(),
            "busy" => answer("503 Busy\r\nmg-run: no", &id, 0, ""),
            "leaving" => answer("200 OK\r\nmg-leaving: true", &id, 7, "leaving"),
            "stall" => {
                std::thread::sleep(std::time::Duration::from_millis(400));
                complete
            }
            _ => complete,
        };
        if out.write_all(bytes.as_bytes()).is_err()
            || matches!(body.as_str(), "truncate" | "no-length")
        {
            return;
        }
    }
}

fn answer(head: &str, id: &str, length: usize, body: &str) -> String {
    format!("HTTP/1.1 {head}\r\nmg-request-id: {id}\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Reads one request: its id and its body.
fn read_request(input: &mut BufReader<TcpStream>) -> Option<(String, String)> {
    let (mut id, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim().to_ascii_lowercase();
        match line.split_once(": ") {
            Some(("mg-request-id", value)) => id = value.to_owned(),
            Some(("content-length", value)) => length = value.parse().ok()?,
            _ if line.is_empty() => break,
            _ => {}
        }
    }
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    Some((id, String::from_utf8(body).ok()?))
}

fn kind(response: &Answer) -> Kind {
    let problem: Problem = serde_json::from_str(&response.body).expect("a problem");
    problem.kind
}

fn deadline_after(ms: u64) -> String {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let now = now.expect("a time after 1970").as_millis() as u64;
    UnixMs(now).after(ms).0.to_string()
}

/// Starts one daemon whose only target is `fake`, and returns it with the URL for requests.
fn start(fake: &FakeTarget) -> (Fleet, String) {
    let fleet = Fleet::start(0, 0, CONFIG);
    fleet.list_vms(|vms| vms.push(fake.vm()));
    fleet.wait_runners();
    let url = fleet.first().url("request/helmet");
    (fleet, url)
}

#[rstest]
#[case("close", 502, Kind::TargetFailed)]
#[case("truncate", 502, Kind::BadAnswer)]
#[case("no-length", 502, Kind::BadAnswer)]
#[case("cross", 502, Kind::BadAnswer)]
#[case("no-id", 502, Kind::BadAnswer)]
#[case("oversize", 502, Kind::BadAnswer)]
#[case("garbage", 502, Kind::TargetFailed)]
#[case("stall", 504, Kind::Timeout)]
fn hides_a_faulty_answer_and_closes_its_connection(
    #[case] fault: &str,
    #[case] status: u16,
    #[case] expected: Kind,
) {
    let fake = FakeTarget::start();
    let (_fleet, url) = start(&fake);
    let deadline = deadline_after(if fault == "stall" { 200 } else { 20_000 });
    let response = call("POST", &url, &[("mg-deadline", &deadline)], fault);
    assert_eq!((response.status, kind(&response)), (status, expected));
    assert_eq!(response.run, "maybe");
    let connections = fake.connections(fault);
    assert_eq!(connections.len(), 1, "sent once");
    for i in 0..5 {
        let body = format!("own {i}");
        let response = call("POST", &url, &[], &body);
        assert_eq!(
            (response.status, response.body.as_str()),
            (200, body.as_str())
        );
        assert_ne!(
            fake.connections(&body),
            connections,
            "the connection was used again"
        );
    }
}

#[test]
fn discards_the_second_of_two_answers() {
    let fake = FakeTarget::start();
    let (_fleet, url) = start(&fake);
    for i in 0..20 {
        let response = call("POST", &url, &[], "double");
        assert!(response.status == 200 && response.body == "double" || response.run == "maybe");
        let body = format!("own {i}");
        let response = call("POST", &url, &[], &body);
        assert!(response.status == 200 && response.body == body || response.run == "maybe");
    }
}

#[test]
fn reports_the_refusal_of_a_busy_target_as_not_run() {
    let fake = FakeTarget::start();
    let (_fleet, url) = start(&fake);
    let response = call("POST", &url, &[], "busy");
    assert_eq!(
        (response.run.as_str(), kind(&response)),
        ("no", Kind::NoTarget)
    );
    assert!(fake.connections("busy").len() > 1, "it was tried again");
}

#[test]
fn reports_a_refused_connection_as_not_run() {
    // The kernel never chooses port 1, so no other test can come to listen there.
    let fake = FakeTarget {
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        received: Received::default(),
    };
    let fleet = Fleet::start(0, 0, CONFIG);
    fleet.list_vms(|vms| vms.push(fake.vm()));
    let url = fleet.first().url("request/helmet");
    let refused = wait_for("a refusal", || {
        let deadline = deadline_after(300);
        let response = call("POST", &url, &[("mg-deadline", &deadline)], "x");
        assert_eq!(response.run, "no");
        (kind(&response) == Kind::Expired).then_some(response)
    });
    assert_eq!(refused.status, 504);
}

#[test]
fn sends_nothing_new_to_a_leaving_target_from_any_daemon() {
    let fake = FakeTarget::start();
    let fleet = Fleet::start_many(2, 1, 0, CONFIG);
    fleet.list_vms(|vms| vms.push(fake.vm()));
    let urls: Vec<String> = fleet
        .daemons
        .iter()
        .map(|d| d.url("request/helmet"))
        .collect();
    for url in &urls {
        wait_for("a request at the fake", || {
            call("POST", url, &[], url);
            (!fake.connections(url).is_empty()).then_some(())
        });
    }
    wait_for("the leaving", || {
        call("POST", &urls[0], &[], "leaving");
        (!fake.connections("leaving").is_empty()).then_some(())
    });
    // The VM list still shows the target as usable. One daemon got the announcement itself; the other
    // learns of it by gossip.
    for url in &urls {
        wait_for("no new work", || {
            let before = fake.received.lock().expect("no panic").len();
            for _ in 0..20 {
                assert_eq!(call("POST", url, &[], "x").status, 200);
            }
            (fake.received.lock().expect("no panic").len() == before).then_some(())
        });
    }
}

#[test]
fn refuses_only_non_idempotent_requests_without_the_store() {
    let fake = FakeTarget::start();
    let (fleet, url) = start(&fake);
    fleet.store.signal("KILL");
    assert_eq!(call("POST", &url, &[], "own").status, 200);
    let headers = [
        ("mg-idempotent", "false"),
        ("mg-caller", "foreman"),
        ("idempotency-key", "reminder-1"),
    ];
    for _ in 0..3 {
        let response = call("POST", &url, &headers, "remind");
        assert_eq!(
            (response.run.as_str(), kind(&response)),
            ("no", Kind::StoreDown)
        );
    }
    assert!(fake.connections("remind").is_empty());
}

#[test]
fn runs_a_key_once_through_two_daemons() {
    let fleet = Fleet::start_many(2, 2, 0, CONFIG);
    fleet.wait_runners();
    let before = fleet.count_runs();
    let headers = [
        ("mg-idempotent", "false"),
        ("mg-caller", "foreman"),
        ("idempotency-key", "reminder-1"),
    ];
    let responses = std::thread::scope(|scope| {
        let urls = fleet.daemons.iter().map(|d| d.url("request/helmet"));
        let calls: Vec<_> = urls
            .cycle()
            .take(8)
            .map(|url| scope.spawn(move || call("POST", &url, &headers, "remind")))
            .collect();
        let join = |c: std::thread::ScopedJoinHandle<'_, Answer>| c.join().expect("an answer");
        calls.into_iter().map(join).collect::<Vec<_>>()
    });
    assert_eq!(responses.iter().filter(|t| t.status == 200).count(), 1);
    let repeats = responses.iter().filter(|t| t.status != 200);
    let kinds: Vec<_> = repeats.map(|t| (kind(t), t.body.as_str())).collect();
    assert!(
        kinds.iter().all(|(k, _)| *k == Kind::Duplicate),
        "{kinds:?}"
    );
    assert_eq!(fleet.count_runs(), before + 1);
}
