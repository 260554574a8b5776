//! Reads and writes the JSON documents of the platform's protocol, as far as the stand-ins need it.

use std::fmt::Write;

/// JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    /// Parses a document; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser {
            text: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.blanks();
        (parser.at == parser.text.len()).then_some(value)
    }

    /// Returns the field `name` of a table.
    pub fn get(&self, name: &str) -> Option<&Self> {
        let Self::Table(fields) = self else {
            return None;
        };
        fields
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value)
    }

    /// Returns the text of the field `name`; empty if there is none.
    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Self::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    /// Returns the number of the field `name`; 0 if there is none.
    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Self::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    /// Returns the elements of the field `name`; none if it is no list.
    pub fn list(&self, name: &str) -> &[Self] {
        match self.get(name) {
            Some(Self::List(elements)) => elements,
            _ => &[],
        }
    }
}

/// Returns `text` as a JSON text, in quotes.
pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for sign in text.chars() {
        match sign {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            sign if (sign as u32) < 0x20 => {
                let _ = write!(out, "\\u{:04x}", sign as u32);
            }
            sign => out.push(sign),
        }
    }
    out.push('"');
    out
}

/// Returns `bytes` in base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |place: usize| u32::from(chunk.get(place).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            if place <= chunk.len() {
                out.push(char::from(SIGNS[(bits >> (18 - 6 * place) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn blanks(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn takes(&mut self, word: &str) -> bool {
        self.blanks();
        let found = self.text[self.at..].starts_with(word.as_bytes());
        if found {
            self.at += word.len();
        }
        found
    }

    fn value(&mut self) -> Option<Json> {
        if self.takes("null") {
            return Some(Json::Null);
        }
        if self.takes("true") {
            return Some(Json::Bool(true));
        }
        if self.takes("false") {
            return Some(Json::Bool(false));
        }
        if self.takes("[") {
            let mut elements = Vec::new();
            while !self.takes("]") {
                elements.push(self.value()?);
                self.takes(",");
            }
            return Some(Json::List(elements));
        }
        if self.takes("{") {
            let mut fields = Vec::new();
            while !self.takes("}") {
                let key = self.string()?;
                if !self.takes(":") {
                    return None;
                }
                fields.push((key, self.value()?));
                self.takes(",");
            }
            return Some(Json::Table(fields));
        }
        if self.text.get(self.at) == Some(&b'"') {
            return self.string().map(Json::Text);
        }
        let begin = self.at;
        while self
            .text
            .get(self.at)
            .is_some_and(|sign| b"+-.eE0123456789".contains(sign))
        {
            self.at += 1;
        }
        let number = std::str::from_utf8(&self.text[begin..self.at]).ok()?;
        number.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        if !self.takes("\"") {
            return None;
        }
        let mut out = Vec::new();
        loop {
            let sign = *self.text.get(self.at)?;
            self.at += 1;
            match sign {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'u' => {
                            let digits = self.text.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let sign = char::from_u32(code)?;
                            out.extend(sign.to_string().bytes());
                        }
                        other => out.push(other),
                    }
                }
                sign => out.push(sign),
            }
        }
    }
}
