//! Tests how the responses of servers to commands are decoded.

use std::net::SocketAddr;

use ashroad::{
    entry::keys::KeyRange,
    platform::{
        Link,
        orders::{self, Grant, GrantOutcome, Release, ReleaseOutcome},
    },
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const KEYS: KeyRange = KeyRange { first: 0, last: 9 };
const TIMEOUT_MS: u64 = 1_000;

/// Starts a server that answers every request with `response` and closes the connection.
async fn start_server(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4_096];
            let length = stream.read(&mut request).await.expect("a request");
            assert!(length > 0);
            stream
                .write_all(response.as_bytes())
                .await
                .expect("the response is sent");
        }
    });
    address
}

/// Guards against keys that wait for the lease of a server whose process has ended, although a
/// server of another service has taken its address. Such a server answers commands with status 400
/// and states that it did not run the request; for 12 s the leader repeated the commands.
#[tokio::test]
async fn a_server_of_another_service_at_the_address_is_recognised() {
    struct Case {
        response: &'static str,
        /// Expected outcomes of a release and of a grant; `None` for an error.
        released: Option<ReleaseOutcome>,
        granted: Option<GrantOutcome>,
    }
    let cases = [
        Case {
            response: "HTTP/1.1 200 OK\r\nhandover: t1\r\ncontent-length: 0\r\n\r\n",
            released: Some(ReleaseOutcome::Ended {
                handover: Some("t1".to_owned()),
            }),
            granted: Some(GrantOutcome::Held),
        },
        Case {
            response: "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n",
            released: Some(ReleaseOutcome::OtherServer),
            granted: Some(GrantOutcome::OtherServer),
        },
        Case {
            response: "HTTP/1.1 400 Bad Request\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n",
            released: Some(ReleaseOutcome::OtherServer),
            granted: Some(GrantOutcome::OtherServer),
        },
        Case {
            response: "HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n",
            released: None,
            granted: None,
        },
        Case {
            response: "HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n",
            released: None,
            granted: None,
        },
    ];
    for case in cases {
        let link = Link::new(start_server(case.response).await);
        let release = Release {
            server: "i-1",
            range: KEYS,
            fence: 2,
        };
        let released = orders::release(&link, release, TIMEOUT_MS).await;
        assert_eq!(released.ok(), case.released, "{}", case.response);
        let grant = Grant {
            server: "i-1",
            range: KEYS,
            fence: 1,
            lease_ms: 4_000,
            handover: None,
        };
        let connection = link.open(TIMEOUT_MS).await.expect("a connection");
        let granted = orders::grant(&link, connection, grant, TIMEOUT_MS).await;
        assert_eq!(granted.ok(), case.granted, "{}", case.response);
    }
}
