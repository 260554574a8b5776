//! A question to another host. What its answer proves is dated from when the question was sent: an answer that was
//! on its way for long, or that a host which stood still reads late, proves nothing newer.

use std::sync::{Mutex, PoisonError};

/// Question that was not answered yet.
#[derive(Clone, Copy, Debug)]
struct SentQuery {
    /// Ties the answer to the question, also over restarts.
    nonce: u64,
    at_ms: u64,
}

/// The latest question of one kind.
#[derive(Debug, Default)]
pub struct PendingQuery {
    asked: Mutex<Option<SentQuery>>,
}

impl PendingQuery {
    /// Notes a question; answers to earlier ones count for nothing.
    pub fn ask(&self, nonce: u64, at_ms: u64) {
        *self.asked.lock().unwrap_or_else(PoisonError::into_inner) =
            Some(SentQuery { nonce, at_ms });
    }

    /// When the question was sent that an answer belongs to; `None` if it is no answer to the latest one.
    pub fn answered(&self, nonce: u64) -> Option<u64> {
        let mut asked = self.asked.lock().unwrap_or_else(PoisonError::into_inner);
        let question = asked.take_if(|asked| asked.nonce == nonce);
        question.map(|question| question.at_ms)
    }
}
