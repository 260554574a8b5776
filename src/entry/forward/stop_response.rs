//! Response to a request that is unanswered shortly before the process exits in a planned stop.

use std::{
    future::Future,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::{Response, StatusCode};
use tokio::time;

use super::{
    attempt_outcome::GivenUp,
    head::{plain_text, refusal},
};
use crate::{
    clock,
    entry::{Entry, decide::retry_after::Refused, events::Event},
    transport::ResponseBody,
};

/// Time before the exit of the process at which unanswered requests get a response. It leaves time
/// to write the response, and is shorter than the time that requests admitted during the stop have
/// between their own time-out and the exit (`STOP_MARGIN_MS` less `DEADLINE_SLACK_MS`).
const RESPONSE_MARGIN_MS: u64 = 50;

/// Record of whether any part of a caller's request may have reached a server. It is shared by the
/// attempts and the response at the end of the grace period, because the task of an unrepeatable
/// request continues after that response.
#[derive(Debug, Default)]
pub(super) struct SendState(Mutex<Phase>);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// Nothing was sent to a server.
    #[default]
    Unsent,
    /// The request may have reached a server.
    Sent,
    /// Nothing was sent, and nothing may be sent: the caller was told that it may repeat the
    /// request.
    Closed,
}

impl SendState {
    /// Records that the request is about to be sent. Returns the previous phase, which
    /// [`Self::not_written`] restores; `None` if the request must not be sent.
    pub(super) fn begin_send(&self) -> Option<SentBefore> {
        let mut phase = self.phase();
        if *phase == Phase::Closed {
            return None;
        }
        let before = std::mem::replace(&mut *phase, Phase::Sent);
        Some(SentBefore(before))
    }

    /// Records that no part of the request was written since `begin_send` returned `before`.
    pub(super) fn not_written(&self, before: SentBefore) {
        *self.phase() = before.0;
    }

    /// Returns true if nothing was sent to a server, and prevents all further attempts.
    fn close_unsent(&self) -> bool {
        let mut phase = self.phase();
        let is_unsent = *phase == Phase::Unsent;
        if is_unsent {
            *phase = Phase::Closed;
        }
        is_unsent
    }

    fn phase(&self) -> MutexGuard<'_, Phase> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Phase of a request before a send.
#[derive(Debug)]
pub(super) struct SentBefore(Phase);

/// Waits for the response to a request. Shortly before the process exits, the caller gets a refusal
/// if nothing was sent to a server, and 504 otherwise.
pub(super) async fn respond_before_exit(
    entry: &Entry,
    send_state: &SendState,
    request_id: String,
    response: impl Future<Output = Response<ResponseBody>>,
) -> Response<ResponseBody> {
    tokio::select! {
        biased;
        response = response => return response,
        () = final_response_time(entry) => {}
    }
    let is_sent = !send_state.close_unsent();
    Event::GracePeriodEnded {
        request_id,
        is_sent,
    }
    .log();
    if is_sent {
        entry.metrics.given_up(GivenUp::Stopped.name(), false);
        plain_text(StatusCode::GATEWAY_TIMEOUT, "this host stops")
    } else {
        let policy = &entry.settings.policy;
        refusal(&Refused::soon("this host stops", policy))
    }
}

/// Waits until [`RESPONSE_MARGIN_MS`] before the exit of the process in a planned stop.
async fn final_response_time(entry: &Entry) {
    let mut stop_deadline = entry.stop_deadline.subscribe();
    let begun = stop_deadline.wait_for(|deadline_ms| *deadline_ms != u64::MAX);
    // The sender is a field of the entry, so that the channel stays open.
    let Ok(deadline_ms) = begun.await.map(|deadline_ms| *deadline_ms) else {
        return std::future::pending().await;
    };
    let left_ms = (deadline_ms - RESPONSE_MARGIN_MS).saturating_sub(clock::now_ms());
    time::sleep(Duration::from_millis(left_ms)).await;
}
