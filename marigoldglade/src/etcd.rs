//! The protocol of the key-value service: the JSON mapping of etcd v3.
//!
//! [`encode`] turns a [`Call`] into a path and a JSON body, and [`decode`] turns the JSON response
//! into a [`Reply`].

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::store::{Body, Call, Change, Compare, Op, Outcome, Pair, Reply, Txn, TxnResult};

/// Encodes a key or value as base64.
#[must_use]
pub fn to_base64(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Decodes a key or value from base64; `None` when `text` isn't base64.
#[must_use]
pub fn from_base64(text: &str) -> Option<Vec<u8>> {
    STANDARD.decode(text).ok()
}

/// Returns the exclusive end of the range of keys with `prefix`: the first key after all of them.
/// A single zero byte stands for the end of all keys.
#[must_use]
pub fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

/// Returns the path and the JSON body of the request for a call.
#[must_use]
pub fn encode(call: &Call) -> (&'static str, Value) {
    match call {
        Call::Txn(txn) => ("/v3/kv/txn", encode_txn(txn)),
        Call::Range {
            prefix,
            after,
            limit,
        } => {
            let mut start = after.as_bytes().to_vec();
            if start.is_empty() {
                start = prefix.as_bytes().to_vec();
            } else {
                start.push(0);
            }
            let body = json!({
                "key": to_base64(&start),
                "rangeEnd": to_base64(&prefix_end(prefix)),
                "limit": limit.to_string(),
            });
            ("/v3/kv/range", body)
        }
        Call::Grant { ttl_s } => ("/v3/lease/grant", json!({"TTL": ttl_s.to_string()})),
        Call::Renew { lease } => ("/v3/lease/keepalive", json!({"ID": lease.to_string()})),
        Call::Revoke { lease } => ("/v3/lease/revoke", json!({"ID": lease.to_string()})),
        Call::Watch { prefix, since } => {
            let create = json!({
                "key": to_base64(prefix.as_bytes()),
                "rangeEnd": to_base64(&prefix_end(prefix)),
                "startRevision": (since + 1).to_string(),
            });
            ("/v3/watch", json!({"createRequest": create}))
        }
    }
}

fn encode_txn(txn: &Txn) -> Value {
    json!({
        "compare": txn.when.iter().map(encode_compare).collect::<Vec<_>>(),
        "success": txn.then.iter().map(encode_op).collect::<Vec<_>>(),
        "failure": txn.other.iter().map(encode_op).collect::<Vec<_>>(),
    })
}

fn encode_compare(compare: &Compare) -> Value {
    let (key, target, field, revision) = match compare {
        Compare::Absent(key) => (key, "CREATE", "createRevision", 0),
        Compare::Created(key, revision) => (key, "CREATE", "createRevision", *revision),
        Compare::Changed(key, revision) => (key, "MOD", "modRevision", *revision),
    };
    json!({
        "key": to_base64(key.as_bytes()),
        "target": target,
        "result": "EQUAL",
        field: revision.to_string(),
    })
}

fn encode_op(op: &Op) -> Value {
    match op {
        Op::Get(key) => json!({"requestRange": {"key": to_base64(key.as_bytes())}}),
        Op::List(prefix) => json!({"requestRange": {
            "key": to_base64(prefix.as_bytes()),
            "rangeEnd": to_base64(&prefix_end(prefix)),
        }}),
        Op::Put(key, value, lease) => json!({"requestPut": {
            "key": to_base64(key.as_bytes()),
            "value": to_base64(value),
            "lease": lease.to_string(),
        }}),
        Op::Delete(key) => json!({"requestDeleteRange": {"key": to_base64(key.as_bytes())}}),
        Op::Txn(txn) => json!({"requestTxn": encode_txn(txn)}),
    }
}

/// Decodes the response to `call`; `None` when it doesn't follow the protocol.
#[must_use]
pub fn decode(call: &Call, response: &Value) -> Option<Reply> {
    // Streaming calls wrap each message in a `result` field.
    let response = response.get("result").unwrap_or(response);
    let revision = parse_u64(&response["header"]["revision"])?;
    let body = match call {
        Call::Txn(_) => Body::Txn(decode_txn(response)?),
        Call::Range { .. } => Body::Range {
            pairs: decode_pairs(response)?,
            more: response["more"].as_bool().unwrap_or(false),
        },
        Call::Grant { .. } | Call::Renew { .. } => Body::Lease {
            lease: i64::try_from(parse_u64(&response["ID"])?).ok()?,
            ttl_s: u32::try_from(parse_u64(&response["TTL"]).unwrap_or(0)).ok()?,
        },
        Call::Revoke { .. } => Body::Revoked,
        Call::Watch { .. } if response.get("compactRevision").is_some() => Body::Compacted,
        Call::Watch { .. } => Body::Changes(decode_events(response)?),
    };
    Some(Reply { revision, body })
}

fn parse_u64(value: &Value) -> Option<u64> {
    match value {
        Value::String(text) => text.parse().ok(),
        Value::Number(n) => n.as_u64(),
        _ => None,
    }
}

fn array(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn decode_txn(response: &Value) -> Option<TxnResult> {
    Some(TxnResult {
        held: response["succeeded"].as_bool().unwrap_or(false),
        outcomes: array(&response["responses"])
            .iter()
            .map(decode_outcome)
            .collect::<Option<_>>()?,
    })
}

fn decode_outcome(response: &Value) -> Option<Outcome> {
    if let Some(range) = response.get("responseRange") {
        return Some(Outcome::Pairs(decode_pairs(range)?));
    }
    if let Some(txn) = response.get("responseTxn") {
        return Some(Outcome::Txn(decode_txn(txn)?));
    }
    let written =
        response.get("responsePut").is_some() || response.get("responseDeleteRange").is_some();
    written.then_some(Outcome::Done)
}

fn decode_pairs(range: &Value) -> Option<Vec<Pair>> {
    array(&range["kvs"]).iter().map(decode_pair).collect()
}

fn decode_pair(kv: &Value) -> Option<Pair> {
    Some(Pair {
        key: decode_key(kv)?,
        value: from_base64(kv["value"].as_str().unwrap_or(""))?,
        created: parse_u64(&kv["createRevision"])?,
        changed: parse_u64(&kv["modRevision"])?,
        lease: parse_u64(&kv["lease"]).unwrap_or(0).try_into().ok()?,
    })
}

fn decode_key(kv: &Value) -> Option<String> {
    String::from_utf8(from_base64(kv["key"].as_str()?)?).ok()
}

fn decode_events(response: &Value) -> Option<Vec<Change>> {
    array(&response["events"])
        .iter()
        .map(|event| {
            let kv = &event["kv"];
            if event["type"] == "DELETE" {
                return Some(Change::Deleted(
                    decode_key(kv)?,
                    parse_u64(&kv["modRevision"])?,
                ));
            }
            decode_pair(kv).map(Change::Put)
        })
        .collect()
}
