//! A small JSON reader and writer.

use std::fmt::Write as _;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        const NULL: &Json = &Json::Null;
        match self {
            Json::Obj(fields) => fields
                .iter()
                .find(|(k, _)| k == key)
                .map_or(NULL, |(_, v)| v),
            _ => NULL,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Str(s) => s,
            _ => "",
        }
    }

    pub fn num(&self) -> u64 {
        match self {
            Json::Num(n) => *n as u64,
            _ => 0,
        }
    }

    pub fn items(&self) -> &[Json] {
        match self {
            Json::Arr(items) => items,
            _ => &[],
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(b) => write!(f, "{b}"),
            Json::Num(n) => write!(f, "{n}"),
            Json::Str(s) => f.write_str(&quote(s)),
            Json::Arr(items) => {
                f.write_str("[")?;
                for (i, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if i > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Json::Obj(fields) => {
                f.write_str("{")?;
                for (i, (k, v)) in fields.iter().enumerate() {
                    write!(f, "{}{}:{v}", if i > 0 { "," } else { "" }, quote(k))?;
                }
                f.write_str("}")
            }
        }
    }
}

pub fn quote(s: &str) -> String {
    let mut out = String::from("\"");
    for c in s.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => {
                let _ = write!(out, "\\u{:04x}", c as u32);
            }
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn space(b: &[u8], at: &mut usize) {
    while b.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(b: &[u8], at: &mut usize) -> Option<Json> {
    space(b, at);
    match b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                space(b, at);
                match b.get(*at)? {
                    b'}' => break,
                    b',' => *at += 1,
                    _ => {
                        let key = string(b, at)?;
                        space(b, at);
                        if *b.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((key, value(b, at)?));
                    }
                }
            }
            *at += 1;
            Some(Json::Obj(fields))
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                space(b, at);
                match b.get(*at)? {
                    b']' => break,
                    b',' => *at += 1,
                    _ => items.push(value(b, at)?),
                }
            }
            *at += 1;
            Some(Json::Arr(items))
        }
        b'"' => string(b, at).map(Json::Str),
        b't' => word(b, at, "true", Json::Bool(true)),
        b'f' => word(b, at, "false", Json::Bool(false)),
        b'n' => word(b, at, "null", Json::Null),
        _ => {
            let from = *at;
            while b.get(*at).is_some_and(|c| b"+-.eE0123456789".contains(c)) {
                *at += 1;
            }
            std::str::from_utf8(&b[from..*at])
                .ok()?
                .parse()
                .ok()
                .map(Json::Num)
        }
    }
}

fn word(b: &[u8], at: &mut usize, text: &str, value: Json) -> Option<Json> {
    let found = b[*at..].starts_with(text.as_bytes());
    *at += text.len();
    found.then_some(value)
}

fn string(b: &[u8], at: &mut usize) -> Option<String> {
    if *b.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out: Vec<u8> = Vec::new();
    loop {
        let c = *b.get(*at)?;
        *at += 1;
        match c {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let e = *b.get(*at)?;
                *at += 1;
                let c = match e {
                    b'n' => '\n',
                    b't' => '\t',
                    b'r' => '\r',
                    b'b' => '\u{8}',
                    b'f' => '\u{c}',
                    b'u' => {
                        let hex = std::str::from_utf8(b.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        char::from_u32(u32::from_str_radix(hex, 16).ok()?)?
                    }
                    other => char::from(other),
                };
                let mut buf = [0; 4];
                out.extend_from_slice(c.encode_utf8(&mut buf).as_bytes());
            }
            c => out.push(c),
        }
    }
}
