//! Writer that never blocks the thread that logs.

use std::{
    io::{
        self,
        Write, //
    },
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        mpsc::{
            self,
            RecvTimeoutError,
            SyncSender,
            TrySendError, //
        },
        Arc, //
    },
    thread,
    time::Duration, //
};

/// Maximum number of lines in the queue; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4096;

/// Maximum time that a flush waits for the writer thread.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Message to the writer thread.
enum Message {
    /// Writes the line.
    Line(Vec<u8>),
    /// Flushes the output, then notifies the sender.
    Flush(SyncSender<()>),
}

/// Queues lines for a thread that writes them.
pub(crate) struct QueuedWriter {
    sender: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

impl QueuedWriter {
    /// Starts the writer thread, which ends when the value is dropped.
    pub(crate) fn new(out: impl Send + Write + 'static) -> io::Result<Self> {
        let (sender, receiver) = mpsc::sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let thread_dropped = dropped.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || run_writer(&receiver, &thread_dropped, out))?;
        Ok(Self { sender, dropped })
    }
}

fn run_writer(receiver: &mpsc::Receiver<Message>, dropped: &AtomicU64, mut out: impl Write) {
    for message in receiver {
        // An error has nowhere to be reported.
        match message {
            Message::Line(line) => {
                let _ = out.write_all(&line);
            }
            Message::Flush(done) => {
                let _ = out.flush();
                let _ = done.try_send(());
            }
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let _ = writeln!(out, "level=warn event=lines_dropped count={count}");
        }
    }
}

impl Write for QueuedWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.sender.try_send(Message::Line(line.to_vec())) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let (done, is_done) = mpsc::sync_channel(1);
        if self.sender.try_send(Message::Flush(done)).is_err() {
            return Ok(());
        }
        match is_done.recv_timeout(FLUSH_TIMEOUT) {
            Ok(()) | Err(RecvTimeoutError::Disconnected) => Ok(()),
            Err(RecvTimeoutError::Timeout) => Err(io::ErrorKind::TimedOut.into()),
        }
    }
}
