//! A small JSON parser for the calls that the store's stand-in receives.

use std::collections::BTreeMap;

/// A JSON value. Numbers are kept as `f64`, which is exact for the numbers used here.
#[derive(Debug, Clone)]
pub enum Value {
    /// Also stands for the words `true` and `false`, which no call here needs.
    Null,
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    pub fn get(&self, name: &str) -> &Value {
        const NULL: &Value = &Value::Null;
        match self {
            Value::Object(fields) => fields.get(name).unwrap_or(NULL),
            _ => NULL,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Value::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(list) => list,
            _ => &[],
        }
    }
}

pub fn parse(bytes: &[u8]) -> Value {
    let mut at = 0;
    value(bytes, &mut at)
}

fn skip(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Value {
    skip(bytes, at);
    match bytes.get(*at) {
        Some(b'{') => {
            let mut fields = BTreeMap::new();
            *at += 1;
            loop {
                skip(bytes, at);
                match bytes.get(*at) {
                    Some(b'"') => {
                        let name = string(bytes, at);
                        skip(bytes, at);
                        *at += 1;
                        fields.insert(name, value(bytes, at));
                    }
                    Some(b',') => *at += 1,
                    _ => {
                        *at += 1;
                        return Value::Object(fields);
                    }
                }
            }
        }
        Some(b'[') => {
            let mut list = Vec::new();
            *at += 1;
            loop {
                skip(bytes, at);
                match bytes.get(*at) {
                    Some(b',') => *at += 1,
                    Some(b']') | None => {
                        *at += 1;
                        return Value::List(list);
                    }
                    Some(_) => list.push(value(bytes, at)),
                }
            }
        }
        Some(b'"') => Value::Text(string(bytes, at)),
        Some(b't') => {
            *at += 4;
            Value::Null
        }
        Some(b'f') => {
            *at += 5;
            Value::Null
        }
        Some(b'n') => {
            *at += 4;
            Value::Null
        }
        _ => {
            let begin = *at;
            while bytes.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                *at += 1;
            }
            if *at == begin {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[begin..(*at).min(bytes.len())]).unwrap_or("");
            Value::Number(text.parse().unwrap_or(0.0))
        }
    }
}

fn string(bytes: &[u8], at: &mut usize) -> String {
    let mut out = Vec::new();
    *at += 1;
    while let Some(byte) = bytes.get(*at) {
        *at += 1;
        match byte {
            b'"' => break,
            b'\\' => {
                let escaped = bytes.get(*at).copied().unwrap_or(b'"');
                *at += 1;
                out.push(match escaped {
                    b'n' => b'\n',
                    b't' => b'\t',
                    b'r' => b'\r',
                    other => other,
                });
            }
            other => out.push(*other),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let word = u32::from(part[0]) << 16
            | u32::from(*part.get(1).unwrap_or(&0)) << 8
            | u32::from(*part.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place > part.len() {
                out.push('=');
            } else {
                out.push(DIGITS[(word >> (18 - 6 * place)) as usize & 63] as char);
            }
        }
    }
    out
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let (mut out, mut word, mut bits) = (Vec::new(), 0u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|other| *other == byte) else { continue };
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    out
}
