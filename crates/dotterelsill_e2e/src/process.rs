//! Runs one binary of the workspace as a process and reads its log.

use std::{
    collections::HashMap,
    env,
    fs,
    io::{
        BufRead as _,
        BufReader, //
    },
    net::SocketAddr,
    path::PathBuf,
    process::{
        Child,
        Command,
        ExitStatus,
        Stdio, //
    },
    sync::{
        atomic::{
            AtomicU32,
            Ordering, //
        },
        mpsc,
        Arc,
        Mutex,
        PoisonError, //
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::Duration, //
};

use rustix::process::{
    kill_process,
    Pid,
    Signal, //
};

use crate::clock_us;

/// Maximum time that a process may take until all its listeners are open.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of the next settings file.
static NEXT_FILE: AtomicU32 = AtomicU32::new(0);

/// Handle that can only ask a process to shut down, for use while another owner
/// holds the [`Process`].
#[derive(Clone, Copy, Debug)]
pub struct Terminator(Pid);

impl Terminator {
    /// Asks the process to shut down; does nothing if it has ended.
    pub fn terminate(self) {
        let _ = kill_process(self.0, Signal::TERM);
    }
}

/// Handle of a process, which is killed when the handle is dropped.
pub struct Process {
    child: Child,
    addresses: HashMap<String, SocketAddr>,
    log: Arc<Mutex<Vec<String>>>,
    reader: Option<JoinHandle<()>>,
    settings: PathBuf,
    killed_at_us: Option<u64>,
}

impl Process {
    /// Starts a binary of the workspace and waits until it listens on the given
    /// number of addresses.
    ///
    /// # Panics
    ///
    /// Panics if the process does not listen in time.
    pub fn start(binary: &str, settings: &str, listeners: usize) -> Self {
        let path = settings_file(settings);
        let mut child = Command::new(binary_path(binary))
            .arg("--settings")
            .arg(&path)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("start {binary}: {error}; run `cargo build --bins`"));
        let stderr = child.stderr.take().expect("standard error is piped");
        let log = Arc::new(Mutex::new(Vec::new()));
        let (sender, listening) = mpsc::channel();
        let lines = log.clone();
        let reader = thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                if let Some(address) = listening_address(&line) {
                    // Fails only if the test has stopped waiting.
                    let _ = sender.send(address);
                }
                lines
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(line);
            }
        });
        let mut process = Self {
            child,
            addresses: HashMap::new(),
            log,
            reader: Some(reader),
            settings: path,
            killed_at_us: None,
        };
        for _ in 0..listeners {
            let Ok((name, address)) = listening.recv_timeout(START_TIMEOUT) else {
                panic!("{binary} does not listen: {:?}", process.log());
            };
            process.addresses.insert(name, address);
        }
        process
    }

    /// Returns the address of a listener, given by the name in its log line.
    ///
    /// # Panics
    ///
    /// Panics if there is no listener of that name.
    pub fn address(&self, listener: &str) -> SocketAddr {
        self.addresses[listener]
    }

    /// Returns the log lines that the process has written so far.
    pub fn log(&self) -> Vec<String> {
        self.log
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.killed_at_us.get_or_insert_with(clock_us);
    }

    /// Returns when the process was first killed, in microseconds since the
    /// epoch.
    pub fn killed_at_us(&self) -> Option<u64> {
        self.killed_at_us
    }

    /// Suspends the process until [`Self::resume`] is called.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to shut down.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Returns a handle that can ask the process to shut down. Do not use it after
    /// the process has been waited for: the system may reuse the process identifier.
    pub fn terminator(&self) -> Terminator {
        Terminator(Pid::from_child(&self.child))
    }

    /// Waits for the end of the process.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be waited for.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process is a child")
    }

    /// Returns the exit status of the process if it has ended.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be waited for.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the process is a child")
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the process is a child that was not waited for");
    }
}

impl Drop for Process {
    /// Kills the process. If the test is failing, prints the log of the process and its
    /// exit status, if it had ended by itself.
    ///
    /// # Panics
    ///
    /// Panics if the process has panicked: a panic in one of its tasks can remain
    /// without an effect that the test notices.
    fn drop(&mut self) {
        let was_killed = self.killed_at_us.is_some();
        let ended_before = self.child.try_wait();
        self.kill();
        if let Some(reader) = self.reader.take() {
            let _ = reader.join();
        }
        let _ = fs::remove_file(&self.settings);
        if thread::panicking() {
            // Tells a process that crashed from a connection that broke.
            if let (Ok(Some(status)), false) = (ended_before, was_killed) {
                eprintln!("{}: has ended: {status}", self.settings.display());
            }
            for line in self.log() {
                eprintln!("{}: {line}", self.settings.display());
            }
            return;
        }
        let log = self.log();
        let panicked = log.iter().any(|line| line.contains("panicked at"));
        assert!(!panicked, "a process panicked: {log:#?}");
    }
}

fn settings_file(settings: &str) -> PathBuf {
    let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
    let name = format!("dotterelsill-{}-{number}.yaml", std::process::id());
    let path = env::temp_dir().join(name);
    fs::write(&path, settings).expect("the temporary directory can be written");
    path
}

/// Returns the path of a binary of the workspace, which lies one directory above
/// the test binary.
fn binary_path(binary: &str) -> PathBuf {
    let test = env::current_exe().expect("the test binary has a path");
    let profile = test
        .parent()
        .and_then(|deps| deps.parent())
        .expect("test binaries lie in target/<profile>/deps");
    profile.join(binary)
}

/// Reads the name and address of a listener from its log line.
fn listening_address(line: &str) -> Option<(String, SocketAddr)> {
    if !line.contains("event=listening") {
        return None;
    }
    let value = |key: &str| {
        line.split(' ')
            .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
    };
    let name = value("name").unwrap_or_default().to_owned();
    Some((name, value("address")?.parse().ok()?))
}
