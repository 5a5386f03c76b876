//! The life of one request inside its gateway.
//!
//! `Queued -> Granted -> Dispatched -> Answered | Refused`. The step to `Dispatched` is taken once,
//! before the first byte is written to an upstream, and there is no step back from it but the
//! upstream's own word that it did not start.

use crate::code::Outcome;
use crate::id::TicketId;
use crate::time::Time;

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No dispatcher holds the request.
    Idle,
    /// A dispatcher holds the request under this ticket.
    Queued(TicketId),
    /// A dispatcher granted a slot for this ticket.
    Granted(TicketId),
    /// The request may have reached an upstream.
    Dispatched(TicketId),
    /// The request has its final answer.
    Ended,
}

/// Why a step was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransitionError {
    /// The ticket is not the current one.
    StaleTicket,
    /// The deadline has passed.
    PastDeadline,
    /// The request is not in a stage that allows the step.
    WrongStage,
}

/// The life of one request. All steps go through its methods.
#[derive(Clone, Debug)]
pub struct RequestLifecycle {
    stage: Stage,
    deadline: Time,
    started: bool,
    answer_started: bool,
}

impl RequestLifecycle {
    /// A new request that must be answered by `deadline`.
    pub fn new(deadline: Time) -> RequestLifecycle {
        RequestLifecycle {
            stage: Stage::Idle,
            deadline,
            started: false,
            answer_started: false,
        }
    }

    /// Current stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Time by which the request must be answered.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Records that the request was enqueued under `ticket`, which replaces any earlier ticket.
    ///
    /// # Errors
    ///
    /// [`TransitionError::WrongStage`] after dispatch.
    pub fn enqueue(&mut self, ticket: TicketId) -> Result<(), TransitionError> {
        if self.started || self.stage == Stage::Ended {
            return Err(TransitionError::WrongStage);
        }
        self.stage = Stage::Queued(ticket);
        Ok(())
    }

    /// Records a grant for `ticket`.
    ///
    /// # Errors
    ///
    /// [`TransitionError::StaleTicket`] unless the request is queued under just this ticket.
    pub fn grant(&mut self, ticket: TicketId) -> Result<(), TransitionError> {
        if self.stage != Stage::Queued(ticket) {
            return Err(TransitionError::StaleTicket);
        }
        self.stage = Stage::Granted(ticket);
        Ok(())
    }

    /// Takes the one step to dispatched, to be called right before the first byte is written.
    ///
    /// # Errors
    ///
    /// [`TransitionError::PastDeadline`] when `now` is at or past the deadline, [`TransitionError::WrongStage`]
    /// unless the request is granted and was never dispatched.
    pub fn dispatch(&mut self, now: Time) -> Result<(), TransitionError> {
        let Stage::Granted(ticket) = self.stage else {
            return Err(TransitionError::WrongStage);
        };
        if self.started {
            return Err(TransitionError::WrongStage);
        }
        if now >= self.deadline {
            return Err(TransitionError::PastDeadline);
        }
        self.stage = Stage::Dispatched(ticket);
        self.started = true;
        Ok(())
    }

    /// Gives a grant back before any byte was written; the request may be enqueued again.
    ///
    /// # Errors
    ///
    /// [`TransitionError::WrongStage`] after dispatch.
    pub fn release_grant(&mut self) -> Result<(), TransitionError> {
        if self.started || self.stage == Stage::Ended {
            return Err(TransitionError::WrongStage);
        }
        self.stage = Stage::Idle;
        Ok(())
    }

    /// Records the upstream's explicit word that it did not start the request.
    ///
    /// # Errors
    ///
    /// [`TransitionError::WrongStage`] unless dispatched, or once a byte of an answer was received.
    pub fn record_not_started(&mut self) -> Result<(), TransitionError> {
        if !matches!(self.stage, Stage::Dispatched(_)) || self.answer_started {
            return Err(TransitionError::WrongStage);
        }
        self.stage = Stage::Idle;
        self.started = false;
        Ok(())
    }

    /// Records that the upstream sent some of an answer, so that it is known to have started.
    pub fn record_answer_started(&mut self) {
        if self.started {
            self.answer_started = true;
        }
    }

    /// Ends the life with its one final answer. True the first time only.
    pub fn end(&mut self) -> bool {
        let first = self.stage != Stage::Ended;
        self.stage = Stage::Ended;
        first
    }

    /// What may truthfully be said of the request's effect now.
    pub fn outcome(&self) -> Outcome {
        match (self.started, self.answer_started) {
            (false, _) => Outcome::NotRun,
            (true, true) => Outcome::Ran,
            (true, false) => Outcome::Unknown,
        }
    }
}
