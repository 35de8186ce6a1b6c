//! The small part of HTTP/1.1 that the stand-ins need.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The start line and the headers of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// One end of a connection.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
    pub writer: TcpStream,
}

impl Connection {
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self { writer: stream.try_clone()?, reader: BufReader::new(stream) })
    }

    pub fn open(address: &str, timeout: Duration) -> io::Result<Self> {
        let address: SocketAddr = address.parse().map_err(io::Error::other)?;
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(timeout))?;
        Self::new(stream)
    }

    pub fn read_head(&mut self) -> io::Result<Head> {
        let line = self.read_line()?;
        let mut head = Head { line, headers: Vec::new() };
        loop {
            let line = self.read_line()?;
            if line.is_empty() {
                return Ok(head);
            }
            if let Some((name, value)) = line.split_once(':') {
                head.headers.push((name.to_string(), value.trim().to_string()));
            }
        }
    }

    fn read_line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end_matches(['\r', '\n']).to_string())
    }

    /// The next chunk of a chunked body; `None` at its end.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let length = usize::from_str_radix(&self.read_line()?, 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; length];
        self.reader.read_exact(&mut chunk)?;
        self.read_line()?;
        Ok((length > 0).then_some(chunk))
    }

    /// The whole body that follows a head.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if let Some(length) = head.header("content-length") {
            let mut body = vec![0; length.parse().map_err(io::Error::other)?];
            self.reader.read_exact(&mut body)?;
            return Ok(body);
        }
        let mut body = Vec::new();
        if head.header("transfer-encoding").is_some() {
            while let Some(chunk) = self.read_chunk()? {
                body.extend(chunk);
            }
        }
        Ok(body)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.writer.write_all(bytes)
    }

    /// Sends a request whose headers end with the line break of the last one.
    pub fn send(&mut self, line: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let length = body.len();
        let head = format!("{line} HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n");
        self.write(head.as_bytes())?;
        self.write(body)
    }
}

/// Sends one request on a connection of its own.
pub fn call(
    address: &str,
    line: &str,
    headers: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<(Head, Vec<u8>)> {
    let mut connection = Connection::open(address, timeout)?;
    connection.send(line, headers, body)?;
    let head = connection.read_head()?;
    let body = connection.read_body(&head)?;
    Ok((head, body))
}
