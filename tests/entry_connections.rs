//! Tests what a host knows of a request whose connection closes.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    sync::mpsc::{self, Receiver, Sender},
    thread,
    time::Duration,
};

use ashroad::entry::pool::{Pool, SendError};
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;

/// When the fake server closes a connection on which it has answered one request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Closes {
    WhileIdle,
    AfterReading,
    AfterPartOfResponse,
}

/// Starts a server that answers one request and closes its connection as told, when it is told so.
/// Returns its address, the sender of that command and the receiver of the number of bytes that it
/// read after the first request.
fn start_server(closes: Closes) -> (SocketAddr, Sender<()>, Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let address = listener.local_addr().expect("address");
    let (close, closing) = mpsc::channel::<()>();
    let (read, bytes_read) = mpsc::channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("connection");
        let mut buffer = [0; 4_096];
        assert!(stream.read(&mut buffer).expect("request") > 0);
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(response).expect("response");
        closing.recv().expect("command");
        let mut count = 0;
        if closes != Closes::WhileIdle {
            count = stream.read(&mut buffer).expect("request");
        }
        if closes == Closes::AfterPartOfResponse {
            stream.write_all(&response[..20]).expect("response");
        }
        drop(stream);
        read.send(count).expect("test");
    });
    (address, close, bytes_read)
}

fn order() -> Request<ashroad::transport::ResponseBody> {
    let body = Full::new(Bytes::from_static(b"order")).map_err(|never| match never {});
    let request = Request::post("/orders").header("host", "server");
    request.body(body.boxed()).expect("request")
}

/// Guards against answering 502 for an order that its server never got, and against sending an
/// order again that the server may have run. The runtime has one thread, so that the host notices
/// the closed connection only after it has begun to send.
#[tokio::test]
async fn only_a_request_that_was_not_written_is_returned() {
    for closes in [
        Closes::WhileIdle,
        Closes::AfterReading,
        Closes::AfterPartOfResponse,
    ] {
        let (address, close, bytes_read) = start_server(closes);
        let pool = Pool::new(address);
        let mut connection = pool.connect(400).await.expect("connection");
        let response = connection.send(order()).await.expect("response");
        let (head, body) = response.into_parts();
        body.collect().await.expect("body");
        pool.give_back(connection, &head.headers);
        // The connection task polls the connection until it is ready again.
        tokio::time::sleep(Duration::from_millis(20)).await;
        let mut connection = pool.take().expect("idle connection");
        close.send(()).expect("server");
        if closes == Closes::WhileIdle {
            assert_eq!(bytes_read.recv(), Ok(0));
            thread::sleep(Duration::from_millis(20));
            // The runtime learns of the closed connection, and polls this task before the task of
            // the connection.
            tokio::task::yield_now().await;
        }
        let error = connection.send(order()).await.expect_err("closed");
        match error {
            SendError::NotWritten { request, .. } => {
                assert_eq!(closes, Closes::WhileIdle);
                let body = request.into_body().collect().await.expect("body");
                assert_eq!(body.to_bytes(), "order", "the request is whole");
            }
            SendError::Lost { source } => {
                assert_ne!(closes, Closes::WhileIdle, "{source}");
                assert!(bytes_read.recv().expect("server") > 0);
            }
        }
    }
}
