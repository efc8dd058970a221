//! HTTP/1.1 over blocking sockets: a listener for the stand-ins and the calls
//! of clients.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request as a server reads it.
pub struct Request {
    pub path: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

/// A response as a client reads it.
#[derive(Debug, Default)]
pub struct Response {
    /// 0 if the connection ended before a status line.
    pub status: u16,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body was whole by its length or its last chunk.
    pub is_whole: bool,
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let mut found = headers.iter().filter(|(n, _)| n == name);
    found.next().map_or("", |(_, value)| value)
}

/// Serves each connection in a thread of its own; the handler writes the
/// answer, and says whether the connection is kept.
pub fn serve(
    address: &str,
    handler: impl Fn(Request, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let at = listener.local_addr()?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(reading) = stream.try_clone() else { return };
                let mut reader = BufReader::new(reading);
                let mut writer = stream;
                while let Ok(Some(request)) = read_request(&mut reader) {
                    if !handler(request, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
    Ok(at)
}

/// Returns a whole response.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    text.into_bytes()
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

fn read_headers(
    reader: &mut impl BufRead,
) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            let name = name.to_ascii_lowercase();
            headers.push((name, value.trim().to_owned()));
        }
    }
}

pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (Some(_), Some(path)) = (words.next(), words.next()) else {
        return Ok(None);
    };
    let headers = read_headers(reader)?;
    let length = find(&headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let path = path.to_owned();
    Ok(Some(Request { path, headers, body }))
}

/// Sends a request on a new connection and reads its response to the end.
pub fn call(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    limit: Duration,
) -> Response {
    let mut response = Response::default();
    let _ = exchange(address, head, body, limit, &mut response);
    response
}

fn exchange(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    limit: Duration,
    response: &mut Response,
) -> io::Result<()> {
    let mut stream =
        TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let written = stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.write_all(body));
    // The answer may have come before the end of the body.
    let read = read_response(&mut reader, response);
    written.and(read)
}

fn read_response(
    reader: &mut impl BufRead,
    response: &mut Response,
) -> io::Result<()> {
    let line = read_line(reader)?;
    let status = line.split(' ').nth(1).and_then(|s| s.parse().ok());
    let Some(status) = status else { return Ok(()) };
    response.headers = read_headers(reader)?;
    response.status = status;
    if find(&response.headers, "transfer-encoding") == "chunked" {
        loop {
            let line = read_line(reader)?;
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return Ok(());
            };
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            response.body.extend(chunk);
            read_line(reader)?;
            if size == 0 {
                response.is_whole = true;
                return Ok(());
            }
        }
    }
    let length = find(&response.headers, "content-length").parse();
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    response.body = body;
    response.is_whole = true;
    Ok(())
}
