//! Builds the timeline of one request from the logs of several hosts.

use serde::Serialize;
use serde_json::Value;

/// Length of the period before each decision on the request for which the timeline also includes
/// the events of the server and the host of the decision.
const CONTEXT_MS: u64 = 5_000;
/// Names of the events that may affect every request of a host.
const HOST_EVENTS: [&str; 11] = [
    "started",
    "stopping",
    "configuration",
    "timer_late",
    "store_lost",
    "store_back",
    "duty_taken",
    "duty_lost",
    "servers_unreachable",
    "servers_reachable",
    "dropped",
];

/// One log event of a request's timeline.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TimelineEntry {
    /// Name of the log that the event was read from.
    pub source: String,
    /// Wall time in milliseconds since 1970, by the clock of the host that logged the event.
    pub at_unix_ms: u64,
    /// True for a decision on the request itself; false for an event that may have led to a
    /// decision.
    pub about_request: bool,
    /// Event with all of its fields, as it was logged.
    pub event: Value,
}

/// Fields of a `request` event that identify the request across retries.
const DIGESTS: [&str; 4] = ["digest", "path_digest", "content_digest", "any_path_digest"];

/// Log of one host, as input for timelines and for the counts of lost requests.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// Name of the log, which the timeline states as the source of each event.
    pub name: &'a str,
    /// Whole text of the log; lines that are not events are skipped.
    pub text: &'a str,
}

/// Returns true if the event names the digest of a request: a server crashed while running the
/// request, or the request was quarantined. Such an event concerns all attempts of the request,
/// however long ago the event was logged.
fn names_digest(event: &Value, digest: &Value) -> bool {
    let digests = event["digests"].as_array();
    match event["event"].as_str() {
        Some("quarantined") => event["digest"] == *digest,
        Some("server_ended") => digests.is_some_and(|digests| digests.contains(digest)),
        _ => false,
    }
}

/// Returns the decisions on a request and the events that may have led to these decisions, in order
/// of time. Lines that are not events are skipped.
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

/// Parses the events of a log, in the order of its lines. Lines that are not events are skipped.
pub(super) fn read<'a>(source: &'a Source<'a>) -> impl Iterator<Item = TimelineEntry> + 'a {
    source.text.lines().filter_map(move |line| {
        // A log collector may put a prefix of its own before the event.
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
