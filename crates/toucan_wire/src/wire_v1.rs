//! Frame version 1: heartbeats describe only their sender, and there are no hints.

use serde::{Deserialize, Serialize};
use toucan_types::{BudgetName, IncarnationId, Offset, Tokens};

use crate::wire_v2::{IntroductionWire, ShardEntriesWire, ShutdownNoticeWire, StateWire};
use crate::{Heartbeat, LoadHint, Request};

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct HeartbeatWire {
    sender: IntroductionWire,
    state: StateWire,
    document_offset: Offset,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum RequestWire {
    Heartbeat(Box<HeartbeatWire>),
    Journal(Vec<ShardEntriesWire>),
    GrantsPushed(Vec<ShardEntriesWire>),
    AskGrant { budget: BudgetName, tokens: Tokens },
    DocumentSince { from: Offset, limit: u32 },
    Leaving(ShutdownNoticeWire),
    Farewell(ShutdownNoticeWire),
}

/// The request cannot be expressed in frame version 1.
#[derive(Debug)]
pub(crate) struct NotInVersion1;

impl TryFrom<Request> for RequestWire {
    type Error = NotInVersion1;

    fn try_from(request: Request) -> Result<Self, NotInVersion1> {
        Ok(match request {
            Request::Heartbeat(heartbeat) => Self::Heartbeat(Box::new((*heartbeat).into())),
            Request::Journal(entries) => {
                Self::Journal(entries.into_iter().map(Into::into).collect())
            }
            Request::GrantsPushed(entries) => {
                Self::GrantsPushed(entries.into_iter().map(Into::into).collect())
            }
            Request::AskGrant { budget, tokens, to } if to == IncarnationId::default() => {
                Self::AskGrant { budget, tokens }
            }
            Request::DocumentSince { from, limit } => Self::DocumentSince { from, limit },
            Request::Leaving(notice) => Self::Leaving(notice.into()),
            Request::Shutdown(notice) => Self::Farewell(notice.into()),
            // Version 1 cannot name the incarnation that receives the tokens.
            Request::AskGrant { .. } | Request::Hints(_) => return Err(NotInVersion1),
        })
    }
}

impl From<RequestWire> for Request {
    fn from(wire: RequestWire) -> Self {
        match wire {
            RequestWire::Heartbeat(heartbeat) => Self::Heartbeat(Box::new((*heartbeat).into())),
            RequestWire::Journal(entries) => {
                Self::Journal(entries.into_iter().map(Into::into).collect())
            }
            RequestWire::GrantsPushed(entries) => {
                Self::GrantsPushed(entries.into_iter().map(Into::into).collect())
            }
            RequestWire::AskGrant { budget, tokens } => Self::AskGrant {
                budget,
                tokens,
                to: IncarnationId::default(),
            },
            RequestWire::DocumentSince { from, limit } => Self::DocumentSince { from, limit },
            RequestWire::Leaving(notice) => Self::Leaving(notice.into()),
            RequestWire::Farewell(notice) => Self::Shutdown(notice.into()),
        }
    }
}

impl From<Heartbeat> for HeartbeatWire {
    fn from(heartbeat: Heartbeat) -> Self {
        Self {
            sender: heartbeat.sender.into(),
            state: heartbeat.state.into(),
            document_offset: heartbeat.document_offset,
        }
    }
}

impl From<HeartbeatWire> for Heartbeat {
    fn from(wire: HeartbeatWire) -> Self {
        Self {
            sender: wire.sender.into(),
            state: wire.state.into(),
            load: LoadHint::default(),
            document_offset: wire.document_offset,
            members: Vec::new(),
            data_centres: Vec::new(),
            introductions: Vec::new(),
        }
    }
}
