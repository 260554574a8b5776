//! Tests the end of the stream of a tunnel.

use std::io;

use ashroad::transport::{EndOfTunnel, TunnelStream};
use bytes::Bytes;
use http::Request;
use http_body_util::Empty;
use hyper::{client::conn::http1::handshake, upgrade};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Response of a carrier, followed by the bytes of the server.
const OPENED: &[u8] = b"HTTP/1.1 200 OK\r\n\r\npart";

/// End of a tunnel's stream, as the host that opened the tunnel reads it.
#[derive(Clone, Copy, Debug)]
struct Case {
    end: EndOfTunnel,
    is_reset: bool,
    expected: Result<(), io::ErrorKind>,
}

impl Case {
    async fn play(self) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let address = listener.local_addr().expect("address");
        let carrier = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("connection");
            let mut request = [0; 1024];
            let length = stream.read(&mut request).await.expect("request");
            assert!(length > 0, "{self:?}: no request");
            stream.write_all(OPENED).await.expect("response");
            if self.is_reset {
                stream.set_zero_linger().expect("option");
            }
        });
        let stream = TcpStream::connect(address).await.expect("connection");
        let mut tunnel = TunnelStream::new(open(stream).await, self.end);
        carrier.await.expect("carrier");
        let mut bytes = Vec::new();
        let read = tunnel.read_to_end(&mut bytes).await;
        let read = read.map(|_| ()).map_err(|error| error.kind());
        assert_eq!(read, self.expected, "{self:?}");
        assert_eq!(bytes, b"part", "{self:?}");
    }
}

async fn open(stream: TcpStream) -> upgrade::Upgraded {
    let begun = handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = begun.expect("handshake");
    tokio::spawn(connection.with_upgrades());
    let request = Request::connect("127.0.0.1:1").body(Empty::<Bytes>::new());
    let response = sender.send_request(request.expect("request")).await;
    let upgraded = upgrade::on(response.expect("response")).await;
    upgraded.expect("upgrade")
}

/// Guards against an end of a tunnel that is taken for the server's, although the host that carries
/// the tunnel does not state that: it may be of an earlier version.
#[tokio::test]
async fn an_end_that_is_not_certainly_the_servers_is_an_error() {
    let cases = [
        Case {
            end: EndOfTunnel::ServerEnded,
            is_reset: false,
            expected: Ok(()),
        },
        Case {
            end: EndOfTunnel::Unknown,
            is_reset: false,
            expected: Err(io::ErrorKind::UnexpectedEof),
        },
        Case {
            end: EndOfTunnel::ServerEnded,
            is_reset: true,
            expected: Err(io::ErrorKind::ConnectionReset),
        },
    ];
    for case in cases {
        case.play().await;
    }
}
