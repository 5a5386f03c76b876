//! The part of HTTP/1.1 that the stand-ins need: heads, and bodies with a length or in chunks.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest wait for a byte of a message.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the status of a response, 0 if it has none.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// A connection that is read through a buffer.
pub struct Conn {
    reader: BufReader<TcpStream>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> io::Result<Conn> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(Conn {
            reader: BufReader::with_capacity(4096, stream),
        })
    }

    pub fn open(addr: SocketAddr) -> io::Result<Conn> {
        Conn::new(TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT)?)
    }

    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads the start line and the headers; `None` if the connection ended before.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let start = self.read_line()?;
        if start.is_empty() {
            return Ok(None);
        }
        let mut message = Message {
            start,
            ..Message::default()
        };
        loop {
            let line = self.read_line()?;
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                let value = value.trim().to_owned();
                message.headers.push((name.to_ascii_lowercase(), value));
            }
        }
    }

    /// Reads a message with its body.
    pub fn read_message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        if message.header("transfer-encoding").is_some() {
            while let Some(chunk) = self.read_chunk()? {
                message.body.extend_from_slice(&chunk);
            }
        } else {
            let length = message
                .header("content-length")
                .and_then(|v| v.parse().ok());
            message.body = vec![0; length.unwrap_or(0)];
            self.reader.read_exact(&mut message.body)?;
        }
        Ok(Some(message))
    }

    /// Reads a chunk of a body; `None` is its end.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let size = self.read_line()?;
        let size = size.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16)
            .map_err(|_| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        let mut chunk = vec![0; size];
        self.reader.read_exact(&mut chunk)?;
        self.read_line()?;
        Ok((size > 0).then_some(chunk))
    }

    fn read_line(&mut self) -> io::Result<String> {
        let mut line = Vec::new();
        self.reader.read_until(b'\n', &mut line)?;
        while line.last().is_some_and(|b| *b == b'\n' || *b == b'\r') {
            line.pop();
        }
        Ok(String::from_utf8_lossy(&line).into_owned())
    }
}

/// Returns the bytes of a response with a body of known length.
pub fn response(status: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
