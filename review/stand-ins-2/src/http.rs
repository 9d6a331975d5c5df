//! Small HTTP/1.1 server and client on threads, enough for the stand-ins.

use std::{
    collections::HashSet,
    io::{self, BufRead, BufReader, Write},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a query parameter, with percent signs and plus signs decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(n, _)| *n == name).map(|(_, value)| decode(value))
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let hex: Vec<u8> = rest.by_ref().take(2).collect();
                let hex = String::from_utf8_lossy(&hex).into_owned();
                bytes.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
            }
            b'+' => bytes.push(b' '),
            _ => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

#[derive(Clone)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Self { status, headers: Vec::new(), body }
    }

    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    if find(headers, "transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = find(headers, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Hosts that are partitioned from the servers: their connections hang, and what they send is lost.
pub type Partition = Arc<Mutex<HashSet<IpAddr>>>;

/// Serves requests on `listener`, each connection on a thread of its own.
pub fn serve<Handler>(listener: TcpListener, partition: Partition, handler: Handler)
where
    Handler: Fn(Request) -> Response + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (handler, partition) = (Arc::clone(&handler), Arc::clone(&partition));
            thread::spawn(move || {
                let _ = serve_connection(stream, &partition, &*handler);
            });
        }
    });
}

fn serve_connection(
    stream: TcpStream,
    partition: &Partition,
    handler: &dyn Fn(Request) -> Response,
) -> io::Result<()> {
    let peer = stream.peer_addr()?.ip();
    let is_cut = || partition.lock().is_ok_and(|hosts| hosts.contains(&peer));
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some((first, headers)) = read_head(&mut reader)? {
        let mut words = first.split(' ');
        let target = words.nth(1).unwrap_or_default().to_owned();
        read_body(&mut reader, &headers)?;
        if is_cut() {
            while is_cut() {
                thread::sleep(Duration::from_millis(20));
            }
            return Ok(());
        }
        let response = handler(Request { target, headers });
        let mut bytes = format!(
            "HTTP/1.1 {} x\r\nContent-Length: {}\r\n",
            response.status,
            response.body.len()
        );
        for (name, value) in &response.headers {
            bytes.push_str(&format!("{name}: {value}\r\n"));
        }
        bytes.push_str("\r\n");
        let mut bytes = bytes.into_bytes();
        bytes.extend_from_slice(&response.body);
        writer.write_all(&bytes)?;
    }
    Ok(())
}

/// Sends one request on a new connection and reads the answer. `None` if there is no complete one.
pub fn call(address: SocketAddr, head: &str, body: &[u8], limit: Duration) -> Option<Response> {
    let end = Instant::now() + limit;
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream
        .set_read_timeout(Some(
            end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1)),
        ))
        .ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    writer.write_all(&bytes).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers).ok()?;
    Some(Response { status, headers, body })
}

/// Returns a port that is free on all of `hosts`.
pub fn free_port(hosts: &[IpAddr]) -> u16 {
    loop {
        let Ok(first) = TcpListener::bind((hosts[0], 0)) else { continue };
        let Ok(address) = first.local_addr() else { continue };
        let port = address.port();
        let is_free = |host: &IpAddr| {
            TcpListener::bind((*host, port)).is_ok()
                && std::net::UdpSocket::bind((*host, port)).is_ok()
        };
        drop(first);
        if hosts.iter().all(is_free) {
            return port;
        }
    }
}
