//! A target that answers on threads of its own, whatever holds up the gateway.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
};

/// Starts a target that answers all requests at once, with the id of their call, on threads of its own.
pub(crate) fn start_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || answer_all(stream));
        }
    });
    address
}

fn answer_all(mut stream: TcpStream) {
    let mut buffer = [0; 4_096];
    while let Ok(length @ 1..) = stream.read(&mut buffer) {
        let request = String::from_utf8_lossy(&buffer[..length]);
        let id = request.lines().find(|line| line.starts_with("x-azuretally-call:"));
        let id = id.map(|line| format!("{line}\r\n")).unwrap_or_default();
        let answer = format!(
            "HTTP/1.1 200 OK\r\n{id}x-azuretally-target-load: 0,0,1,100\r\ncontent-length: 0\r\n\r\n"
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            break;
        }
    }
}
