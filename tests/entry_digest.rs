//! Tests which parts of a request its digests cover.

use ashroad::{entry::digest::RequestDigests, transport::CallerAddress};
use http::Request;

/// Parts of a request that the digests cover, with a description of the request for messages.
struct TestRequest {
    what: &'static str,
    method: &'static str,
    path: &'static str,
    host: &'static str,
    caller: [u8; 4],
    body: &'static str,
}

const FIRST: TestRequest = TestRequest {
    what: "the first attempt",
    method: "PUT",
    path: "/a/b?page=2",
    host: "site.example",
    caller: [100, 64, 0, 7],
    body: "a body",
};

fn digests(made: &TestRequest, id: &str) -> RequestDigests {
    let request = Request::builder()
        .method(made.method)
        .uri(made.path)
        .header("host", made.host)
        .header("request-id", id)
        .header("deadline-ms", id.len())
        .extension(CallerAddress(made.caller.into()));
    let (head, ()) = request.body(()).expect("request").into_parts();
    RequestDigests::of(&head, made.body.as_bytes())
}

#[test]
fn digests_ignore_ids_and_deadlines_and_cover_all_else() {
    assert_eq!(digests(&FIRST, "id-1"), digests(&FIRST, "another id"));
    let others = [
        TestRequest {
            what: "another method",
            method: "POST",
            ..FIRST
        },
        TestRequest {
            what: "another path",
            path: "/a/c?page=2",
            ..FIRST
        },
        TestRequest {
            what: "another query",
            path: "/a/b?page=3",
            ..FIRST
        },
        TestRequest {
            what: "another host",
            host: "other.example",
            ..FIRST
        },
        TestRequest {
            what: "another caller",
            caller: [100, 64, 0, 8],
            ..FIRST
        },
        TestRequest {
            what: "another body",
            body: "a_body",
            ..FIRST
        },
        TestRequest {
            what: "bytes moved from the body to the query",
            path: "/a/b?page=2a",
            body: " body",
            ..FIRST
        },
    ];
    for other in others {
        let (first, second) = (digests(&FIRST, "id"), digests(&other, "id"));
        assert_ne!(first.whole, second.whole, "{}", other.what);
        let same_path = other.what == "another query";
        assert_eq!(first.path == second.path, same_path, "{}", other.what);
        let same_content = other.what == "another caller";
        let is_same = first.content == second.content;
        assert_eq!(is_same, same_content, "{}", other.what);
        let same_resource = ["another query", "another caller", "another body"];
        let same_resource = same_resource.contains(&other.what) || other.body != FIRST.body;
        let is_same = first.any_path == second.any_path;
        assert_eq!(is_same, same_resource, "{}", other.what);
        assert!(first.content.is_of_any_caller() && first.any_path.is_of_any_caller());
        assert!(!first.whole.is_of_any_caller() && !first.path.is_of_any_caller());
    }
}

#[test]
fn a_request_without_a_query_has_one_digest() {
    let plain = TestRequest {
        path: "/a/b",
        ..FIRST
    };
    assert_eq!(digests(&plain, "id").iter().count(), 1);
    assert_eq!(digests(&FIRST, "id").iter().count(), 2);
}

#[test]
fn digests_cover_the_beginning_of_long_bodies() {
    let body = |length: usize, last: &str| "x".repeat(length) + last;
    let digests = |body: &str| {
        let request = Request::builder().uri("/a").body(()).expect("request");
        RequestDigests::of(&request.into_parts().0, body.as_bytes())
    };
    assert_ne!(digests(&body(65_000, "a")), digests(&body(65_000, "b")));
    assert_eq!(digests(&body(70_000, "a")), digests(&body(90_000, "b")));
}
