//! Tells the story of one request from the logs of several hosts.

use serde::Serialize;
use serde_json::Value;

/// Time before a request's decision in which events of its server and of its host are of interest.
const CONTEXT_MS: u64 = 5_000;
/// Events that say something about every request of a host.
const HOST_EVENTS: [&str; 8] = [
    "started",
    "stopping",
    "configuration",
    "store_lost",
    "store_back",
    "duty_taken",
    "duty_lost",
    "dropped",
];

/// A line of the story.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TimelineEntry {
    /// Log that the line stands in.
    pub source: String,
    /// Wall time.
    pub at_unix_ms: u64,
    /// True for decisions on the request itself, false for what happened around it.
    pub about_request: bool,
    /// The event.
    pub event: Value,
}

/// Fields of a request's lines by which it is known.
const DIGESTS: [&str; 4] = ["digest", "path_digest", "content_digest", "any_path_digest"];

/// A log.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// Name.
    pub name: &'a str,
    /// Lines.
    pub text: &'a str,
}

/// True for an event about all tries of a request, however long ago: a server ended under it, or it
/// was put in quarantine.
fn names_digest(event: &Value, digest: &Value) -> bool {
    let digests = event["digests"].as_array();
    match event["event"].as_str() {
        Some("quarantined") => event["digest"] == *digest,
        Some("server_ended") => digests.is_some_and(|digests| digests.contains(digest)),
        _ => false,
    }
}

/// What the logs say of a request and of what led to its decisions, in order of time. Lines that
/// are no events are passed over.
pub fn explain(request_id: &str, sources: &[Source<'_>]) -> Vec<TimelineEntry> {
    let lines: Vec<TimelineEntry> = sources.iter().flat_map(read).collect();
    let own: Vec<&TimelineEntry> = lines
        .iter()
        .filter(|line| line.event["request_id"] == request_id)
        .collect();
    let mut timeline: Vec<TimelineEntry> = lines
        .iter()
        .filter_map(|line| {
            let about_request = line.event["request_id"] == request_id;
            let around = own.iter().any(|decision| is_context(line, decision));
            (about_request || around).then(|| TimelineEntry {
                about_request,
                ..line.clone()
            })
        })
        .collect();
    timeline.sort_by_key(|line| (line.at_unix_ms, line.about_request));
    timeline
}

/// Events of a log, in its order.
pub(super) fn read<'a>(source: &'a Source<'a>) -> impl Iterator<Item = TimelineEntry> + 'a {
    source.text.lines().filter_map(move |line| {
        // A log collector may put its own words before the event.
        let start = line.find('{')?;
        let event: Value = serde_json::from_str(&line[start..]).ok()?;
        Some(TimelineEntry {
            source: source.name.to_owned(),
            at_unix_ms: event["at_unix_ms"].as_u64()?,
            about_request: false,
            event,
        })
    })
}

fn is_context(line: &TimelineEntry, decision: &TimelineEntry) -> bool {
    let digests = DIGESTS.map(|field| &decision.event[field]);
    if digests
        .iter()
        .any(|digest| names_digest(&line.event, digest))
    {
        return true;
    }
    let before = line.at_unix_ms <= decision.at_unix_ms
        && line.at_unix_ms + CONTEXT_MS >= decision.at_unix_ms;
    if !before || !line.event["request_id"].is_null() {
        return false;
    }
    let kind = line.event["event"].as_str().unwrap_or_default();
    let of_host = line.source == decision.source && HOST_EVENTS.contains(&kind);
    let server = &decision.event["server"];
    let names_server = ["server", "from", "to"]
        .iter()
        .any(|field| !server.is_null() && line.event[*field] == *server);
    of_host || names_server
}
