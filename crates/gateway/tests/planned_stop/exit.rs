//! Answers that are still in buffers when the process exits or the answer is complete.

use super::{
    call::Call,
    caller::{Caller, End},
    deployment::{Deployment, GRACE},
    verdict::{assert_whole, assert_whole_and_orderly},
};
use std::time::Duration;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWriteExt},
    net::TcpSocket,
    time::{Instant, sleep, sleep_until, timeout_at},
};

/// Time that a caller waits for further bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(8);
/// Size of an answer that exceeds the buffers of the sockets, in bytes.
const LONG_ANSWER_BYTES: usize = 6_000_000;
/// Pause of a slow reader after each read.
const SLOW_READ_PAUSE: Duration = Duration::from_millis(10);
/// Size of the receive buffer of a slow reader, in bytes.
const SLOW_READER_BUFFER_BYTES: u32 = 65_536;

/// Reads 20 kB after each `pause` until the connection ends.
async fn read_slowly(caller: &mut Caller, pause: Duration) -> End {
    read_stream_slowly(&mut caller.stream, &mut caller.received, pause).await
}

async fn read_stream_slowly<Stream>(
    stream: &mut Stream,
    received: &mut Vec<u8>,
    pause: Duration,
) -> End
where
    Stream: AsyncRead + Unpin,
{
    let mut buffer = vec![0; 20_000];
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) => return End::Orderly,
            Ok(read) => received.extend_from_slice(&buffer[..read]),
            Err(e) => return End::Failed(e),
        }
        sleep(pause).await;
    }
}

async fn connect_slow_reader(deployment: &Deployment) -> Caller {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(SLOW_READER_BUFFER_BYTES).expect("a socket");
    let stream = socket.connect(deployment.gateways[0].calls).await.expect("connected");
    Caller { stream, received: Vec::new() }
}

/// An answer that exceeds the socket buffers reaches a slow reader completely.
#[tokio::test]
async fn planned_stop_finishes_a_long_answer_to_a_slow_reader() {
    let mut deployment = Deployment::start(1, 2).await;
    let call = Call::new("long", "roster").service_ms(200).bytes(LONG_ANSWER_BYTES);
    let mut caller = connect_slow_reader(&deployment).await;
    caller.send(&call).await.expect("sent");
    sleep(Duration::from_millis(50)).await;
    deployment.gateways[0].terminate();
    let end = read_slowly(&mut caller, SLOW_READ_PAUSE).await;
    deployment.gateways[0].wait_for_exit(GRACE).await;
    assert_whole_and_orderly(&deployment, &caller, &call, &end);
    deployment.shut_down().await;
}

/// The same with calls behind it that have been sent meanwhile.
#[tokio::test]
async fn planned_stop_finishes_a_long_answer_with_calls_behind_it() {
    let mut deployment = Deployment::start(1, 2).await;
    let call = Call::new("long", "roster").service_ms(200).bytes(LONG_ANSWER_BYTES);
    let mut caller = connect_slow_reader(&deployment).await;
    caller.send(&call).await.expect("sent");
    sleep(Duration::from_millis(50)).await;
    deployment.gateways[0].terminate();
    let error = caller.keep_sending("roster", Duration::from_millis(300)).await;
    assert!(error.is_none(), "a write failed before the end of the answer: {error:?}");
    let end = read_slowly(&mut caller, SLOW_READ_PAUSE).await;
    deployment.gateways[0].wait_for_exit(GRACE).await;
    assert_whole_and_orderly(&deployment, &caller, &call, &end);
    deployment.shut_down().await;
}

/// An answer that was begun before the signal, so that it does not announce the end of its
/// connection, was cut by a reset if calls had been sent behind it.
#[tokio::test]
async fn planned_stop_finishes_a_long_answer_that_was_begun_before_it() {
    let mut deployment = Deployment::start(1, 2).await;
    let call = Call::new("long", "roster").bytes(LONG_ANSWER_BYTES);
    let mut caller = connect_slow_reader(&deployment).await;
    caller.send(&call).await.expect("sent");
    sleep(Duration::from_millis(200)).await;
    deployment.gateways[0].terminate();
    let signal = Instant::now();
    let error = caller.keep_sending("roster", Duration::from_millis(300)).await;
    assert!(error.is_none(), "a write failed before the end of the answer: {error:?}");
    let idle_connections_closed = signal + Duration::from_secs(3);
    let slow = read_slowly(&mut caller, SLOW_READ_PAUSE * 5);
    let early_end = timeout_at(idle_connections_closed, slow).await;
    assert!(early_end.is_err(), "the connection ended early: {early_end:?}");
    let end = read_slowly(&mut caller, SLOW_READ_PAUSE / 2).await;
    deployment.gateways[0].wait_for_exit(GRACE).await;
    assert_whole(&deployment, &caller, &call, &end);
    deployment.shut_down().await;
}

/// An answer given before the signal was cut by a reset if its caller was still reading it when the
/// idle connection was closed, and a further call crossed that.
#[tokio::test]
async fn planned_stop_delivers_a_long_answer_before_the_close_of_its_idle_connection() {
    let mut deployment = Deployment::start(1, 2).await;
    // Fits into the send buffer.
    let call = Call::new("first", "roster").bytes(2_000_000);
    let mut caller = connect_slow_reader(&deployment).await;
    caller.send(&call).await.expect("sent");
    sleep(Duration::from_millis(200)).await;
    deployment.gateways[0].terminate();
    let signal = Instant::now();
    let (mut reader, mut writer) = caller.stream.split();
    let cross = async {
        sleep_until(signal + Duration::from_millis(3_000)).await;
        writer.write_all(Call::new("crossing", "roster").head().as_bytes()).await
    };
    let pause = SLOW_READ_PAUSE * 4;
    let read = read_stream_slowly(&mut reader, &mut caller.received, pause);
    let (sent, end) = tokio::join!(cross, read);
    let read_time = signal.elapsed();
    deployment.gateways[0].wait_for_exit(GRACE).await;
    assert!(sent.is_ok(), "{sent:?}");
    assert_whole(&deployment, &caller, &call, &end);
    assert!(read_time > Duration::from_secs(3), "the answer took only {read_time:?}");
    deployment.shut_down().await;
}

/// An answer that is still in the socket when the process exits reaches its caller, also if calls
/// had been sent behind it.
#[tokio::test]
async fn planned_stop_leaves_answers_to_the_socket_when_the_process_exits() {
    let mut deployment = Deployment::start(1, 2).await;
    deployment.gateways[0].terminate();
    let signal = Instant::now();
    sleep(Duration::from_millis(2_400)).await;
    let address = deployment.gateways[0].calls;
    let call = Call::new("late", "roster").service_ms(2_300).bytes(60_000);
    let mut caller = Caller::connect_with_small_buffer(address).await.expect("connected");
    caller.send(&call).await.expect("sent");
    let error = caller.keep_sending("roster", Duration::from_millis(200)).await;
    assert!(error.is_none(), "a write failed before the answer: {error:?}");
    sleep_until(signal + GRACE).await;
    let end = caller.read_to_end(READ_TIMEOUT).await;
    deployment.gateways[0].wait_for_exit(GRACE).await;
    assert_whole(&deployment, &caller, &call, &end);
    deployment.shut_down().await;
}
