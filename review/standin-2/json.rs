//! Reads JSON, and writes strings and base64.

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let mut reader = Reader { bytes, at: 0 };
        reader.value()
    }

    pub fn get(&self, name: &str) -> &Json {
        if let Json::Map(fields) = self
            && let Some((_, value)) = fields.iter().find(|(k, _)| k == name)
        {
            return value;
        }
        &Json::Null
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(rows) = self {
            rows
        } else {
            &[]
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self {
            text
        } else {
            ""
        }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(n) = self {
            *n as u64
        } else {
            0
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn skip(&mut self, byte: u8) -> bool {
        let found = self.peek() == Some(byte);
        self.at += usize::from(found);
        found
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while !self.skip(b'}') {
                    self.skip(b',');
                    self.peek()?;
                    let name = self.string()?;
                    if !self.skip(b':') {
                        return None;
                    }
                    fields.push((name, self.value()?));
                }
                Some(Json::Map(fields))
            }
            b'[' => {
                self.at += 1;
                let mut rows = Vec::new();
                while !self.skip(b']') {
                    self.skip(b',');
                    rows.push(self.value()?);
                }
                Some(Json::List(rows))
            }
            b'"' => self.string().map(Json::Text),
            _ => {
                let start = self.at;
                let plain = |b: &u8| !b",]} \n\r\t".contains(b);
                while self.bytes.get(self.at).is_some_and(plain) {
                    self.at += 1;
                }
                let word = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                match word {
                    "null" => Some(Json::Null),
                    "true" | "false" => Some(Json::Bool),
                    word => word.parse().ok().map(Json::Number),
                }
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'u' => {
                            let hex = self.bytes.get(self.at..self.at + 4)?;
                            let code =
                                u32::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok()?;
                            self.at += 4;
                            let c = char::from_u32(code).unwrap_or('?');
                            out.extend(c.to_string().bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}

/// Returns a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word =
            chunk.iter().fold(0u32, |w, b| w << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * i)) as usize & 63];
            out.push(if i <= chunk.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    out
}

/// Returns how many bytes a base64 text with padding stands for.
pub fn decoded_len(text: &str) -> usize {
    text.len() / 4 * 3 - text.bytes().rev().take_while(|b| *b == b'=').count()
}

/// Returns the bytes of a base64 text with padding.
pub fn unbase64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    let digits = text
        .bytes()
        .filter_map(|b| DIGITS.iter().position(|d| *d == b));
    for digit in digits {
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
        }
    }
    out
}
