//! A small JSON reader for the calls that the hosts make to the stand-ins.

use std::collections::BTreeMap;

/// JSON value. Numbers are kept as text, so that whole numbers of 64 bits stay exact.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a whole document; `None` if it is not valid JSON.
    pub fn parse(text: &str) -> Option<Json> {
        let bytes: Vec<char> = text.chars().collect();
        let mut reader = Reader { bytes, at: 0 };
        let value = reader.value()?;
        reader.blanks();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    /// Returns a field of an object; `Null` if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(text) => text.parse().unwrap_or(0),
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

struct Reader {
    bytes: Vec<char>,
    at: usize,
}

impl Reader {
    fn blanks(&mut self) {
        while self.bytes.get(self.at).is_some_and(|c| c.is_whitespace()) {
            self.at += 1;
        }
    }

    fn take(&mut self, wanted: char) -> Option<()> {
        self.blanks();
        (*self.bytes.get(self.at)? == wanted).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        let found: String = self.bytes.get(self.at..end)?.iter().collect();
        self.at = end;
        (found == word).then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.blanks();
        match *self.bytes.get(self.at)? {
            '{' => self.object(),
            '[' => self.items(),
            '"' => Some(Json::Text(self.string()?)),
            't' => self.word("true", Json::Bool(true)),
            'f' => self.word("false", Json::Bool(false)),
            'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                let is_part = |c: &char| c.is_ascii_digit() || "+-.eE".contains(*c);
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text: String = self.bytes[start..self.at].iter().collect();
                (!text.is_empty()).then_some(Json::Number(text))
            }
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take('{')?;
        let mut fields = BTreeMap::new();
        if self.take('}').is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.blanks();
            let name = self.string()?;
            self.take(':')?;
            fields.insert(name, self.value()?);
            if self.take(',').is_none() {
                self.take('}')?;
                return Some(Json::Object(fields));
            }
        }
    }

    fn items(&mut self) -> Option<Json> {
        self.take('[')?;
        let mut list = Vec::new();
        if self.take(']').is_some() {
            return Some(Json::List(list));
        }
        loop {
            list.push(self.value()?);
            if self.take(',').is_none() {
                self.take(']')?;
                return Some(Json::List(list));
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take('"')?;
        let mut text = String::new();
        loop {
            let c = *self.bytes.get(self.at)?;
            self.at += 1;
            match c {
                '"' => return Some(text),
                '\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        'n' => text.push('\n'),
                        't' => text.push('\t'),
                        'r' => text.push('\r'),
                        'u' => {
                            let digits: String =
                                self.bytes.get(self.at..self.at + 4)?.iter().collect();
                            self.at += 4;
                            let code = u32::from_str_radix(&digits, 16).ok()?;
                            text.push(char::from_u32(code)?);
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}

/// Returns the text as a JSON string.
pub fn quoted(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            if place <= chunk.len() {
                let sign = bits >> (18 - 6 * place) & 63;
                text.push(char::from(SIGNS[sign as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
