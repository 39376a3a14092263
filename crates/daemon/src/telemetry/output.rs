//! Non-blocking log output.

use std::{
    io::{self, Write},
    os::fd::AsFd,
    sync::atomic::{AtomicU64, Ordering},
};

use nix::{
    errno::Errno,
    fcntl::{FcntlArg, OFlag, fcntl},
    unistd,
};
use tracing_subscriber::fmt::MakeWriter;

/// Lines dropped since the process started, see [`dropped_lines`].
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// A writer that drops lines instead of waiting for a slow reader of the log.
///
/// A pipe takes a line of up to `PIPE_BUF` bytes whole or not at all. Longer lines may
/// be truncated.
#[derive(Debug)]
pub struct LogWriter<F> {
    descriptor: F,
}

impl<F: AsFd> LogWriter<F> {
    /// Sets the descriptor to non-blocking mode.
    ///
    /// # Errors
    ///
    /// If the mode of the descriptor can't be read or changed.
    pub fn new(descriptor: F) -> io::Result<Self> {
        let flags = OFlag::from_bits_truncate(fcntl(&descriptor, FcntlArg::F_GETFL)?);
        fcntl(&descriptor, FcntlArg::F_SETFL(flags | OFlag::O_NONBLOCK))?;
        Ok(Self { descriptor })
    }

    fn write_all(&self, mut bytes: &[u8]) -> Result<(), Errno> {
        while !bytes.is_empty() {
            match unistd::write(&self.descriptor, bytes) {
                Ok(written) => bytes = &bytes[written..],
                Err(Errno::EINTR) => {}
                Err(err) => return Err(err),
            }
        }
        Ok(())
    }
}

/// Number of lines that were dropped or truncated since the process started, because
/// the reader was too slow or the write failed.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Writer of one line.
pub struct LineWriter<'a, F>(&'a LogWriter<F>);

impl<'a, F: AsFd + 'a> MakeWriter<'a> for LogWriter<F> {
    type Writer = LineWriter<'a, F>;

    fn make_writer(&'a self) -> Self::Writer {
        LineWriter(self)
    }
}

impl<F: AsFd> Write for LineWriter<'_, F> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // A failed write can't be logged, only counted.
        if self.0.write_all(bytes).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
