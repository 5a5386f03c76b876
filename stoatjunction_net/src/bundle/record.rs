//! Signed records of bundles: who proposed and who approved a bundle.

use ed25519_dalek::{Signature, Signer, SigningKey, Verifier, VerifyingKey};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use thiserror::Error;

use super::parts::{join_parts, sha256_hex};
use super::{Bundle, parse};

/// Public keys of operators by name.
pub type OperatorKeys = IndexMap<String, VerifyingKey>;

/// Action that an operator signs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignedAction {
    /// Proposes a bundle.
    Propose,
    /// Approves a proposed bundle.
    Approve,
}

/// Approval state of a bundle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    /// Signed by its proposer only.
    Proposed,
    /// Signed by its proposer and by a second operator.
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
    /// Description of the change by the proposer.
    pub note: String,
    /// Name of the proposer.
    pub proposer: String,
    /// Signature of the proposer.
    #[serde_as(as = "serde_with::hex::Hex")]
    pub proposal: Vec<u8>,
    /// Name of the approver, if the bundle is approved.
    pub approver: Option<String>,
    /// Signature of the approver; empty until the bundle is approved.
    #[serde_as(as = "serde_with::hex::Hex")]
    pub approval: Vec<u8>,
}

/// A bundle with its record, as it is sent between hosts. Parts that the receiver already has may
/// be left out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SignedBundle {
    /// Signed record.
    pub record: Record,
    /// Texts of the parts.
    pub parts: Vec<String>,
}

/// Reason for rejecting a bundle.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RecordError {
    /// A signature is missing or does not match.
    #[error("the signature of {0} is not valid")]
    InvalidSignature(String),
    /// The operator has no known public key.
    #[error("no public key is known for operator {0}")]
    UnknownOperator(String),
    /// Proposer and approver are the same operator.
    #[error("the proposer and the approver are the same operator")]
    SameOperator,
    /// A part is missing.
    #[error("part {0} is missing")]
    MissingPart(String),
    /// The text is not a valid bundle; one line per error.
    #[error("the bundle is not valid: {0}")]
    InvalidBundle(String),
}

impl Record {
    /// Returns the approval state.
    pub fn state(&self) -> RecordState {
        if self.approver.is_some() {
            RecordState::Approved
        } else {
            RecordState::Proposed
        }
    }
}

/// Returns the hash that covers the number, part hashes and note of a record.
pub fn content_hash(number: u64, parts: &[String], note: &str) -> String {
    sha256_hex(&format!("{number}\n{}\n{note}", parts.join("\n")))
}

/// Signs `action` on the bundle with `number`, `parts` and `note`.
pub fn sign(
    key: &SigningKey,
    action: SignedAction,
    number: u64,
    parts: &[String],
    note: &str,
) -> Vec<u8> {
    key.sign(signing_payload(action, number, parts, note).as_bytes())
        .to_bytes()
        .to_vec()
}

fn signing_payload(action: SignedAction, number: u64, parts: &[String], note: &str) -> String {
    let verb = match action {
        SignedAction::Propose => "propose",
        SignedAction::Approve => "approve",
    };
    format!(
        "stoatjunction bundle {verb} {}",
        content_hash(number, parts, note)
    )
}

/// Verifies the signatures of `record` against `keys`.
///
/// # Errors
///
/// A [`RecordError`] if a signature is missing or invalid, or both operators are the same.
pub fn verify(record: &Record, keys: &OperatorKeys) -> Result<(), RecordError> {
    verify_signature(
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
    verify_signature(
        record,
        keys,
        SignedAction::Approve,
        approver,
        &record.approval,
    )
}

fn verify_signature(
    record: &Record,
    keys: &OperatorKeys,
    action: SignedAction,
    name: &str,
    signature: &[u8],
) -> Result<(), RecordError> {
    let key = keys
        .get(name)
        .ok_or_else(|| RecordError::UnknownOperator(name.to_owned()))?;
    let invalid = || RecordError::InvalidSignature(name.to_owned());
    let signature = Signature::from_slice(signature).map_err(|_| invalid())?;
    let payload = signing_payload(action, record.number, &record.parts, &record.note);
    key.verify(payload.as_bytes(), &signature)
        .map_err(|_| invalid())
}

impl SignedBundle {
    /// Verifies the signatures, the approval and the parts, and parses the bundle.
    ///
    /// # Errors
    ///
    /// A [`RecordError`], in which case the bundle must not be put in force.
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

    /// Fills in missing parts from `held`, and sorts the parts in the order of the record.
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
