//! The part of JSON that orders to engines need.

#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Number(u64),
    Text(String),
    List(Vec<Value>),
    Fields(Vec<(String, Value)>),
    Other,
}

impl Value {
    pub fn get(&self, name: &str) -> Option<&Value> {
        let Value::Fields(fields) = self else { return None };
        fields.iter().find(|(key, _)| key == name).map(|(_, value)| value)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Value::Number(number)) => Some(*number),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name) {
            Some(Value::Text(text)) => Some(text),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(list) => list,
            _ => &[],
        }
    }
}

pub fn parse(text: &str) -> Option<Value> {
    let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
    parser.value()
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn accept(&mut self, byte: u8) -> bool {
        let found = self.peek() == Some(byte);
        self.at += usize::from(found);
        found
    }

    fn text(&mut self) -> Option<String> {
        if !self.accept(b'"') {
            return None;
        }
        let start = self.at;
        while *self.bytes.get(self.at)? != b'"' {
            self.at += 1;
        }
        self.at += 1;
        String::from_utf8(self.bytes[start..self.at - 1].to_vec()).ok()
    }

    fn value(&mut self) -> Option<Value> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while !self.accept(b'}') {
                    let key = self.text()?;
                    if !self.accept(b':') {
                        return None;
                    }
                    fields.push((key, self.value()?));
                    self.accept(b',');
                }
                Some(Value::Fields(fields))
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                while !self.accept(b']') {
                    list.push(self.value()?);
                    self.accept(b',');
                }
                Some(Value::List(list))
            }
            b'"' => self.text().map(Value::Text),
            _ => {
                let start = self.at;
                while self.bytes.get(self.at).is_some_and(|byte| !b",]}".contains(byte)) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?.trim();
                Some(text.parse().map_or(Value::Other, Value::Number))
            }
        }
    }
}
