//! Write timeout of a connection.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Instant, Sleep},
};

/// Connection whose writes fail once the peer has read no byte for the timeout.
///
/// The error closes the connection and drops the response's body, which tells the handler that the
/// caller is gone.
pub(super) struct WriteTimeout<S> {
    inner: S,
    timeout: Duration,
    /// End of the timeout; in use while a write waits for the peer.
    deadline: Pin<Box<Sleep>>,
    is_waiting: bool,
    server: &'static str,
}

impl<S> WriteTimeout<S> {
    /// Adds a write timeout to a connection.
    pub(super) fn new(inner: S, timeout: Duration, server: &'static str) -> Self {
        Self {
            inner,
            timeout,
            deadline: Box::pin(tokio::time::sleep(timeout)),
            is_waiting: false,
            server,
        }
    }

    /// Returns the result of a write, or an error if the write has waited for too long.
    fn check_deadline<T>(
        &mut self,
        written: Poll<io::Result<T>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.is_waiting = false;
            return written;
        }
        if !self.is_waiting {
            self.is_waiting = true;
            self.deadline.as_mut().reset(Instant::now() + self.timeout);
        }
        ready!(self.deadline.as_mut().poll(cx));
        metrics::counter!("toucan_stalled_connections_total", "server" => self.server).increment(1);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WriteTimeout<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WriteTimeout<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, bytes);
        self.check_deadline(written, cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, slices);
        self.check_deadline(written, cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.inner).poll_flush(cx);
        self.check_deadline(flushed, cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
