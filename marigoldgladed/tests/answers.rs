//! Faulty targets over real sockets: what the caller is told, and what becomes of connections.

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

/// A request that a fake target read: its body, and which connection it came on.
type Seen = Arc<Mutex<Vec<(String, usize)>>>;

/// A target that does what the body of each request says.
struct Fake {
    addr: SocketAddr,
    seen: Seen,
}

impl Fake {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        let seen = Seen::default();
        let all = Arc::clone(&seen);
        std::thread::spawn(move || {
            for (n, stream) in listener.incoming().enumerate() {
                let seen = Arc::clone(&all);
                std::thread::spawn(move || serve(stream.expect("a connection"), n, &seen));
            }
        });
        Self { addr, seen }
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

    /// Returns the connections on which a body came.
    fn conns(&self, body: &str) -> Vec<usize> {
        let seen = self.seen.lock().expect("no panic");
        seen.iter().filter(|s| s.0 == body).map(|s| s.1).collect()
    }
}

fn serve(stream: TcpStream, conn: usize, seen: &Seen) {
    let mut out = stream.try_clone().expect("a second handle");
    let mut input = BufReader::new(stream);
    while let Some((id, body)) = read(&mut input) {
        seen.lock().expect("no panic").push((body.clone(), conn));
        let whole = answer("200 OK", &id, body.len(), &body);
        let bytes = match body.as_str() {
            "close" => return,
            "truncate" => answer("200 OK", &id, 100, "part"),
            "no-length" => format!("HTTP/1.1 200 OK\r\nmg-request-id: {id}\r\n\r\nall?"),
            "cross" => answer("200 OK", "another", 5, "cross"),
            "no-id" => "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno".to_owned(),
            "double" => whole.clone() + &whole,
            "oversize" => answer("200 OK", &id, (1 << 20) + 1, &"x".repeat((1 << 20) + 1)),
            "garbage" => "SMTP ready\r\n\r\n".to_owned(),
            "busy" => answer("503 Busy\r\nmg-run: no", &id, 0, ""),
            "leaving" => answer("200 OK\r\nmg-leaving: true", &id, 7, "leaving"),
            "stall" => {
                std::thread::sleep(std::time::Duration::from_millis(400));
                whole
            }
            _ => whole,
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
fn read(input: &mut BufReader<TcpStream>) -> Option<(String, String)> {
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

fn kind(told: &Answer) -> Kind {
    let problem: Problem = serde_json::from_str(&told.body).expect("a problem");
    problem.kind
}

fn deadline(ms: u64) -> String {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let now = now.expect("a time after 1970").as_millis() as u64;
    UnixMs(now).after(ms).0.to_string()
}

/// Starts a fleet of one daemon whose only target is the fake.
fn start(fake: &Fake) -> (Fleet, String) {
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
fn a_faulty_answer_is_never_shown_and_its_connection_is_closed(
    #[case] fault: &str,
    #[case] status: u16,
    #[case] expected: Kind,
) {
    let fake = Fake::start();
    let (_fleet, url) = start(&fake);
    let end = deadline(if fault == "stall" { 200 } else { 20_000 });
    let told = call("POST", &url, &[("mg-deadline", &end)], fault);
    assert_eq!((told.status, kind(&told)), (status, expected));
    assert_eq!(told.run, "maybe");
    let conns = fake.conns(fault);
    assert_eq!(conns.len(), 1, "sent once");
    for i in 0..5 {
        let body = format!("own {i}");
        let told = call("POST", &url, &[], &body);
        assert_eq!((told.status, told.body.as_str()), (200, body.as_str()));
        assert_ne!(fake.conns(&body), conns, "the connection was used again");
    }
}

#[test]
fn the_second_of_two_answers_reaches_nobody() {
    let fake = Fake::start();
    let (_fleet, url) = start(&fake);
    for i in 0..20 {
        let told = call("POST", &url, &[], "double");
        assert!(told.status == 200 && told.body == "double" || told.run == "maybe");
        let body = format!("own {i}");
        let told = call("POST", &url, &[], &body);
        assert!(told.status == 200 && told.body == body || told.run == "maybe");
    }
}

#[test]
fn what_a_busy_target_refused_is_told_as_not_run() {
    let fake = Fake::start();
    let (_fleet, url) = start(&fake);
    let told = call("POST", &url, &[], "busy");
    assert_eq!((told.run.as_str(), kind(&told)), ("no", Kind::NoTarget));
    assert!(fake.conns("busy").len() > 1, "it was tried again");
}

#[test]
fn a_target_where_nobody_listens_is_told_as_not_run() {
    // The kernel never chooses port 1, so no other test can come to listen there.
    let fake = Fake {
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        seen: Seen::default(),
    };
    let fleet = Fleet::start(0, 0, CONFIG);
    fleet.list_vms(|vms| vms.push(fake.vm()));
    let url = fleet.first().url("request/helmet");
    let refused = wait_for("a refusal", || {
        let end = deadline(300);
        let told = call("POST", &url, &[("mg-deadline", &end)], "x");
        assert_eq!(told.run, "no");
        (kind(&told) == Kind::Expired).then_some(told)
    });
    assert_eq!(refused.status, 504);
}

#[test]
fn a_target_that_says_it_leaves_gets_nothing_new_from_any_daemon() {
    let fake = Fake::start();
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
            (!fake.conns(url).is_empty()).then_some(())
        });
    }
    wait_for("the leaving", || {
        call("POST", &urls[0], &[], "leaving");
        (!fake.conns("leaving").is_empty()).then_some(())
    });
    // The VM list still shows it; the daemon that heard it knows at once, the other soon.
    for url in &urls {
        wait_for("no new work", || {
            let before = fake.seen.lock().expect("no panic").len();
            for _ in 0..20 {
                assert_eq!(call("POST", url, &[], "x").status, 200);
            }
            (fake.seen.lock().expect("no panic").len() == before).then_some(())
        });
    }
}

#[test]
fn without_the_store_idempotent_requests_run_and_others_are_refused_at_once() {
    let fake = Fake::start();
    let (fleet, url) = start(&fake);
    fleet.store.signal("KILL");
    assert_eq!(call("POST", &url, &[], "own").status, 200);
    let headers = [
        ("mg-idempotent", "false"),
        ("mg-caller", "foreman"),
        ("idempotency-key", "reminder-1"),
    ];
    for _ in 0..3 {
        let told = call("POST", &url, &headers, "remind");
        assert_eq!((told.run.as_str(), kind(&told)), ("no", Kind::StoreDown));
    }
    assert!(fake.conns("remind").is_empty());
}

#[test]
fn one_key_runs_once_through_two_daemons() {
    let fleet = Fleet::start_many(2, 2, 0, CONFIG);
    fleet.wait_runners();
    let before = fleet.count_runs();
    let headers = [
        ("mg-idempotent", "false"),
        ("mg-caller", "foreman"),
        ("idempotency-key", "reminder-1"),
    ];
    let told = std::thread::scope(|scope| {
        let urls = fleet.daemons.iter().map(|d| d.url("request/helmet"));
        let calls: Vec<_> = urls
            .cycle()
            .take(8)
            .map(|url| scope.spawn(move || call("POST", &url, &headers, "remind")))
            .collect();
        let join = |c: std::thread::ScopedJoinHandle<'_, Answer>| c.join().expect("an answer");
        calls.into_iter().map(join).collect::<Vec<_>>()
    });
    assert_eq!(told.iter().filter(|t| t.status == 200).count(), 1);
    let repeats = told.iter().filter(|t| t.status != 200);
    let kinds: Vec<_> = repeats.map(|t| (kind(t), t.body.as_str())).collect();
    assert!(
        kinds.iter().all(|(k, _)| *k == Kind::Duplicate),
        "{kinds:?}"
    );
    assert_eq!(fleet.count_runs(), before + 1);
}
