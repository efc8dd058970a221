//! An HTTP/1.1 client connection, reused for one request after the other for
//! as long as both sides keep it open.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::gateway_site::HttpReply;

/// Time limit for opening a connection.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// Longest status, header or chunk size line that is read, in bytes.
const LINE_BYTES: u64 = 16 << 10;

/// An open connection.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// If it fails or does not open within the time limit.
    pub fn open(address: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIME)?;
        stream.set_nodelay(true)?;
        Ok(Connection { reader: BufReader::new(stream) })
    }

    /// Sends a request and reads as much of the response as arrives within the
    /// time limit.
    ///
    /// Returns the response, and whether the connection can be reused.
    pub fn send(
        &mut self,
        request: &str,
        limit: Duration,
    ) -> (HttpReply, bool) {
        let deadline = Instant::now() + limit;
        let mut response = HttpReply::default();
        let read = self.exchange(request, deadline, &mut response);
        response.whole = read.is_ok();
        let is_reusable =
            response.whole && response.header("connection") != "close";
        (response, is_reusable)
    }

    fn exchange(
        &mut self,
        request: &str,
        deadline: Instant,
        response: &mut HttpReply,
    ) -> io::Result<()> {
        self.reader.get_mut().write_all(request.as_bytes())?;
        let status_line = self.read_line_until(deadline)?;
        let mut words = status_line.split(' ');
        response.status = words
            .nth(1)
            .and_then(|word| word.parse().ok())
            .ok_or(io::ErrorKind::InvalidData)?;
        loop {
            let line = self.read_line_until(deadline)?;
            if line.is_empty() {
                break;
            }
            response.head.push_str(&line);
            response.head.push('\n');
        }
        if response.header("transfer-encoding") == "chunked" {
            return self.read_chunks(deadline, &mut response.body);
        }
        let length = response.header("content-length").parse().unwrap_or(0);
        self.read_body(length, deadline, &mut response.body)
    }

    fn read_chunks(
        &mut self,
        deadline: Instant,
        body: &mut String,
    ) -> io::Result<()> {
        loop {
            let line = self.read_line_until(deadline)?;
            let size = usize::from_str_radix(&line, 16)
                .map_err(|_| io::ErrorKind::InvalidData)?;
            self.read_body(size, deadline, body)?;
            self.read_line_until(deadline)?;
            if size == 0 {
                return Ok(());
            }
        }
    }

    fn read_line_until(&mut self, deadline: Instant) -> io::Result<String> {
        self.set_read_timeout_until(deadline)?;
        let mut line = String::new();
        let mut limited = (&mut self.reader).take(LINE_BYTES);
        limited.read_line(&mut line)?;
        match line.strip_suffix("\r\n") {
            Some(text) => Ok(text.to_owned()),
            None => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }

    fn read_body(
        &mut self,
        length: usize,
        deadline: Instant,
        body: &mut String,
    ) -> io::Result<()> {
        self.set_read_timeout_until(deadline)?;
        let mut bytes = vec![0; length];
        self.reader.read_exact(&mut bytes)?;
        body.push_str(&String::from_utf8_lossy(&bytes));
        Ok(())
    }

    /// Limits the next read to what is left of the request's time.
    fn set_read_timeout_until(&self, deadline: Instant) -> io::Result<()> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.reader.get_ref().set_read_timeout(Some(left))
    }
}
