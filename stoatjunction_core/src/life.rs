//! Lifecycle of one request in its gateway.
//!
//! `Queued -> Granted -> Dispatched -> Answered | Refused`. The transition to `Dispatched` happens
//! once, before the first byte is written to an upstream. It is undone only when the upstream
//! reports that it did not start the request.

use crate::code::Outcome;
use crate::id::TicketId;
use crate::time::Time;

/// Stage of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The request is not queued at any dispatcher.
    Idle,
    /// A dispatcher has queued the request under this ticket.
    Queued(TicketId),
    /// A dispatcher granted a slot for this ticket.
    Granted(TicketId),
    /// The request may have reached an upstream.
    Dispatched(TicketId),
    /// The request has its final answer.
    Ended,
}

/// Reason why a transition was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransitionError {
    /// The ticket is not the current one.
    StaleTicket,
    /// The deadline has passed.
    PastDeadline,
    /// The stage of the request does not allow the transition.
    WrongStage,
}

/// Lifecycle of one request. All transitions go through its methods.
#[derive(Clone, Debug)]
pub struct RequestLifecycle {
    stage: Stage,
    deadline: Time,
    started: bool,
    answer_started: bool,
}

impl RequestLifecycle {
    /// Creates the lifecycle of a request that must be answered by `deadline`.
    pub fn new(deadline: Time) -> RequestLifecycle {
        RequestLifecycle {
            stage: Stage::Idle,
            deadline,
            started: false,
            answer_started: false,
        }
    }

    /// Returns the current stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns the time by which the request must be answered.
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
    /// [`TransitionError::StaleTicket`] unless the request is queued under exactly this ticket.
    pub fn grant(&mut self, ticket: TicketId) -> Result<(), TransitionError> {
        if self.stage != Stage::Queued(ticket) {
            return Err(TransitionError::StaleTicket);
        }
        self.stage = Stage::Granted(ticket);
        Ok(())
    }

    /// Marks the request as dispatched, to be called right before the first byte is written.
    ///
    /// # Errors
    ///
    /// [`TransitionError::PastDeadline`] when `now` is at or past the deadline,
    /// [`TransitionError::WrongStage`] unless the request is granted and not dispatched yet.
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

    /// Gives up a grant before any byte was written; the request may be enqueued again.
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

    /// Records the upstream's explicit report that it did not start the request.
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

    /// Records that the upstream sent part of an answer, which proves that it started.
    pub fn record_answer_started(&mut self) {
        if self.started {
            self.answer_started = true;
        }
    }

    /// Marks the request as answered. Returns true the first time only.
    pub fn end(&mut self) -> bool {
        let was_open = self.stage != Stage::Ended;
        self.stage = Stage::Ended;
        was_open
    }

    /// Returns whether the request has run, as far as the gateway can know.
    pub fn outcome(&self) -> Outcome {
        match (self.started, self.answer_started) {
            (false, _) => Outcome::NotRun,
            (true, true) => Outcome::Ran,
            (true, false) => Outcome::Unknown,
        }
    }
}
