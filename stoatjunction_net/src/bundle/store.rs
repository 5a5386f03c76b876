//! Storage of bundles in the Object API of the platform: `bundle/record/N`, `bundle/part/HASH`, and
//! the pointer `bundle/accepted`. Every write is conditional, so concurrent operators get a
//! conflict; after a lost response, the object is read back to determine whether the write took
//! effect.

use ed25519_dalek::SigningKey;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::record::{
    OperatorKeys, Record, RecordError, RecordState, SignedAction, SignedBundle, sign, verify,
};
use super::{parse, sha256_hex, split_parts};
use crate::platform::{ObjectApiClient, PlatformError, Precondition};

/// Key of the object that holds the [`Accepted`] pointer.
pub const ACCEPTED_KEY: &str = "bundle/accepted";

/// Pointer to the accepted bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Number of the bundle.
    pub number: u64,
    /// Operator who accepted it.
    pub by: String,
}

/// Error of a [`BundleStore`].
#[derive(Debug, Error)]
pub enum StoreError {
    /// The call to the platform failed.
    #[error("platform: {0}")]
    Platform(#[from] PlatformError),
    /// The change conflicts with the stored bundles, such as with that of another operator.
    #[error("conflict: {0}")]
    Conflict(String),
    /// The record does not pass verification.
    #[error("{0}")]
    Record(#[from] RecordError),
    /// The text of the bundle is not valid; one line per error.
    #[error("{0}")]
    InvalidBundle(String),
    /// The response was lost, so the write may or may not have taken effect. Repeating the command
    /// is safe and returns the outcome.
    #[error("the outcome is unknown; repeat the command to find out: {0}")]
    OutcomeUnknown(String),
}

/// Store of the bundles in the platform.
#[derive(Clone, Debug)]
pub struct BundleStore {
    platform: ObjectApiClient,
}

impl BundleStore {
    /// Creates a store over the Object API behind `platform`.
    pub fn new(platform: ObjectApiClient) -> BundleStore {
        BundleStore { platform }
    }

    /// Reads the accepted pointer and its version; both are 0 if no bundle was ever accepted.
    ///
    /// # Errors
    ///
    /// A [`StoreError`] if the call to the platform fails.
    pub async fn accepted(&self) -> Result<(Accepted, u64), StoreError> {
        match self.platform.get(ACCEPTED_KEY).await {
            Ok(object) => Ok((decode(&object.value)?, object.version)),
            Err(PlatformError::NotFound) => Ok((
                Accepted {
                    number: 0,
                    by: String::new(),
                },
                0,
            )),
            Err(e) => Err(e.into()),
        }
    }

    /// Reads the record of bundle `number` and its version.
    ///
    /// # Errors
    ///
    /// A [`StoreError`] if the record does not exist or the call to the platform fails.
    pub async fn record(&self, number: u64) -> Result<(Record, u64), StoreError> {
        let object = self.platform.get(&record_key(number)).await?;
        Ok((decode(&object.value)?, object.version))
    }

    /// Reads all records, sorted by number.
    ///
    /// # Errors
    ///
    /// A [`StoreError`] if the call to the platform fails.
    pub async fn records(&self) -> Result<Vec<Record>, StoreError> {
        let objects = self.platform.list("bundle/record/").await?;
        let decoded: Result<Vec<Record>, StoreError> =
            objects.iter().map(|o| decode(&o.value)).collect();
        let mut records = decoded?;
        records.sort_by_key(|r| r.number);
        Ok(records)
    }

    /// Fetches bundle `number` with those of its parts whose hashes are not in `have`.
    ///
    /// # Errors
    ///
    /// A [`StoreError`] if the record or a part does not exist or a call to the platform fails.
    pub async fn fetch(&self, number: u64, have: &[String]) -> Result<SignedBundle, StoreError> {
        let (record, _) = self.record(number).await?;
        let mut parts = Vec::new();
        for hash in record.parts.iter().filter(|h| !have.contains(h)) {
            parts.push(self.platform.get(&part_key(hash)).await?.value);
        }
        Ok(SignedBundle { record, parts })
    }

    /// Proposes `text` as the next bundle, signed with `key`, and returns its record.
    ///
    /// # Errors
    ///
    /// [`StoreError::InvalidBundle`] if `text` does not parse, [`StoreError::Conflict`] if another
    /// operator took the number first.
    pub async fn propose(
        &self,
        text: &str,
        note: &str,
        operator: &str,
        key: &SigningKey,
    ) -> Result<Record, StoreError> {
        parse("bundle", text).map_err(|e| StoreError::InvalidBundle(e.lines()))?;
        let texts = split_parts(text);
        let parts: Vec<String> = texts.iter().map(|t| sha256_hex(t)).collect();
        for (hash, text) in parts.iter().zip(&texts) {
            self.write_part(hash, text).await?;
        }
        let highest = self.records().await?.last().map_or(0, |r| r.number);
        let (accepted, _) = self.accepted().await?;
        let number = highest.max(accepted.number) + 1;
        let proposal = sign(key, SignedAction::Propose, number, &parts, note);
        let record = Record {
            number,
            parts,
            note: note.to_owned(),
            proposer: operator.to_owned(),
            proposal,
            approver: None,
            approval: Vec::new(),
        };
        self.write_record(&record, Precondition::Absent).await?;
        Ok(record)
    }

    /// Approves bundle `number`, signed with `key`, and returns its record.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] if another operator approved it first.
    pub async fn approve(
        &self,
        number: u64,
        operator: &str,
        key: &SigningKey,
        keys: &OperatorKeys,
    ) -> Result<Record, StoreError> {
        let (mut record, version) = self.record(number).await?;
        verify(&record, keys)?;
        if record.proposer == operator {
            return Err(RecordError::SameOperator.into());
        }
        if let Some(approver) = &record.approver {
            if approver == operator {
                return Ok(record);
            }
            return Err(StoreError::Conflict(format!(
                "{approver} already approved bundle {number}"
            )));
        }
        record.approver = Some(operator.to_owned());
        record.approval = sign(
            key,
            SignedAction::Approve,
            number,
            &record.parts,
            &record.note,
        );
        self.write_record(&record, Precondition::Version(version))
            .await?;
        Ok(record)
    }

    /// Moves the accepted pointer to bundle `number`, which must be approved and have a higher number
    /// than the accepted one.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] if the bundle is not approved, or if another operator moved the
    /// pointer to it or to a higher number.
    pub async fn accept(
        &self,
        number: u64,
        operator: &str,
        keys: &OperatorKeys,
    ) -> Result<(), StoreError> {
        let (record, _) = self.record(number).await?;
        verify(&record, keys)?;
        if record.state() != RecordState::Approved {
            return Err(StoreError::Conflict(format!(
                "bundle {number} is not approved"
            )));
        }
        let (current, version) = self.accepted().await?;
        if current.number >= number {
            return check_pointer(&current, number, operator);
        }
        let pointer = Accepted {
            number,
            by: operator.to_owned(),
        };
        let value = encode(&pointer);
        let expect = if version == 0 {
            Precondition::Absent
        } else {
            Precondition::Version(version)
        };
        match self.platform.put(ACCEPTED_KEY, &value, expect).await {
            Ok(_) => Ok(()),
            Err(PlatformError::Lost(_)) | Err(PlatformError::Conflict) => {
                let read = self.accepted().await;
                let (current, _) = read.map_err(|e| StoreError::OutcomeUnknown(e.to_string()))?;
                check_pointer(&current, number, operator)
            }
            Err(e) => Err(e.into()),
        }
    }

    async fn write_part(&self, hash: &str, text: &str) -> Result<(), StoreError> {
        match self
            .platform
            .put(&part_key(hash), text, Precondition::Absent)
            .await
        {
            Ok(_) | Err(PlatformError::Conflict) => Ok(()),
            Err(PlatformError::Lost(_)) => {
                let read = self.platform.get(&part_key(hash)).await;
                read.map(|_| ())
                    .map_err(|e| StoreError::OutcomeUnknown(e.to_string()))
            }
            Err(e) => Err(e.into()),
        }
    }

    /// Writes a record. After a lost response or a conflict the record is read back, and the write
    /// counts as successful if the stored record is identical.
    async fn write_record(&self, record: &Record, expect: Precondition) -> Result<(), StoreError> {
        let key = record_key(record.number);
        let lost_reason = match self.platform.put(&key, &encode(record), expect).await {
            Ok(_) => return Ok(()),
            Err(PlatformError::Lost(reason)) => Some(reason),
            Err(PlatformError::Conflict) => None,
            Err(e) => return Err(e.into()),
        };
        let read = self.record(record.number).await;
        let stored = match (read, lost_reason) {
            (Ok((stored, _)), _) => stored,
            (Err(_), Some(reason)) => return Err(StoreError::OutcomeUnknown(reason)),
            (Err(e), None) => return Err(e),
        };
        if stored == *record {
            return Ok(());
        }
        let winner = stored.approver.as_ref().unwrap_or(&stored.proposer);
        let message = format!(
            "{winner} changed bundle {} first: {}",
            stored.number, stored.note
        );
        Err(StoreError::Conflict(message))
    }
}

/// Checks that the pointer is at bundle `number` and was moved there by `operator`.
fn check_pointer(current: &Accepted, number: u64, operator: &str) -> Result<(), StoreError> {
    if current.number == number && current.by == operator {
        return Ok(());
    }
    let Accepted {
        number: accepted,
        by,
    } = current;
    Err(StoreError::Conflict(format!(
        "{by} accepted bundle {accepted}"
    )))
}

fn record_key(number: u64) -> String {
    format!("bundle/record/{number:010}")
}

fn part_key(hash: &str) -> String {
    format!("bundle/part/{hash}")
}

fn encode<T>(value: &T) -> String
where
    T: Serialize,
{
    serde_json::to_string(value).expect("records serialize to JSON")
}

fn decode<T>(text: &str) -> Result<T, StoreError>
where
    T: serde::de::DeserializeOwned,
{
    serde_json::from_str(text).map_err(|e| PlatformError::Refused(e.to_string()).into())
}
