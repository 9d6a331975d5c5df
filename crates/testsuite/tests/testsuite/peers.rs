//! Connections between entries: their wire format, and strangers on the port for peers.

use azuretally_testsuite::{Call, Fleet};
use std::{io, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Time within which an entry answers or closes a connection.
const BOUND: Duration = Duration::from_secs(4);
/// First bytes of the sides that send and receive, as the TCP mapping of the scalability protocols has
/// them. Entries of earlier builds, which used the library nng, send the same.
const PUSH: &[u8] = b"\0SP\0\0\x50\0\0";
const PULL: &[u8] = b"\0SP\0\0\x51\0\0";

/// Sends `bytes` to `address` and returns what comes back until the connection ends.
async fn answer_to(address: SocketAddr, bytes: &[u8]) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(address).await?;
    // The entry may close the connection before it has read all.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    match timeout(BOUND, stream.read_to_end(&mut answer)).await.expect("the connection ends") {
        Ok(_) => Ok(answer),
        Err(e) if e.kind() == io::ErrorKind::ConnectionReset => Ok(answer),
        Err(e) => Err(e),
    }
}

#[tokio::test]
async fn entry_greets_and_frames_as_earlier_builds_do() {
    let mut fleet = Fleet::builder().entries(1).start().await;
    let mut stream = TcpStream::connect(fleet.entries[0].peers).await.unwrap();
    stream.write_all(PUSH).await.unwrap();
    let mut greeting = [0; 8];
    timeout(BOUND, stream.read_exact(&mut greeting)).await.expect("a greeting").unwrap();
    assert_eq!(greeting, PULL);

    // A seed that is no entry gets the first message of one that starts.
    let seed = TcpListener::bind((fleet.entries[0].peers.ip(), 0)).await.unwrap();
    fleet.entries[0].kill();
    fleet.entries[0].start(&[seed.local_addr().unwrap()]);
    let (mut stream, _) = timeout(BOUND, seed.accept()).await.expect("a connection").unwrap();
    timeout(BOUND, stream.read_exact(&mut greeting)).await.expect("a greeting").unwrap();
    assert_eq!(greeting, PUSH);
    stream.write_all(PULL).await.unwrap();
    let length = timeout(BOUND, stream.read_u64()).await.expect("a message").unwrap();
    assert!((16..4_096).contains(&length), "{length} bytes");
    let mut message = vec![0; usize::try_from(length).unwrap()];
    timeout(BOUND, stream.read_exact(&mut message)).await.expect("the whole message").unwrap();
}

/// Whatever a stranger sends, its connection ends, and the entries go on.
#[tokio::test]
async fn strangers_on_the_port_for_peers_do_no_harm() {
    let fleet = Fleet::builder().entries(2).start().await;
    let at = fleet.entries[0].peers;
    let huge = [PUSH, &u64::MAX.to_be_bytes(), b"x"].concat();
    let nested = [PUSH, &1_000_u64.to_be_bytes(), &[b'['; 1_000], &0_u64.to_be_bytes()].concat();
    let cases: [(&str, &[u8], &[u8]); 4] = [
        ("another protocol", b"GET / HTTP/1.1\r\nhost: x\r\n\r\n", PULL),
        ("a receiver", PULL, PULL),
        ("a length beyond all limits", &huge, PULL),
        ("half a greeting", &PUSH[..4], PULL),
    ];
    for (name, bytes, expected) in cases {
        assert_eq!(answer_to(at, bytes).await.unwrap(), expected, "{name}");
    }
    let mut stream = TcpStream::connect(at).await.unwrap();
    stream.write_all(&nested).await.unwrap();
    for number in 0..20 {
        let call = Call::get("/till/balance", format!("b{number}"));
        let reply = fleet.caller.call(fleet.entries[number % 2].calls, &call).await.unwrap();
        assert!(reply.is_answered(), "{reply:?}");
    }
}
