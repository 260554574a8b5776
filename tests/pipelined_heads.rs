//! Parsing of the heads of pipelined requests that arrive in pieces.

use ashroad::transport::pipeline::head::{Parsed, may_be_complete, parse};

/// Guards against a complete head that is never parsed, and against parsing an incomplete head
/// for each piece of it.
#[test]
fn a_head_in_pieces_is_parsed_at_its_beginning_and_end() {
    let ends = ["\r\n\r\n", "\n\n", "\n\r\n", "\r\n\n"];
    for end in ends {
        let head = format!("GET /a HTTP/1.1\r\nhost: site\nx: y{end}");
        for piece_bytes in 1..=head.len() {
            let (mut partial_bytes, mut parses, mut is_complete) = (0, 0, false);
            for length in (piece_bytes..head.len())
                .step_by(piece_bytes)
                .chain([head.len()])
            {
                let bytes = &head.as_bytes()[..length];
                if may_be_complete(bytes, partial_bytes) {
                    parses += 1;
                    is_complete = matches!(parse(bytes, false), Parsed::Complete(_));
                    partial_bytes = length;
                }
                assert!(is_complete || !may_be_complete(bytes, partial_bytes));
            }
            assert!(is_complete, "{end:?} in pieces of {piece_bytes} bytes");
            assert!(
                parses <= 2,
                "{parses} parses in pieces of {piece_bytes} bytes"
            );
        }
    }
}

/// Guards against parsing again for each of many empty lines before a head.
#[test]
fn several_empty_lines_before_a_head_are_unclear() {
    assert!(matches!(parse(b"\r\n\r\n", false), Parsed::Unclear));
    assert!(matches!(parse(b"\r\nGET", false), Parsed::Partial));
}
