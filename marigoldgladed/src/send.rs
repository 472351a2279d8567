//! Single HTTP exchanges with VMs and the VM list. The kind of an error says whether the peer may
//! have acted on the request.

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use marigoldglade::prelude::*;
use opentelemetry::trace::SpanKind;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

use crate::{clock, spans};

/// The largest accepted answer, in bytes.
const ANSWER_LIMIT_BYTES: usize = 8 << 20;

/// Sends one request and waits for the complete answer until `deadline`.
///
/// # Errors
///
/// [`Kind::NoTarget`] when nothing was sent; [`Kind::Timeout`], [`Kind::TargetFailed`] or
/// [`Kind::BadAnswer`] when the peer may have acted on the request.
pub(crate) async fn exchange(
    addr: &str,
    request: Request<Full<Bytes>>,
    deadline: UnixMs,
) -> Result<Response<Bytes>> {
    let work = exchange_in_span(addr, request, deadline);
    spans::in_span("send", SpanKind::Client, addr.to_owned(), work).await
}

async fn exchange_in_span(
    addr: &str,
    mut request: Request<Full<Bytes>>,
    deadline: UnixMs,
) -> Result<Response<Bytes>> {
    spans::inject(request.headers_mut());
    let connect = tokio::time::timeout(clock::until(deadline), TcpStream::connect(addr)).await;
    let stream = match connect {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(Error::new(Kind::NoTarget, format!("{addr}: {e}"))),
        Err(_) => {
            return Err(Error::new(
                Kind::NoTarget,
                format!("{addr}: no connection before the deadline"),
            ));
        }
    };
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| Error::new(Kind::NoTarget, format!("{addr}: {e}")))?;
    let driver = tokio::spawn(connection);
    let answered = async {
        let answer = sender
            .send_request(request)
            .await
            .map_err(|e| Error::new(Kind::TargetFailed, format!("{addr}: {e}")))?;
        let (parts, body) = answer.into_parts();
        let body = Limited::new(body, ANSWER_LIMIT_BYTES)
            .collect()
            .await
            .map_err(|e| Error::new(Kind::BadAnswer, format!("{addr}: {e}")))?;
        Ok(Response::from_parts(parts, body.to_bytes()))
    };
    let result = tokio::time::timeout(clock::until(deadline), answered).await;
    driver.abort();
    result.unwrap_or_else(|_| {
        Err(Error::new(
            Kind::Timeout,
            format!("{addr}: no answer before the deadline"),
        ))
    })
}

/// Sends a value as JSON and reads the answer as JSON.
///
/// # Errors
///
/// As [`exchange`], and [`Kind::BadAnswer`] for a status other than 200 or a body that isn't the
/// expected JSON.
pub(crate) async fn exchange_json<T: Serialize, R: DeserializeOwned>(
    addr: &str,
    method: &str,
    path: &str,
    value: &T,
    deadline: UnixMs,
) -> Result<R> {
    let body = serde_json::to_vec(value).map_err(|e| Error::new(Kind::Internal, e.to_string()))?;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", addr)
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|e| Error::new(Kind::Internal, e.to_string()))?;
    let answer = exchange(addr, request, deadline).await?;
    if answer.status() != 200 {
        let detail = format!("{addr}: expected status 200, got {}", answer.status());
        return Err(Error::new(Kind::BadAnswer, detail));
    }
    serde_json::from_slice(answer.body())
        .map_err(|e| Error::new(Kind::BadAnswer, format!("{addr}: {e}")))
}
