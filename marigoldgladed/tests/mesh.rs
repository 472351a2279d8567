//! Several real daemons: owners that stop, freeze or are killed, and strangers on the mesh port.

#[path = "support/fleet.rs"]
mod fleet;

use std::io::Write as _;
use std::net::TcpStream;

use fleet::{CONFIG, Daemon, Fleet, call, try_call, wait_for};
use futures_util::{SinkExt as _, StreamExt as _};
use marigoldglade::events::Entry as Logged;
use marigoldglade::member::{Entry, State};
use marigoldglade::mesh::{ClientHandshake, Hello, VERSION};
use marigoldglade::owner::Holder;
use serde::Deserialize;
use tokio_tungstenite::tungstenite::Message;

#[derive(Debug, Deserialize)]
struct View {
    members: Vec<Entry>,
    owners: Vec<Holder>,
}

fn view(daemon: &Daemon) -> Option<View> {
    let response = try_call("GET", &daemon.url("mesh"), &[], "")?;
    serde_json::from_str(&response.body).ok()
}

fn sees(daemon: &Daemon, count: usize) -> Option<()> {
    let members = view(daemon)?.members;
    let alive = members.iter().all(|m| m.state == State::Alive);
    (alive && members.len() == count).then_some(())
}

fn owner(daemon: &Daemon) -> Option<Holder> {
    view(daemon)?.owners.into_iter().find(|h| h.dc == "kista")
}

/// Returns the owner that all daemons except `except` name, unless it is `except`.
fn agreed(fleet: &Fleet, except: &str) -> Option<Holder> {
    let mut owners = fleet.daemons.iter().filter(|d| d.name != except).map(owner);
    let first = owners.next()??;
    owners
        .all(|o| o.as_ref() == Some(&first))
        .then_some(first)
        .filter(|h| h.name != except)
}

fn named<'a>(fleet: &'a Fleet, name: &str) -> &'a Daemon {
    let found = fleet.daemons.iter().find(|d| d.name == name);
    found.expect("a daemon of the fleet")
}

fn events(daemon: &Daemon) -> Vec<String> {
    let response = call("GET", &daemon.url("events"), &[], "");
    let logged: Vec<Logged> = serde_json::from_str(&response.body).expect("a list of events");
    logged.iter().map(|n| n.event.kind().to_string()).collect()
}

fn metric(daemon: &Daemon, name: &str) -> u64 {
    let response = call("GET", &format!("http://{}/metrics", daemon.admin), &[], "");
    let line = response.body.lines().find(|l| l.starts_with(name));
    line.and_then(|l| l.rsplit(' ').next()?.parse().ok())
        .unwrap_or(0)
}

#[test]
fn owners_that_stop_freeze_or_are_killed_are_replaced() {
    let mut fleet = Fleet::start_many(4, 0, 0, CONFIG);
    for daemon in &fleet.daemons {
        wait_for("a whole view", || sees(daemon, 4));
    }
    let first = wait_for("an owner", || agreed(&fleet, ""));

    named(&fleet, &first.name).process.signal("TERM");
    let second = wait_for("the owner after a stop", || agreed(&fleet, &first.name));
    assert!(second.epoch > first.epoch);
    let at = fleet.daemons.iter().position(|d| d.name == first.name);
    let mut stopped = fleet.daemons.remove(at.expect("it was there"));
    assert!(stopped.process.wait().success());
    let witness = named(&fleet, &second.name);
    wait_for("the word of the one that left", || {
        events(witness)
            .contains(&"member-left".to_owned())
            .then_some(())
    });

    named(&fleet, &second.name).process.signal("STOP");
    let third = wait_for("the owner after a freeze", || agreed(&fleet, &second.name));
    assert!(third.epoch > second.epoch);
    let frozen = named(&fleet, &second.name);
    frozen.process.signal("CONT");
    wait_for("the end of the frozen ownership", || {
        events(frozen)
            .contains(&"owner-stopped".to_owned())
            .then_some(())
    });
    for daemon in &fleet.daemons {
        wait_for("a whole view again", || sees(daemon, 3));
    }
    assert_eq!(agreed(&fleet, ""), Some(third.clone()), "no change back");

    named(&fleet, &third.name).process.signal("KILL");
    let fourth = wait_for("the owner after a kill", || agreed(&fleet, &third.name));
    assert!(fourth.epoch > third.epoch);
}

#[test]
fn strangers_are_refused_and_counted() {
    let fleet = Fleet::start_many(2, 0, 0, CONFIG);
    let daemon = fleet.first();
    wait_for("a whole view", || sees(daemon, 2));
    let mut garbage = TcpStream::connect(daemon.mesh).expect("it accepts");
    garbage.write_all(&[0xff; 4_096]).expect("it reads");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    assert!(!runtime.block_on(open_link(daemon, VERSION, b"not the key of this mesh")));
    assert!(!runtime.block_on(open_link(daemon, VERSION + 1, b"a key for tests only")));
    assert!(runtime.block_on(open_link(daemon, VERSION, b"a key for tests only")));
    wait_for("the count of refusals", || {
        let refused = metric(daemon, "marigoldglade_mesh_total{what=\"refused\"}");
        (refused >= 3).then_some(())
    });
    wait_for("a whole view still", || sees(daemon, 2));
}

/// Tries to open a link, and returns whether the daemon accepted it.
async fn open_link(daemon: &Daemon, version: u16, key: &[u8]) -> bool {
    let hello = Hello {
        version,
        name: "intruder".to_owned(),
        dc: "kista".to_owned(),
        addr: ([127, 0, 0, 1], 9).into(),
        nonce: [7; 16],
    };
    let url = format!("ws://{}/", daemon.mesh);
    let (mut stream, _) = tokio_tungstenite::connect_async(url)
        .await
        .expect("it speaks WebSocket");
    let dial = ClientHandshake::new(key, &hello).expect("small");
    let first = Message::binary(dial.hello().to_vec());
    stream.send(first).await.expect("it reads");
    let Some(Ok(Message::Binary(welcome))) = stream.next().await else {
        return false;
    };
    // Without the key the welcome can't be verified, so a proof that is certainly wrong is sent.
    let proof = match dial.finish(&welcome) {
        Ok((proof, ..)) => proof,
        Err(_) => [0; 32],
    };
    let sent = stream.send(Message::binary(proof.to_vec())).await;
    sent.is_ok() && stays_open(&mut stream).await
}

/// Returns whether the daemon leaves the link open; it closes one whose proof is wrong.
async fn stays_open<S>(stream: &mut S) -> bool
where
    S: futures_util::Stream<Item = Result<Message, tokio_tungstenite::tungstenite::Error>> + Unpin,
{
    let timeout = std::time::Duration::from_secs(1);
    let next = tokio::time::timeout(timeout, stream.next()).await;
    next.is_err()
}
