//! Bundles in the platform's Object API: `bundle/record/N`, `bundle/part/HASH`, and the pointer
//! `bundle/accepted`. Every step is a conditional write, so racing operators get a conflict, and a
//! lost answer is settled by reading back.

use ed25519_dalek::SigningKey;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::record::{
    OperatorKeys, Record, RecordError, RecordState, SignedAction, SignedBundle, sign, verify,
};
use super::{parse, sha256_hex, split_parts};
use crate::platform::{ObjectApiClient, PlatformError, Precondition};

/// Key of the pointer to the accepted bundle.
pub const ACCEPTED_KEY: &str = "bundle/accepted";

/// The pointer to the accepted bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Number of the bundle.
    pub number: u64,
    /// Operator who accepted it.
    pub by: String,
}

/// Why a step failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The platform gave no usable answer.
    #[error("platform: {0}")]
    Platform(#[from] PlatformError),
    /// Another operator was first.
    #[error("conflict: {0}")]
    Conflict(String),
    /// The record does not allow the step.
    #[error("{0}")]
    Record(#[from] RecordError),
    /// The text is faulty.
    #[error("{0}")]
    InvalidBundle(String),
    /// Whether the step took effect is not known; repeat it to find out.
    #[error("the outcome is not known, repeat the command to settle it: {0}")]
    OutcomeUnknown(String),
}

/// Access to the bundles.
#[derive(Clone, Debug)]
pub struct BundleStore {
    platform: ObjectApiClient,
}

impl BundleStore {
    /// Bundles kept in `platform`.
    pub fn new(platform: ObjectApiClient) -> BundleStore {
        BundleStore { platform }
    }

    /// The pointer with its version; number 0 when none was ever accepted.
    ///
    /// # Errors
    ///
    /// A [`StoreError`] when the platform gives no answer.
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

    /// The record of bundle `number` with its version.
    ///
    /// # Errors
    ///
    /// A [`StoreError`] when there is none or the platform gives no answer.
    pub async fn record(&self, number: u64) -> Result<(Record, u64), StoreError> {
        let object = self.platform.get(&record_key(number)).await?;
        Ok((decode(&object.value)?, object.version))
    }

    /// All records, by number.
    ///
    /// # Errors
    ///
    /// A [`StoreError`] when the platform gives no answer.
    pub async fn records(&self) -> Result<Vec<Record>, StoreError> {
        let objects = self.platform.list("bundle/record/").await?;
        let decoded: Result<Vec<Record>, StoreError> =
            objects.iter().map(|o| decode(&o.value)).collect();
        let mut records = decoded?;
        records.sort_by_key(|r| r.number);
        Ok(records)
    }

    /// The bundle `number` with those of its parts whose hashes are not in `have`.
    ///
    /// # Errors
    ///
    /// A [`StoreError`] when something is missing or the platform gives no answer.
    pub async fn fetch(&self, number: u64, have: &[String]) -> Result<SignedBundle, StoreError> {
        let (record, _) = self.record(number).await?;
        let mut parts = Vec::new();
        for hash in record.parts.iter().filter(|h| !have.contains(h)) {
            parts.push(self.platform.get(&part_key(hash)).await?.value);
        }
        Ok(SignedBundle { record, parts })
    }

    /// Proposes `text` as the next bundle and returns its record.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] when another operator took the number first.
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
            self.put_part(hash, text).await?;
        }
        let newest = self.records().await?.last().map_or(0, |r| r.number);
        let (accepted, _) = self.accepted().await?;
        let number = newest.max(accepted.number) + 1;
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

    /// Approves bundle `number`.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] when another operator approved it first.
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
        if let Some(by) = &record.approver {
            if by == operator {
                return Ok(record);
            }
            return Err(StoreError::Conflict(format!(
                "{by} approved bundle {number} already"
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

    /// Moves the pointer to bundle `number`, which must be approved and above the accepted one.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] when the pointer stands as high or higher, naming who moved it.
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
                "bundle {number} is not approved yet"
            )));
        }
        let (current, version) = self.accepted().await?;
        if current.number >= number {
            return settled(&current, number, operator);
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
                let (now, _) = read.map_err(|e| StoreError::OutcomeUnknown(e.to_string()))?;
                settled(&now, number, operator)
            }
            Err(e) => Err(e.into()),
        }
    }

    async fn put_part(&self, hash: &str, text: &str) -> Result<(), StoreError> {
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

    /// Writes a record; after a lost answer or a conflict it is read back, and the write counts
    /// when the record found is the very one.
    async fn write_record(&self, record: &Record, expect: Precondition) -> Result<(), StoreError> {
        let key = record_key(record.number);
        let lost = match self.platform.put(&key, &encode(record), expect).await {
            Ok(_) => return Ok(()),
            Err(PlatformError::Lost(why)) => Some(why),
            Err(PlatformError::Conflict) => None,
            Err(e) => return Err(e.into()),
        };
        let read = self.record(record.number).await;
        let found = match (read, lost) {
            (Ok((found, _)), _) => found,
            (Err(_), Some(why)) => return Err(StoreError::OutcomeUnknown(why)),
            (Err(e), None) => return Err(e),
        };
        if found == *record {
            return Ok(());
        }
        let winner = found.approver.as_ref().unwrap_or(&found.proposer);
        let what = format!(
            "{winner} changed bundle {} first: {}",
            found.number, found.note
        );
        Err(StoreError::Conflict(what))
    }
}

fn settled(current: &Accepted, number: u64, operator: &str) -> Result<(), StoreError> {
    if current.number == number && current.by == operator {
        return Ok(());
    }
    let Accepted { number: stands, by } = current;
    Err(StoreError::Conflict(format!(
        "{by} accepted bundle {stands}"
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
    serde_json::to_string(value).expect("records are plain data")
}

fn decode<T>(text: &str) -> Result<T, StoreError>
where
    T: serde::de::DeserializeOwned,
{
    serde_json::from_str(text).map_err(|e| PlatformError::Refused(e.to_string()).into())
}
