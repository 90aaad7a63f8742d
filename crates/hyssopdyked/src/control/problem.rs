//! Errors in responses to operators.

use axum::Json;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use hyssopdyke_wire::resource::{self, Resource};

use super::handle::Error as LogError;
use super::validate;

/// Errors of an operator's request.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(super) enum Problem {
    #[error("no such resource")]
    NotFound,
    #[error("unknown resource kind {0:?}")]
    UnknownKind(Box<str>),
    #[error("the resource has changed since it was read")]
    Conflict(Option<Box<Resource>>),
    #[error("revision {0} is too old to watch from; list the resources again")]
    Gone(u64),
    #[error("{0}")]
    Invalid(#[from] validate::Error),
    #[error("header {0}: {1}")]
    Header(&'static str, &'static str),
    #[error("{0}")]
    Log(#[from] LogError),
}

impl Problem {
    const fn status(&self) -> StatusCode {
        match self {
            Self::NotFound | Self::UnknownKind(_) => StatusCode::NOT_FOUND,
            Self::Conflict(_) => StatusCode::PRECONDITION_FAILED,
            Self::Gone(_) => StatusCode::GONE,
            Self::Invalid(_) | Self::Header(..) => StatusCode::BAD_REQUEST,
            Self::Log(LogError::ChangeInProgress) => StatusCode::CONFLICT,
            Self::Log(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    const fn code(&self) -> &'static str {
        match self {
            Self::NotFound => "not_found",
            Self::UnknownKind(_) => "unknown_kind",
            Self::Conflict(_) => "conflict",
            Self::Gone(_) => "gone",
            Self::Invalid(_) => "invalid",
            Self::Header(..) => "header",
            Self::Log(LogError::NotLeader(_)) => "not_leader",
            Self::Log(LogError::ChangeInProgress) => "busy",
            Self::Log(LogError::OutcomeUnknown | LogError::Closed) => "outcome_unknown",
        }
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let (status, code, detail) = (self.status(), self.code(), self.to_string());
        let current = match self {
            Self::Conflict(current) => current.map(|current| *current),
            _ => None,
        };
        let body = resource::Problem { code: code.into(), detail, current };
        (status, Json(body)).into_response()
    }
}
