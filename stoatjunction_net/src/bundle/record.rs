//! The record of a bundle: who proposed and approved it, with signatures.

use ed25519_dalek::{Signature, Signer, SigningKey, Verifier, VerifyingKey};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use thiserror::Error;

use super::parts::{join_parts, sha256_hex};
use super::{Bundle, parse};

/// Public keys of the operators, by name.
pub type OperatorKeys = IndexMap<String, VerifyingKey>;

/// What an operator signs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignedAction {
    /// The proposal of a bundle.
    Propose,
    /// The approval of a proposed bundle.
    Approve,
}

/// How far a bundle has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    /// Signed by its proposer.
    Proposed,
    /// Signed by a second operator as well.
    Approved,
}

/// The record of one bundle.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Number of the bundle.
    pub number: u64,
    /// Hashes of its parts, in order.
    pub parts: Vec<String>,
    /// What the proposer says of the change.
    pub note: String,
    /// Name of the proposer.
    pub proposer: String,
    /// Signature of the proposer.
    #[serde_as(as = "serde_with::hex::Hex")]
    pub proposal: Vec<u8>,
    /// Name of the approver, when there is one.
    pub approver: Option<String>,
    /// Signature of the approver.
    #[serde_as(as = "serde_with::hex::Hex")]
    pub approval: Vec<u8>,
}

/// A bundle with its record, as hosts pass it on. Parts that the receiver holds may be left out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SignedBundle {
    /// The record.
    pub record: Record,
    /// Texts of parts.
    pub parts: Vec<String>,
}

/// Why a bundle is not taken into force.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RecordError {
    /// A signature is missing or does not fit.
    #[error("signature of {0} is not valid")]
    InvalidSignature(String),
    /// The operator is not among the known ones.
    #[error("operator {0} is not known")]
    UnknownOperator(String),
    /// Proposer and approver are the same.
    #[error("proposer and approver are the same operator")]
    SameOperator,
    /// A part is missing.
    #[error("part {0} is missing")]
    MissingPart(String),
    /// The text does not pass the check.
    #[error("the bundle does not pass its check: {0}")]
    InvalidBundle(String),
}

impl Record {
    /// How far the bundle has come.
    pub fn state(&self) -> RecordState {
        if self.approver.is_some() {
            RecordState::Approved
        } else {
            RecordState::Proposed
        }
    }
}

/// Hash that stands for the whole content of a record.
pub fn content_hash(number: u64, parts: &[String], note: &str) -> String {
    sha256_hex(&format!("{number}\n{}\n{note}", parts.join("\n")))
}

/// Signs `step` of the bundle with `number`, `parts` and `note`.
pub fn sign(
    key: &SigningKey,
    step: SignedAction,
    number: u64,
    parts: &[String],
    note: &str,
) -> Vec<u8> {
    key.sign(message(step, number, parts, note).as_bytes())
        .to_bytes()
        .to_vec()
}

fn message(step: SignedAction, number: u64, parts: &[String], note: &str) -> String {
    let verb = match step {
        SignedAction::Propose => "propose",
        SignedAction::Approve => "approve",
    };
    format!(
        "stoatjunction bundle {verb} {}",
        content_hash(number, parts, note)
    )
}

/// Checks the signatures of `record` against `keys`.
///
/// # Errors
///
/// A [`RecordError`] that names what is wrong.
pub fn verify(record: &Record, keys: &OperatorKeys) -> Result<(), RecordError> {
    check(
        record,
        keys,
        SignedAction::Propose,
        &record.proposer,
        &record.proposal,
    )?;
    let Some(approver) = &record.approver else {
        return Ok(());
    };
    if *approver == record.proposer {
        return Err(RecordError::SameOperator);
    }
    check(
        record,
        keys,
        SignedAction::Approve,
        approver,
        &record.approval,
    )
}

fn check(
    record: &Record,
    keys: &OperatorKeys,
    step: SignedAction,
    name: &str,
    signature: &[u8],
) -> Result<(), RecordError> {
    let key = keys
        .get(name)
        .ok_or_else(|| RecordError::UnknownOperator(name.to_owned()))?;
    let bad = || RecordError::InvalidSignature(name.to_owned());
    let signature = Signature::from_slice(signature).map_err(|_| bad())?;
    let text = message(step, record.number, &record.parts, &record.note);
    key.verify(text.as_bytes(), &signature).map_err(|_| bad())
}

impl SignedBundle {
    /// Checks everything and gives the bundle.
    ///
    /// # Errors
    ///
    /// A [`RecordError`]; the bundle must not be taken into force then.
    pub fn verify_and_parse(&self, keys: &OperatorKeys) -> Result<Bundle, RecordError> {
        verify(&self.record, keys)?;
        if self.record.state() != RecordState::Approved {
            return Err(RecordError::InvalidSignature("no approver".to_owned()));
        }
        for hash in &self.record.parts {
            if !self.parts.iter().any(|p| sha256_hex(p) == *hash) {
                return Err(RecordError::MissingPart(hash.clone()));
            }
        }
        let name = format!("bundle {}", self.record.number);
        let parsed = parse(&name, &join_parts(&self.parts));
        let mut bundle = parsed.map_err(|e| RecordError::InvalidBundle(e.lines()))?;
        bundle.number = self.record.number;
        Ok(bundle)
    }

    /// Fills in the parts that `self` lacks from `held`, in the order of the record.
    pub fn fill_missing_parts(&mut self, held: &[String]) {
        let texts: IndexMap<String, &String> = self
            .parts
            .iter()
            .chain(held)
            .map(|p| (sha256_hex(p), p))
            .collect();
        let ordered = self.record.parts.iter().filter_map(|h| texts.get(h));
        self.parts = ordered.map(|p| (*p).clone()).collect();
    }
}
