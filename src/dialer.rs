//! Opens the connections of the HTTP client.

use std::{fmt, io, net::SocketAddr, time::Duration};

use async_trait::async_trait;
use futures_lite::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

use crate::{
    caller_memory::receive_buffer, http_client::Listening, task::within,
};

/// A stream of bytes in both directions.
pub(crate) trait ByteStream:
    AsyncRead + AsyncWrite + Send + Unpin
{
}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> ByteStream for T {}

/// An open connection.
pub(crate) struct Dialed {
    /// The connection.
    pub(crate) stream: Box<dyn ByteStream>,
    /// The VM through which it runs, if it does.
    pub(crate) relay: Option<SocketAddr>,
}

/// Why a connection could not be opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum DialError {
    /// The machine is up and refuses connections.
    Refused(String),
    /// The attempt timed out or failed in another way.
    Failed(String),
}

impl fmt::Display for DialError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (DialError::Refused(reason) | DialError::Failed(reason)) = self;
        f.write_str(reason)
    }
}

impl From<io::Error> for DialError {
    fn from(error: io::Error) -> DialError {
        let reason = error.to_string();
        match error.kind() {
            io::ErrorKind::ConnectionRefused => DialError::Refused(reason),
            _ => DialError::Failed(reason),
        }
    }
}

/// Opens connections.
#[async_trait]
pub(crate) trait Dialer: Send + Sync {
    /// Opens a connection to an address.
    async fn dial(&self, address: SocketAddr) -> Result<Dialed, DialError>;

    /// Returns whether anything accepts connections at an address.
    async fn probe(&self, address: SocketAddr) -> Listening {
        match self.dial(address).await {
            Ok(_) => Listening::Yes,
            Err(DialError::Refused(_)) => Listening::No,
            Err(DialError::Failed(_)) => Listening::Unknown,
        }
    }
}

/// Connects from this VM.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DirectDialer {
    /// Longest time for which a connection is waited for.
    pub(crate) timeout: Duration,
}

impl DirectDialer {
    /// Opens a TCP connection.
    pub(crate) async fn connect(
        &self,
        address: SocketAddr,
    ) -> Result<TcpStream, DialError> {
        self.finish(TcpStream::connect(address)).await
    }

    /// Opens a TCP connection to an upstream, on which few bytes wait that
    /// are not read.
    pub(crate) async fn connect_upstream(
        &self,
        address: SocketAddr,
    ) -> Result<TcpStream, DialError> {
        self.finish(receive_buffer::connect_upstream(address)).await
    }

    async fn finish(
        &self,
        connecting: impl Future<Output = io::Result<TcpStream>>,
    ) -> Result<TcpStream, DialError> {
        let connecting = within(self.timeout, connecting);
        let timed_out = || DialError::Failed("connect timed out".to_owned());
        let stream = connecting.await.ok_or_else(timed_out)??;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

#[async_trait]
impl Dialer for DirectDialer {
    async fn dial(&self, address: SocketAddr) -> Result<Dialed, DialError> {
        let stream = self.connect(address).await?;
        Ok(Dialed { stream: Box::new(stream), relay: None })
    }
}
