//! HTTP/1.1 messages over plain sockets.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

/// Head and body of a request or a response.
#[derive(Debug, Default)]
pub struct Message {
    /// First line of the head.
    pub line: String,
    /// Fields of the head, with names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a field, whose name is given in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| &**value)
    }

    /// Returns a word of the first line, counted from 0; empty if there is none.
    pub fn word(&self, place: usize) -> &str {
        self.line.split(' ').nth(place).unwrap_or_default()
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// Returns a parameter of the query of a request.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.word(1).split_once('?')?;
        let pair = query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })?;
        Some(unescaped(pair))
    }
}

fn unescaped(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match code {
            Some(code) => {
                out.push(code);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    unused: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            unused: Vec::new(),
        }
    }

    /// Reads a message whose body has a length or is chunked; `None` if the connection ends first.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(head) = self.head()? else {
            return Ok(None);
        };
        let mut lines = head.lines();
        let mut message = Message {
            line: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                let name = name.trim().to_ascii_lowercase();
                message.fields.push((name, value.trim().to_owned()));
            }
        }
        let length = message
            .field("content-length")
            .and_then(|length| length.parse().ok());
        if message.field("transfer-encoding").is_some() {
            loop {
                let line = self.take_line()?;
                let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
                let piece = self.take(size)?;
                message.body.extend(piece);
                self.take_line()?;
                if size == 0 {
                    break;
                }
            }
        } else {
            message.body = self.take(length.unwrap_or(0))?;
        }
        Ok(Some(message))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn head(&mut self) -> io::Result<Option<String>> {
        loop {
            let end = self
                .unused
                .windows(4)
                .position(|window| window == b"\r\n\r\n");
            if let Some(end) = end {
                let rest = self.unused.split_off(end + 4);
                let head = std::mem::replace(&mut self.unused, rest);
                return Ok(Some(String::from_utf8_lossy(&head).into_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.unused.windows(2).position(|window| window == b"\r\n") {
                let rest = self.unused.split_off(end + 2);
                let line = std::mem::replace(&mut self.unused, rest);
                return Ok(String::from_utf8_lossy(&line).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take(&mut self, bytes: usize) -> io::Result<Vec<u8>> {
        while self.unused.len() < bytes {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let rest = self.unused.split_off(bytes);
        Ok(std::mem::replace(&mut self.unused, rest))
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut buffer = [0; 16 * 1024];
        let read = self.stream.read(&mut buffer)?;
        self.unused.extend_from_slice(&buffer[..read]);
        Ok(read > 0)
    }
}

/// Returns a response with a body.
pub fn response(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in fields {
        out += &format!("{name}: {value}\r\n");
    }
    out += "\r\n";
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}
