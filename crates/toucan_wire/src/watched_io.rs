//! Byte stream that records when it last received a byte.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// Time of the last byte received on a connection.
#[derive(Clone, Debug)]
pub(crate) struct LastRead {
    opened_at: Instant,
    read_at_ms: Arc<AtomicU64>,
}

impl LastRead {
    fn new() -> Self {
        Self {
            opened_at: Instant::now(),
            read_at_ms: Arc::default(),
        }
    }

    fn record_read(&self) {
        self.read_at_ms.store(self.now_ms(), Ordering::Relaxed);
    }

    /// Returns the time since the connection was opened, in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.opened_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the time since the last byte, or since the opening if there was none, in
    /// milliseconds.
    pub(crate) fn idle_ms(&self) -> u64 {
        let read_at_ms = self.read_at_ms.load(Ordering::Relaxed);
        self.now_ms().saturating_sub(read_at_ms)
    }
}

/// Byte stream that records when it last received a byte.
pub(crate) struct WatchedIo<T> {
    inner: T,
    last_read: LastRead,
}

impl<T> WatchedIo<T> {
    pub(crate) fn new(inner: T) -> (Self, LastRead) {
        let last_read = LastRead::new();
        let io = Self {
            inner,
            last_read: last_read.clone(),
        };
        (io, last_read)
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for WatchedIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.last_read.record_read();
        }
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for WatchedIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
