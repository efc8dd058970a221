//! A minimal HTTP/1.1 parser, and responses whose bytes are written as given,
//! so that a stand-in can send whatever a faulty upstream might.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Read},
    net::TcpStream,
};

/// A parsed HTTP request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawRequest {
    /// Method as sent, such as `GET`.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Headers by lower-case name; the last of a repeated header counts.
    pub headers: BTreeMap<String, String>,
    /// Body; empty without a `Content-Length`.
    pub body: Vec<u8>,
}

impl RawRequest {
    /// Returns a header by its lower-case name; empty when absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns a parameter of the query, not decoded; empty when absent.
    pub fn parameter(&self, name: &str) -> &str {
        let query = self.path.split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(n, _)| *n == name).map(|(_, v)| v).next().unwrap_or("")
    }
}

/// Reads the next request of a connection; `None` when the peer has closed it.
///
/// # Errors
///
/// When reading fails or the connection closes within a body.
pub fn read_request(
    stream: &mut BufReader<TcpStream>,
) -> io::Result<Option<RawRequest>> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let mut word = || words.next().unwrap_or("").to_owned();
    let (method, path) = (word(), word());
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        stream.read_line(&mut line)?;
        let Some((name, value)) = line.split_once(':') else { break };
        let name = name.trim().to_ascii_lowercase();
        headers.insert(name, value.trim().to_owned());
    }
    let length = headers.get("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok(Some(RawRequest { method, path, headers, body }))
}

/// Returns a complete response with a `Content-Length`.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    text.into_bytes()
}

/// Returns one chunk of a body with chunked transfer encoding.
pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}
