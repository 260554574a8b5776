//! Records changes of holdings in the store, on condition of the duty's row.

use std::sync::{Arc, atomic::Ordering};

use super::{Change, DUTY_KEY, DUTY_TABLE, DutyRow, Writer};
use crate::{
    clock,
    entry::{
        Entry,
        keys::{Assignment, Holding},
        news::{
            followed::Followed,
            own_rows::{HOLDINGS_PREFIX, TABLE},
        },
        watch::pause,
    },
    platform::store::{Expect, Put, Row, Transacted, Transaction},
};

/// Why a write of the holder failed for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFailure {
    /// Another host has the duty.
    DutyLost,
    /// The store does not take the record.
    Refused,
    /// The service's holdings are not what the holder thinks.
    HoldingsChanged,
}

/// Outcome of a transaction whose effect is known.
enum Settled {
    Done(u64),
    Conflict(Vec<Row>),
    /// The store will never take this record.
    Refused,
    DutyLost,
}

/// Why a record met other rows than it expected.
enum Conflict {
    /// It took effect before, and its answer was lost.
    TookEffect(u64),
    /// A confirmation of the duty took effect, and its answer was lost; the row's version.
    Confirmed(u64),
    /// The holdings are not what the holder thinks.
    HoldingsChanged,
    /// Another host has the duty.
    DutyTaken,
}

impl Entry {
    /// Records a change of a service's holdings. The record depends on the duty's row and on the
    /// holdings being what they were. Returns the new holdings once the
    /// record is certain, however long that takes while this host may have the duty.
    pub(in crate::entry) async fn record(
        &self,
        service: &Arc<str>,
        change: &Change,
    ) -> Result<Vec<Holding>, WriteFailure> {
        let mut writer = self.duty.writer.lock().await;
        if self.duty.term() == 0 {
            return Err(WriteFailure::DutyLost);
        }
        let held = self.view.held(service);
        let held_version = held.as_ref().map_or(0, |held| held.version);
        let before = held.map_or_else(Assignment::default, |h| (*h.assignment).clone());
        let mut assignment = before.clone();
        let changed = change.apply(&mut assignment);
        if assignment == before {
            return Ok(changed);
        }
        let Ok(value) = assignment.encode() else {
            return Err(WriteFailure::HoldingsChanged);
        };
        let key = format!("{HOLDINGS_PREFIX}{service}");
        loop {
            let settled = self
                .write_holdings(&key, &value, writer.row_version, held_version)
                .await;
            let version = match settled {
                Settled::Done(version) => version,
                Settled::DutyLost => return Err(WriteFailure::DutyLost),
                Settled::Refused => return Err(WriteFailure::Refused),
                Settled::Conflict(rows) => {
                    match self.explain_conflict(&rows, &key, &value, &writer, held_version) {
                        Conflict::TookEffect(version) => version,
                        Conflict::Confirmed(version) => {
                            writer.row_version = version;
                            continue;
                        }
                        Conflict::HoldingsChanged => return Err(WriteFailure::HoldingsChanged),
                        Conflict::DutyTaken => {
                            self.duty.lose("another host has taken it");
                            return Err(WriteFailure::DutyLost);
                        }
                    }
                }
            };
            self.view.hold(service, Arc::new(assignment), version);
            self.freshness.note_change(Followed::Own, version);
            return Ok(changed);
        }
    }

    /// Why a record met other rows than it expected.
    fn explain_conflict(
        &self,
        rows: &[Row],
        key: &str,
        value: &[u8],
        writer: &Writer,
        held_version: u64,
    ) -> Conflict {
        let found = |key: &str| rows.iter().find(|row| row.key == key);
        let holdings = found(key);
        if let Some(row) = holdings.filter(|row| row.value == value) {
            return Conflict::TookEffect(row.version);
        }
        if holdings.map_or(0, |row| row.version) != held_version {
            return Conflict::HoldingsChanged;
        }
        let Some(row) = found(DUTY_KEY) else {
            return Conflict::DutyTaken;
        };
        let Ok(duty) = serde_json::from_slice::<DutyRow>(&row.value) else {
            log::error!("the duty's row cannot be decoded");
            return Conflict::DutyTaken;
        };
        let own = duty.holder == self.incarnation && duty.term == self.duty.term();
        if own && row.version != writer.row_version {
            return Conflict::Confirmed(row.version);
        }
        Conflict::DutyTaken
    }

    async fn write_holdings(
        &self,
        key: &str,
        value: &[u8],
        duty_version: u64,
        held_version: u64,
    ) -> Settled {
        let expect = |table, key, version| Expect {
            table,
            key,
            version,
        };
        let transaction = Transaction {
            expect: vec![
                expect(DUTY_TABLE, DUTY_KEY, duty_version),
                expect(TABLE, key, held_version),
            ],
            puts: vec![Put {
                table: TABLE,
                key,
                value,
            }],
            ..Transaction::default()
        };
        loop {
            let sent_ms = clock::now_ms();
            match self.store.transact(&transaction).await {
                Ok(Transacted::Done { version }) => {
                    // The transaction depends on the duty's row, so it confirms the duty too.
                    self.duty.confirmed_ms.store(sent_ms, Ordering::Relaxed);
                    return Settled::Done(version);
                }
                Ok(Transacted::Conflict { rows }) => return Settled::Conflict(rows),
                Err(error) if error.is_final() => {
                    log::error!("the store refuses a record of holdings: {error}");
                    return Settled::Refused;
                }
                Err(error) => log::debug!("holdings cannot be recorded: {error}"),
            }
            if !self.duty.may_lease(self.settings.leases.outage_ms) {
                self.duty.lose("the store did not answer");
                return Settled::DutyLost;
            }
            pause().await;
        }
    }
}
