//! Reads answers over HTTP/1.1 from a connection, and tells whether they are complete.

use std::io::{BufRead, Read as _};

/// An answer that came completely.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    /// Whether it closes the connection.
    pub closes: bool,
}

/// Reads one answer to its last byte; returns the number of bytes that came if it isn't complete.
pub fn read_answer(input: &mut impl BufRead) -> Result<Answer, (usize, String)> {
    let mut count = 0;
    let line = |input: &mut dyn BufRead, count: &mut usize| {
        let mut line = String::new();
        let read = input.read_line(&mut line);
        *count += line.len();
        match read {
            Ok(_) if line.ends_with("\r\n") => Ok(line.trim_end().to_owned()),
            Ok(_) => Err((*count, "end".to_owned())),
            Err(e) => Err((*count, e.to_string())),
        }
    };
    let status = line(input, &mut count)?;
    let status = status.split(' ').nth(1).and_then(|s| s.parse().ok());
    let status = status.ok_or((count, "not an answer".to_owned()))?;
    let (mut length, mut chunked, mut closes) = (None, false, false);
    loop {
        let header = line(input, &mut count)?.to_ascii_lowercase();
        match header.split_once(": ") {
            Some(("content-length", value)) => length = value.parse::<usize>().ok(),
            Some(("transfer-encoding", value)) => chunked = value == "chunked",
            Some(("connection", value)) => closes = value == "close",
            _ if header.is_empty() => break,
            _ => {}
        }
    }
    let mut body = Vec::new();
    let mut read = |input: &mut dyn BufRead, count: &mut usize, length: usize| {
        let begin = body.len();
        let result = input.take(length as u64).read_to_end(&mut body);
        *count += body.len() - begin;
        match result {
            Ok(n) if n == length => Ok(()),
            Ok(_) => Err((*count, "end".to_owned())),
            Err(e) => Err((*count, e.to_string())),
        }
    };
    if chunked {
        loop {
            let size = line(input, &mut count)?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or_default(), 16);
            let size = size.map_err(|e| (count, e.to_string()))?;
            read(input, &mut count, size)?;
            line(input, &mut count)?;
            if size == 0 {
                break;
            }
        }
    } else {
        let length = length.ok_or((count, "an answer without a length".to_owned()))?;
        read(input, &mut count, length)?;
    }
    Ok(Answer {
        status,
        body: String::from_utf8_lossy(&body).into_owned(),
        closes,
    })
}
