//! Steps of a run's moves and how they end.

use crate::time::Time;
use strum::{Display, IntoStaticStr};

/// Whether the source has stopped the run for a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Stop {
    /// It has not.
    Excluded,
    /// It was told to, and nothing shows whether it did.
    InDoubt,
    /// It has.
    Certain,
}

/// A copy of the run's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeptCopy<E> {
    /// Made by a move, and registered at `source` under `handle`.
    Moved {
        /// The engine that made it.
        source: E,
        /// Its handle there.
        handle: String,
    },
    /// Kept up to date while the run was written.
    Backup,
}

/// An engine at which the run can continue, and the copy that it uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumePoint<E> {
    /// The engine.
    pub engine: E,
    /// The copy.
    pub copy: KeptCopy<E>,
}

/// How a copy ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyOutcome {
    /// The target has the copy; after a final one, the run has stopped.
    Copied {
        /// Its handle at the source.
        handle: String,
    },
    /// The source was not reached.
    NotSent,
    /// The source did nothing: it does not have the run, or another copy is in progress.
    Refused,
    /// The target has no room or is unreachable.
    NoRoom {
        /// Handle of the memory that the source keeps of a run that it has stopped.
        kept: Option<String>,
    },
    /// The source may have acted.
    Unknown,
}

/// How an attempt to continue the run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeOutcome {
    /// The engine writes the stream.
    Started,
    /// The engine was not reached.
    NotSent,
    /// The engine does not work on the run and cannot use the copy.
    Refused,
    /// The engine may have used the copy and run the request since.
    MayHaveRun {
        /// When the request was sent, at the earliest.
        sent_at: Time,
    },
}

/// What an engine that may work on the run replies when told to stop it.
#[derive(Clone, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ReclaimOutcome {
    /// It has stopped the run and keeps its memory.
    Stopped {
        /// Handle of the memory there.
        handle: String,
        /// Whether the other engine has a copy.
        is_copied: bool,
    },
    /// It has stopped the run and still copies its memory.
    Stopping,
    /// It does not have the run, but may not have begun it.
    NoRun,
    /// It has ended.
    Ended,
    /// No connection to it could be opened.
    Unreachable,
    /// It lives, but its reply does not tell.
    Failed,
    /// It has not replied, and may have acted.
    Unknown,
}

/// How the response body of the source ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// With its end.
    Whole,
    /// With its connection, which is also how a complete body without a length ends.
    Unframed,
    /// The same, and the engine was found to have outlived the connection. It may have lost its answer and
    /// work on.
    Outlived,
    /// Before its end.
    Broken,
}

/// Why a stream ends before it is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CutCause {
    /// Its engine was lost.
    EngineLost,
    /// It was stopped for a move and continues nowhere.
    MoveFailed,
    /// It may continue at an engine whose answer was lost.
    AnswerLost,
    /// Its deadline has passed.
    Timeout,
}

/// What the holder of the run has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<E> {
    /// Copy the run's memory from the source to `to`; a final copy stops the run first.
    StartCopy {
        /// Target of the copy.
        to: E,
        /// Whether it is final.
        is_final: bool,
    },
    /// Send the request to the engine of the point. Once it has started, the body of the former
    /// source is to be closed.
    Resume(ResumePoint<E>),
    /// Have the engine `from`, which may work on the run, stop it and copy its memory to `to`.
    Reclaim {
        /// The engine.
        from: E,
        /// Target of the copy.
        to: E,
        /// Whether the engine was told so before.
        is_repeated: bool,
        /// Whether the run continues from the copy; otherwise only the stop matters.
        needs_copy: bool,
    },
    /// Have `engine` drop a copy that is not needed.
    DropCopy {
        /// The engine that made the copy.
        engine: E,
        /// Its handle there.
        handle: String,
    },
    /// Close the body of the source, as another engine may run the request.
    LeaveSource,
    /// Check whether the source is alive.
    CheckSource,
    /// Check whether the source outlived the connection with which its body has ended.
    CheckEnd,
    /// Report that the ordered move failed.
    ReportFailedMove {
        /// The engine that refused the run or could not be reached.
        refused_by: Option<E>,
    },
    /// End the stream as complete.
    Complete,
    /// End the stream early.
    Cut(CutCause),
}
