//! TCP proxy with which tests inject network faults.

use std::{
    io::{
        Read as _,
        Write as _, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        atomic::{
            AtomicBool,
            AtomicU8,
            Ordering, //
        },
        Arc,
        Mutex,
        PoisonError, //
    },
    thread,
    time::Duration, //
};

use crate::new_address;

/// Read timeout, after which a blocked read checks the mode again.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How a link treats its connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Mode {
    /// Forwards all bytes.
    Pass = 0,
    /// Closes all connections and refuses new ones.
    Cut = 1,
    /// Accepts connections and discards the bytes of both directions.
    Silent = 2,
    /// Forwards requests, drops the last byte of the first part read of each
    /// answer, and then closes the connection.
    Truncate = 3,
}

struct Shared {
    target: Mutex<SocketAddr>,
    mode: AtomicU8,
    /// Generation of new connections; those of an older generation discard all
    /// bytes, whatever the mode.
    current_generation: AtomicU8,
    is_closed: AtomicBool,
    threads: Mutex<Vec<thread::JoinHandle<()>>>,
}

/// Forwards TCP connections to a target.
pub struct Link {
    address: SocketAddr,
    shared: Arc<Shared>,
    acceptor: Option<thread::JoinHandle<()>>,
}

impl Link {
    /// Opens a link to a target; it listens on a new address.
    ///
    /// # Panics
    ///
    /// Panics if the link cannot listen.
    pub fn new(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(new_address()).expect("the address is new");
        let address = listener.local_addr().expect("the socket is bound");
        let shared = Arc::new(Shared {
            target: Mutex::new(target),
            mode: AtomicU8::new(Mode::Pass as u8),
            current_generation: AtomicU8::new(0),
            is_closed: AtomicBool::new(false),
            threads: Mutex::default(),
        });
        let acceptor_shared = shared.clone();
        let acceptor = thread::spawn(move || accept(&listener, &acceptor_shared));
        Self {
            address,
            shared,
            acceptor: Some(acceptor),
        }
    }

    /// Returns the address that the link listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the target of new connections; open ones keep theirs.
    pub fn set_target(&self, target: SocketAddr) {
        *self
            .shared
            .target
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = target;
    }

    /// Sets the mode for open and new connections.
    pub fn set(&self, mode: Mode) {
        self.shared.mode.store(mode as u8, Ordering::SeqCst);
    }

    /// Makes all open connections discard their bytes until they are closed; new
    /// connections work.
    pub fn silence_open_connections(&self) {
        self.shared
            .current_generation
            .fetch_add(1, Ordering::SeqCst);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shared.is_closed.store(true, Ordering::SeqCst);
        // Wakes the acceptor, which then sees that the link is closed.
        let _ = TcpStream::connect(self.address);
        if let Some(acceptor) = self.acceptor.take() {
            let _ = acceptor.join();
        }
        let mut threads = self
            .shared
            .threads
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for thread in threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    while let Ok((near, _)) = listener.accept() {
        if shared.is_closed.load(Ordering::SeqCst) {
            return;
        }
        if shared.mode.load(Ordering::SeqCst) == Mode::Cut as u8 {
            continue;
        }
        let target = *shared.target.lock().unwrap_or_else(PoisonError::into_inner);
        let Ok(far) = TcpStream::connect(target) else {
            continue;
        };
        // Both sockets are closed on an error, as by a broken network link.
        let _ = start_forwarding(near, far, shared);
    }
}

fn start_forwarding(near: TcpStream, far: TcpStream, shared: &Arc<Shared>) -> std::io::Result<()> {
    for stream in [&near, &far] {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(POLL_INTERVAL))?;
    }
    let generation = shared.current_generation.load(Ordering::SeqCst);
    let back = (far.try_clone()?, near.try_clone()?);
    let mut threads = shared
        .threads
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    for (from, to, is_answer) in [(near, far, false), (back.0, back.1, true)] {
        let shared = shared.clone();
        threads.push(thread::spawn(move || {
            forward(&from, &to, &shared, generation, is_answer);
            let _ = from.shutdown(Shutdown::Both);
            let _ = to.shutdown(Shutdown::Both);
        }));
    }
    Ok(())
}

fn forward(
    mut from: &TcpStream,
    mut to: &TcpStream,
    shared: &Shared,
    generation: u8,
    is_answer: bool,
) {
    let mut buffer = [0; 16 * 1024];
    loop {
        if shared.is_closed.load(Ordering::SeqCst) {
            return;
        }
        let mode = shared.mode.load(Ordering::SeqCst);
        if mode == Mode::Cut as u8 {
            return;
        }
        let length = match from.read(&mut buffer) {
            Ok(0) => return,
            Ok(length) => length,
            Err(error) if is_timeout(&error) => continue,
            Err(_) => return,
        };
        if is_answer && mode == Mode::Truncate as u8 {
            // The connection is closed next, whether or not the write succeeds.
            let _ = to.write_all(&buffer[..length - 1]);
            return;
        }
        let is_silenced = shared.current_generation.load(Ordering::SeqCst) != generation;
        let is_silent = shared.mode.load(Ordering::SeqCst) == Mode::Silent as u8;
        if !is_silenced && !is_silent && to.write_all(&buffer[..length]).is_err() {
            return;
        }
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind;
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
