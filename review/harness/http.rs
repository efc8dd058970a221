//! HTTP/1.1, as far as the stand-ins need it.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request that a stand-in has read.
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(own, _)| own == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns a parameter of the query; empty without it.
    pub fn parameter(&self, name: &str) -> &str {
        let query = self.path.split_once('?').map_or("", |(_, query)| query);
        let mut fields = query.split('&');
        let value = fields.find_map(|field| {
            let (own, value) = field.split_once('=')?;
            (own == name).then_some(value)
        });
        value.unwrap_or("")
    }
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let path = first.split(' ').nth(1)?.to_owned();
    let length = length_of(&headers).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Some(Request { path, headers, body })
}

fn read_head(
    reader: &mut BufReader<TcpStream>,
) -> Option<(String, Vec<(String, String)>)> {
    let mut line = String::new();
    let mut first = None;
    let mut headers = Vec::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Some((first?, headers));
        }
        match (&first, text.split_once(':')) {
            (None, _) => first = Some(text.to_owned()),
            (Some(_), Some((name, value))) => headers
                .push((name.to_ascii_lowercase(), value.trim().to_owned())),
            _ => return None,
        }
    }
}

fn length_of(headers: &[(String, String)]) -> Option<usize> {
    let found = headers.iter().find(|(name, _)| name == "content-length");
    found.and_then(|(_, value)| value.parse().ok())
}

/// Returns the bytes of a response with a length.
pub fn response(status: u16, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Sends a request on a new connection; returns the status and the whole body,
/// or `None` without a whole response.
pub fn call(
    address: SocketAddr,
    request: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_answer(&mut BufReader::new(stream))
}

/// Reads a response; returns its status and the whole body.
pub fn read_answer(
    reader: &mut BufReader<TcpStream>,
) -> Option<(u16, String)> {
    let (first, headers) = read_head(reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut body = vec![0; length_of(&headers)?];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
