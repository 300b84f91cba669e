//! A proxy before a runner. It can hold back one start, which it delivers later.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpStream, //
    },
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc,
        Condvar,
        Mutex, //
    },
    thread,
    time::Duration, //
};

use crate::http;

#[derive(Clone, Copy, Eq, PartialEq)]
enum Hold {
    /// The next start is held.
    Armed,
    /// A start is held.
    Held,
    /// Everything is passed on.
    Off,
}

/// Shared by the proxies, of which one holds one start.
pub struct Holder {
    hold: Mutex<(Hold, Option<SocketAddr>)>,
    changed: Condvar,
}

impl Holder {
    pub fn new(is_armed: bool) -> Arc<Self> {
        let hold = if is_armed { Hold::Armed } else { Hold::Off };
        Arc::new(Self {
            hold: Mutex::new((hold, None)),
            changed: Condvar::new(),
        })
    }

    /// Holds back the next start.
    pub fn arm(&self) {
        *self.hold.lock().expect("lock") = (Hold::Armed, None);
    }

    /// Waits until a start is held; returns the address of its runner.
    pub fn wait(&self, limit: Duration) -> Option<SocketAddr> {
        let hold = self.hold.lock().expect("lock");
        let is_waiting = |hold: &mut (Hold, Option<SocketAddr>)| hold.0 == Hold::Armed;
        let waited = self.changed.wait_timeout_while(hold, limit, is_waiting);
        waited.expect("lock").0 .1
    }

    /// Delivers what is held.
    pub fn deliver(&self) {
        self.hold.lock().expect("lock").0 = Hold::Off;
        self.changed.notify_all();
    }

    fn on_start(&self, upstream: SocketAddr) {
        let mut hold = self.hold.lock().expect("lock");
        if hold.0 != Hold::Armed {
            return;
        }
        *hold = (Hold::Held, Some(upstream));
        self.changed.notify_all();
        let is_held = |hold: &mut (Hold, Option<SocketAddr>)| hold.0 == Hold::Held;
        drop(self.changed.wait_while(hold, is_held).expect("lock"));
    }
}

/// Starts a proxy; returns the address at which it listens.
pub fn start(address: SocketAddr, upstream: SocketAddr, holder: &Arc<Holder>) -> SocketAddr {
    let listener = http::bind(address);
    let address = listener.local_addr().expect("bound");
    let holder = holder.clone();
    http::accept_until(listener, Arc::new(AtomicBool::new(false)), move |stream| {
        let holder = holder.clone();
        thread::spawn(move || carry(stream, upstream, &holder));
    });
    address
}

/// Carries one connection. It is connected to the runner with its first bytes, and
/// closed when either side closes it.
fn carry(mut client: TcpStream, upstream: SocketAddr, holder: &Holder) {
    let mut server: Option<TcpStream> = None;
    let mut chunk = vec![0; 65536];
    let is_closed = Arc::new(AtomicBool::new(false));
    while let Ok(count @ 1..) = client.read(&mut chunk) {
        if server.is_none() {
            if chunk.starts_with(b"POST /run-start") {
                holder.on_start(upstream);
            }
            let Ok(stream) = TcpStream::connect(upstream) else {
                break;
            };
            let _ = stream.set_nodelay(true);
            let mut from = stream.try_clone().expect("clone");
            let mut to = client.try_clone().expect("clone");
            let closed = is_closed.clone();
            thread::spawn(move || {
                let mut chunk = vec![0; 65536];
                while let Ok(count @ 1..) = from.read(&mut chunk) {
                    // The answer to a client that is gone is lost.
                    let _ = to.write_all(&chunk[..count]);
                }
                closed.store(true, Ordering::SeqCst);
                let _ = to.shutdown(Shutdown::Both);
            });
            server = Some(stream);
        }
        let is_passed = server
            .as_mut()
            .is_some_and(|s| s.write_all(&chunk[..count]).is_ok());
        if !is_passed || is_closed.load(Ordering::SeqCst) {
            break;
        }
    }
    if let Some(server) = server {
        // The runner reads what was delivered before the connection closes.
        let _ = server.shutdown(Shutdown::Write);
    }
    let _ = client.shutdown(Shutdown::Both);
}
