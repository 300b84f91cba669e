//! HTTP/1.1 over loopback: a server with a thread for each connection, and a client.

use std::{
    io::{
        BufRead,
        BufReader,
        Read,
        Write, //
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
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    thread,
    time::Duration, //
};

pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> &str {
        let query = self.path.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map_or("", |(_, v)| v)
    }
}

/// Status and body; no answer at all, and the connection stays open, for status 0.
pub type Answer = (u16, String);

/// A server that can be stopped like a process: its connections are closed with it.
pub struct Server {
    pub address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<thread::JoinHandle<()>>,
}

impl Server {
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(&Request) -> Answer + Send + Sync + 'static,
    ) -> Self {
        Self::start_on(bind(address), handler)
    }

    /// Serves on a socket that listens already.
    pub fn start_on(
        listener: TcpListener,
        handler: impl Fn(&Request) -> Answer + Send + Sync + 'static,
    ) -> Self {
        let address = listener.local_addr().expect("bound");
        let handler = Arc::new(handler);
        let is_stopped = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (stopped, connections) = (is_stopped.clone(), open.clone());
        let accepting = accept_until(listener, is_stopped.clone(), move |stream| {
            let mut connections = connections.lock().expect("lock");
            if stopped.load(Ordering::SeqCst) {
                return;
            }
            connections.push(stream.try_clone().expect("clone"));
            let (handler, stopped) = (handler.clone(), stopped.clone());
            thread::spawn(move || serve(stream, &*handler, &stopped));
        });
        Self {
            address,
            is_stopped,
            open,
            accepting: Some(accepting),
        }
    }

    pub fn stop(mut self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
        for stream in self.open.lock().expect("lock").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

pub fn bind(address: SocketAddr) -> TcpListener {
    for _ in 0..100 {
        match TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(_) => thread::sleep(Duration::from_millis(20)),
        }
    }
    panic!("{address} cannot be bound");
}

pub fn accept_until(
    listener: TcpListener,
    is_stopped: Arc<AtomicBool>,
    mut on_stream: impl FnMut(TcpStream) + Send + 'static,
) -> thread::JoinHandle<()> {
    listener.set_nonblocking(true).expect("nonblocking");
    thread::spawn(move || {
        while !is_stopped.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    on_stream(stream);
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    })
}

fn serve(stream: TcpStream, handler: &dyn Fn(&Request) -> Answer, is_stopped: &AtomicBool) {
    let mut reader = BufReader::new(stream.try_clone().expect("clone"));
    let mut writer = stream;
    while let Some(request) = read_request(&mut reader) {
        let (status, body) = handler(&request);
        if status == 0 {
            // Nothing further is answered on this connection.
            while read_request(&mut reader).is_some() {}
            return;
        }
        if is_stopped.load(Ordering::SeqCst) {
            return;
        }
        let answer = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> Option<String> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.map_or(0, |(_, value)| value.parse().unwrap_or(0));
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let path = words.nth(1)?.to_owned();
    let body = read_body(reader, &headers)?;
    Some(Request {
        path,
        headers,
        body,
    })
}

/// Makes a request over a new connection; `None` without an answer within the limit.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut request = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        request.push_str("Content-Type: application/json\r\n");
    }
    request.push_str(&format!(
        "Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ));
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, read_body(&mut reader, &headers)?))
}
