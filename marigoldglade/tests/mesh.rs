//! The mesh's handshake and frames with wrong keys, other versions, replays and malformed input.

use marigoldglade::batch::record::Record;
use marigoldglade::error::{Error, Kind};
use marigoldglade::mesh::{
    self, ClientHandshake, FRAME_LIMIT_BYTES, Frame, FrameKind, HELLO_LIMIT_BYTES, Hello, Payload,
    ServerHandshake, Session, VERSION,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const KEY: &[u8] = b"the key of this mesh";

fn hello(name: &str, version: u16, nonce: u8) -> Hello {
    Hello {
        version,
        name: name.to_owned(),
        dc: "kista".to_owned(),
        addr: ([10, 0, 0, 1], 7).into(),
        nonce: [nonce; 16],
    }
}

fn handshake(client: (&[u8], u16), server: (&[u8], u16)) -> Result<(Session, Session), Error> {
    let dial = ClientHandshake::new(client.0, &hello("a", client.1, 1))?;
    let (accept, welcome) = ServerHandshake::new(server.0, &hello("b", server.1, 2), dial.hello())?;
    let (proof, peer, ours) = dial.finish(&welcome)?;
    assert_eq!(peer.name, "b");
    let (peer, theirs) = accept.finish(&proof)?;
    assert_eq!(peer.name, "a");
    Ok((ours, theirs))
}

fn linked() -> (Session, Session) {
    handshake((KEY, VERSION), (KEY, VERSION)).expect("both are ours")
}

fn frame(n: u64) -> Frame {
    Frame {
        kind: FrameKind::Response(n),
        payload: Payload::Done,
    }
}

#[rstest]
fn frames_pass_both_ways() {
    let (mut a, mut b) = linked();
    for n in 0..3 {
        let sealed = a.sender.seal(&frame(n)).expect("small");
        assert_eq!(b.receiver.open(&sealed), Ok(frame(n)));
        let sealed = b.sender.seal(&frame(n)).expect("small");
        assert_eq!(a.receiver.open(&sealed), Ok(frame(n)));
    }
}

#[rstest]
#[case::key((&KEY[1..], VERSION), (KEY, VERSION))]
#[case::older((KEY, VERSION - 1), (KEY, VERSION))]
#[case::newer((KEY, VERSION), (KEY, VERSION + 1))]
fn a_peer_with_another_key_or_version_is_refused(
    #[case] client: (&[u8], u16),
    #[case] server: (&[u8], u16),
) {
    let refused = handshake(client, server)
        .map(|_| ())
        .expect_err("a stranger");
    assert_eq!(refused.kind, Kind::BadPeer);
}

#[rstest]
fn a_client_without_the_key_is_refused_by_the_server() {
    let dial = ClientHandshake::new(b"another key", &hello("a", VERSION, 1)).expect("small");
    let (accept, _) =
        ServerHandshake::new(KEY, &hello("b", VERSION, 2), dial.hello()).expect("ours");
    assert!(accept.finish(&[0; 32]).is_err());
}

#[rstest]
fn a_proof_from_another_handshake_is_refused() {
    let dial = ClientHandshake::new(KEY, &hello("a", VERSION, 1)).expect("small");
    let first = dial.hello().to_vec();
    let (_, welcome) = ServerHandshake::new(KEY, &hello("b", VERSION, 2), &first).expect("ours");
    let (proof, ..) = dial.finish(&welcome).expect("ours");
    let (accept, _) = ServerHandshake::new(KEY, &hello("b", VERSION, 3), &first).expect("ours");
    assert!(accept.finish(&proof).is_err());
}

#[rstest]
fn replayed_reordered_reflected_and_changed_frames_are_refused() {
    let (mut a, mut b) = linked();
    let sealed: Vec<Vec<u8>> = (0..3)
        .map(|n| a.sender.seal(&frame(n)).expect("small"))
        .collect();
    assert!(b.receiver.open(&sealed[1]).is_err(), "dropped or moved");
    assert!(a.receiver.open(&sealed[0]).is_err(), "reflected");
    let mut changed = sealed[0].clone();
    *changed.last_mut().expect("not empty") ^= 1;
    assert!(b.receiver.open(&changed).is_err(), "changed");
    assert!(b.receiver.open(&sealed[0]).is_ok());
    assert!(b.receiver.open(&sealed[0]).is_err(), "replayed");
    let (_, mut other) = linked_again();
    assert!(other.receiver.open(&sealed[0]).is_err(), "of another link");
}

fn linked_again() -> (Session, Session) {
    let dial = ClientHandshake::new(KEY, &hello("a", VERSION, 8)).expect("small");
    let (accept, welcome) =
        ServerHandshake::new(KEY, &hello("b", VERSION, 9), dial.hello()).expect("ours");
    let (proof, _, a) = dial.finish(&welcome).expect("ours");
    let (_, b) = accept.finish(&proof).expect("ours");
    (a, b)
}

#[rstest]
fn frames_and_hellos_above_their_limits_are_refused() {
    let (mut a, mut b) = linked();
    let large = Frame {
        kind: FrameKind::Notification,
        payload: Payload::Refused(Error::new(Kind::Shed, "x".repeat(FRAME_LIMIT_BYTES))),
    };
    assert_eq!(
        a.sender.seal(&large).map_err(|e| e.kind),
        Err(Kind::TooLarge)
    );
    let sealed = vec![0; FRAME_LIMIT_BYTES + 100];
    assert_eq!(
        b.receiver.open(&sealed).map_err(|e| e.kind),
        Err(Kind::TooLarge)
    );
    let hello = vec![0; HELLO_LIMIT_BYTES + 1];
    assert_eq!(
        mesh::decode_hello(&hello).map_err(|e| e.kind),
        Err(Kind::TooLarge)
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(62),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn malformed_input_is_refused_and_leaves_the_session_usable(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        prop_assert!(mesh::decode_hello(&bytes).is_err());
        let _ = mesh::decode::<Frame>(&bytes);
        let dial = ClientHandshake::new(KEY, &hello("a", VERSION, 1)).expect("small");
        prop_assert!(dial.finish(&bytes).is_err());
        let (mut a, mut b) = linked();
        prop_assert!(b.receiver.open(&bytes).is_err());
        let sealed = a.sender.seal(&frame(0)).expect("small");
        prop_assert!(b.receiver.open(&sealed).is_ok());
    }
}

/// A peer's or the store's value that is nested too deeply is an error, and not the end of the process.
#[rstest]
fn a_deeply_nested_value_is_refused(
    #[values(257, 1_000, 100_000)] levels: usize,
    #[values(&[0x81], &[0xa1, 0x61, b'a'], &[0xc6], &[0x9f])] open: &[u8],
) {
    let bytes = open.repeat(levels);
    assert!(mesh::decode::<Frame>(&bytes).is_err());
    assert!(mesh::decode::<Hello>(&bytes).is_err());
    assert!(Record::decode(&bytes).is_err());
}
