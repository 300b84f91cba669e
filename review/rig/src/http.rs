//! HTTP/1.1 over loopback: a server with a thread for each connection, and a client.

use std::{
    io::{
        BufRead,
        BufReader,
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc, //
    },
    thread,
    time::Duration, //
};

use crate::json::Json;

/// A request as read from a connection.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    /// Value of `Dotterelsill-Expected-Instance`; empty if there is none.
    pub expected: String,
    pub body: Json,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        let field = self.query.iter().find(|(field, _)| field == name);
        field.map_or("", |(_, value)| value)
    }
}

/// What a server does with a request.
pub enum Reply {
    Answer(u16, Json),
    /// The connection stays open without an answer until the client closes it.
    Silence,
    /// The connection is closed without an answer.
    Close,
}

/// A listener that can be closed, together with its connections.
pub struct Server {
    pub address: SocketAddr,
    is_open: Arc<AtomicBool>,
}

impl Server {
    /// Listens on an address and serves each connection on a thread of its own.
    pub fn start(
        address: SocketAddr,
        answer: impl Fn(&Request) -> Reply + Clone + Send + 'static,
    ) -> Self {
        let listener = TcpListener::bind(address).expect("the address is free");
        let address = listener.local_addr().expect("the listener is bound");
        listener
            .set_nonblocking(true)
            .expect("the listener can be set to not block");
        let is_open = Arc::new(AtomicBool::new(true));
        let open = is_open.clone();
        thread::spawn(move || {
            while open.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (answer, open) = (answer.clone(), open.clone());
                        thread::spawn(move || serve(stream, &answer, &open));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        Self { address, is_open }
    }

    /// Closes the listener; its connections get no further answer.
    pub fn close(&self) {
        self.is_open.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(20));
    }
}

fn serve(stream: TcpStream, answer: &impl Fn(&Request) -> Reply, is_open: &AtomicBool) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read(&mut reader) {
        if !is_open.load(Ordering::SeqCst) {
            return;
        }
        match answer(&request) {
            Reply::Answer(status, body) => {
                if !is_open.load(Ordering::SeqCst) {
                    return;
                }
                let body = body.to_string();
                let head = format!(
                    "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n\
                     Content-Length: {}\r\n\r\n",
                    body.len()
                );
                if writer.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Silence => {
                let _ = std::io::copy(&mut reader, &mut std::io::sink());
                return;
            }
            Reply::Close => return,
        }
    }
}

fn read(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (mut length, mut expected) = (0, String::new());
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header).ok()? == 0 {
            return None;
        }
        let header = header.trim();
        if header.is_empty() {
            break;
        }
        let (name, value) = header.split_once(':')?;
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().ok()?,
            "dotterelsill-expected-instance" => value.trim().clone_into(&mut expected),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        method,
        path: path.to_owned(),
        query: pairs
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect(),
        expected,
        body: Json::parse(&String::from_utf8_lossy(&body)),
    })
}

/// Sends a client's request; returns status and body, status 0 if no answer came.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    key: &str,
    body: &str,
) -> (u16, String) {
    let exchange = || -> std::io::Result<String> {
        let limit = Duration::from_secs(3);
        let mut stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_read_timeout(Some(limit))?;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\
             Content-Type: application/json\r\nDotterelsill-Credential: {key}\r\n\
             Dotterelsill-Deadline-Ms: 3000\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes())?;
        let mut response = String::new();
        stream.read_to_string(&mut response)?;
        Ok(response)
    };
    let Ok(response) = exchange() else {
        return (0, String::new());
    };
    let status = response.split(' ').nth(1);
    let status = status.and_then(|word| word.parse().ok()).unwrap_or(0);
    let body = response.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    (status, body.to_owned())
}
