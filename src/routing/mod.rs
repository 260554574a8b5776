//! Routes callers' requests to the owners of their keys, with admission, retries and failure
//! reports.

pub mod admission;
pub mod key;
pub mod outcome;
pub mod retry;
mod router;
pub mod target;
mod traffic;

pub use self::{router::answer, traffic::Traffic};
