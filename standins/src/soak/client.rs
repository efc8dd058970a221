//! A caller's connection: one request after the other, for as long as both
//! sides keep it open.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::gateway_site::Got;

/// Longest time to open a connection.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// Longest line that is read: a head line or the size of a chunk.
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
    /// When it does not open in time.
    pub fn open(address: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIME)?;
        stream.set_nodelay(true)?;
        Ok(Connection { reader: BufReader::new(stream) })
    }

    /// Sends a request and reads its answer, as far as it comes in time.
    ///
    /// Returns the answer, and whether another request may follow.
    pub fn ask(&mut self, request: &str, limit: Duration) -> (Got, bool) {
        let until = Instant::now() + limit;
        let mut got = Got::default();
        let read = self.exchange(request, until, &mut got);
        got.whole = read.is_ok();
        let is_kept = got.whole && got.header("connection") != "close";
        (got, is_kept)
    }

    fn exchange(
        &mut self,
        request: &str,
        until: Instant,
        got: &mut Got,
    ) -> io::Result<()> {
        self.reader.get_mut().write_all(request.as_bytes())?;
        let status_line = self.line(until)?;
        let mut words = status_line.split(' ');
        got.status = words
            .nth(1)
            .and_then(|word| word.parse().ok())
            .ok_or(io::ErrorKind::InvalidData)?;
        loop {
            let line = self.line(until)?;
            if line.is_empty() {
                break;
            }
            got.head.push_str(&line);
            got.head.push('\n');
        }
        if got.header("transfer-encoding") == "chunked" {
            return self.chunks(until, &mut got.body);
        }
        let length = got.header("content-length").parse().unwrap_or(0);
        self.take(length, until, &mut got.body)
    }

    fn chunks(&mut self, until: Instant, body: &mut String) -> io::Result<()> {
        loop {
            let line = self.line(until)?;
            let size = usize::from_str_radix(&line, 16)
                .map_err(|_| io::ErrorKind::InvalidData)?;
            self.take(size, until, body)?;
            self.line(until)?;
            if size == 0 {
                return Ok(());
            }
        }
    }

    fn line(&mut self, until: Instant) -> io::Result<String> {
        self.set_limit(until)?;
        let mut line = String::new();
        let mut limited = (&mut self.reader).take(LINE_BYTES);
        limited.read_line(&mut line)?;
        match line.strip_suffix("\r\n") {
            Some(text) => Ok(text.to_owned()),
            None => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }

    fn take(
        &mut self,
        length: usize,
        until: Instant,
        body: &mut String,
    ) -> io::Result<()> {
        self.set_limit(until)?;
        let mut bytes = vec![0; length];
        self.reader.read_exact(&mut bytes)?;
        body.push_str(&String::from_utf8_lossy(&bytes));
        Ok(())
    }

    /// Bounds the next read by what is left of the request's time.
    fn set_limit(&self, until: Instant) -> io::Result<()> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.reader.get_ref().set_read_timeout(Some(left))
    }
}
