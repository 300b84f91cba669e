//! Writing that never blocks the one who logs.

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

/// Lines that wait for the writer at most; further ones are dropped and counted.
const QUEUE_LINES: usize = 4096;

/// Longest time that a flush waits for the writer.
const FLUSH_LIMIT: Duration = Duration::from_millis(300);

enum Message {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Hands lines to a thread that writes them.
pub(crate) struct Queued {
    sender: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

impl Queued {
    /// Starts the thread; it ends when the value is dropped.
    pub(crate) fn new(out: impl Send + Write + 'static) -> io::Result<Self> {
        let (sender, receiver) = mpsc::sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&receiver, &counted, out))?;
        Ok(Self { sender, dropped })
    }
}

fn write_all(receiver: &mpsc::Receiver<Message>, dropped: &AtomicU64, mut out: impl Write) {
    for message in receiver {
        // There is nowhere to report that the log cannot be written.
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

impl Write for Queued {
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
        match is_done.recv_timeout(FLUSH_LIMIT) {
            Ok(()) | Err(RecvTimeoutError::Disconnected) => Ok(()),
            Err(RecvTimeoutError::Timeout) => Err(io::ErrorKind::TimedOut.into()),
        }
    }
}
