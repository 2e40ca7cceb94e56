//! Frame version 2, the newest.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use toucan_types::{
    BudgetName, DataCentreName, IncarnationId, Offset, ShardIndex, Tokens, VmInstance, VmName,
};

use crate::wire_bytes::WireBytes;
use crate::{
    DataCentreDigest, DocumentRecord, Heartbeat, Introduction, LoadHint, MemberDigest, MemberState,
    Reply, Request, ShardEntries, ShutdownNotice,
};

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) enum StateWire {
    Live,
    Leaving,
    Suspect,
    Gone,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct IntroductionWire {
    vm: VmName,
    instance: VmInstance,
    data_centre: DataCentreName,
    address: SocketAddr,
    incarnation: [u8; 8],
}

/// Encodes the hash with a fixed width, because hashes rarely fit the shorter forms of the
/// variable-width encoding.
#[derive(Debug, Serialize, Deserialize)]
struct MemberDigestWire {
    member: [u8; 4],
    age_100_ms: u8,
    state: StateWire,
}

#[derive(Debug, Serialize, Deserialize)]
struct DataCentreDigestWire {
    data_centre: [u8; 4],
    age_100_ms: u8,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct HeartbeatWire {
    sender: IntroductionWire,
    state: StateWire,
    running: u32,
    waiting: u32,
    document_offset: Offset,
    members: Vec<MemberDigestWire>,
    data_centres: Vec<DataCentreDigestWire>,
    introductions: Vec<IntroductionWire>,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ShardEntriesWire {
    shard: ShardIndex,
    entries: Vec<WireBytes>,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct DocumentRecordWire {
    offset: Offset,
    appended_at_ms: u64,
    data: WireBytes,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ShutdownNoticeWire {
    vm: VmName,
    instance: VmInstance,
    incarnation: [u8; 8],
    entries: Vec<ShardEntriesWire>,
}

/// Variants are encoded by position: new ones may only be added at the end.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum RequestWire {
    Heartbeat(Box<HeartbeatWire>),
    Journal(Vec<ShardEntriesWire>),
    GrantsPushed(Vec<ShardEntriesWire>),
    AskGrant {
        budget: BudgetName,
        tokens: Tokens,
        to: IncarnationId,
    },
    DocumentSince {
        from: Offset,
        limit: u32,
    },
    Leaving(ShutdownNoticeWire),
    Farewell(ShutdownNoticeWire),
    Hints(Vec<ShardEntriesWire>),
}

/// Variants are encoded by position: new ones may only be added at the end.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum ReplyWire {
    Done,
    Journaled(Vec<ShardEntriesWire>),
    Given {
        budget: BudgetName,
        tokens: Tokens,
        transfer: WireBytes,
    },
    Document {
        records: Vec<DocumentRecordWire>,
        next_offset: Offset,
    },
    Refused(String),
    Heartbeat(Box<HeartbeatWire>),
}

fn convert<T, U: From<T>>(list: Vec<T>) -> Vec<U> {
    list.into_iter().map(U::from).collect()
}

impl From<MemberState> for StateWire {
    fn from(state: MemberState) -> Self {
        match state {
            MemberState::Live => Self::Live,
            MemberState::Leaving => Self::Leaving,
            MemberState::Suspect => Self::Suspect,
            MemberState::Gone => Self::Gone,
        }
    }
}

impl From<StateWire> for MemberState {
    fn from(state: StateWire) -> Self {
        match state {
            StateWire::Live => Self::Live,
            StateWire::Leaving => Self::Leaving,
            StateWire::Suspect => Self::Suspect,
            StateWire::Gone => Self::Gone,
        }
    }
}

impl From<Introduction> for IntroductionWire {
    fn from(introduction: Introduction) -> Self {
        Self {
            vm: introduction.vm,
            instance: introduction.instance,
            data_centre: introduction.data_centre,
            address: introduction.address,
            incarnation: introduction.incarnation.0.to_le_bytes(),
        }
    }
}

impl From<IntroductionWire> for Introduction {
    fn from(wire: IntroductionWire) -> Self {
        Self {
            vm: wire.vm,
            instance: wire.instance,
            data_centre: wire.data_centre,
            address: wire.address,
            incarnation: IncarnationId(u64::from_le_bytes(wire.incarnation)),
        }
    }
}

impl From<MemberDigest> for MemberDigestWire {
    fn from(row: MemberDigest) -> Self {
        Self {
            member: row.member.to_le_bytes(),
            age_100_ms: row.age_100_ms,
            state: row.state.into(),
        }
    }
}

impl From<MemberDigestWire> for MemberDigest {
    fn from(wire: MemberDigestWire) -> Self {
        Self {
            member: u32::from_le_bytes(wire.member),
            age_100_ms: wire.age_100_ms,
            state: wire.state.into(),
        }
    }
}

impl From<DataCentreDigest> for DataCentreDigestWire {
    fn from(row: DataCentreDigest) -> Self {
        Self {
            data_centre: row.data_centre.to_le_bytes(),
            age_100_ms: row.age_100_ms,
        }
    }
}

impl From<DataCentreDigestWire> for DataCentreDigest {
    fn from(wire: DataCentreDigestWire) -> Self {
        Self {
            data_centre: u32::from_le_bytes(wire.data_centre),
            age_100_ms: wire.age_100_ms,
        }
    }
}

impl From<Heartbeat> for HeartbeatWire {
    fn from(heartbeat: Heartbeat) -> Self {
        Self {
            sender: heartbeat.sender.into(),
            state: heartbeat.state.into(),
            running: heartbeat.load.running,
            waiting: heartbeat.load.waiting,
            document_offset: heartbeat.document_offset,
            members: convert(heartbeat.members),
            data_centres: convert(heartbeat.data_centres),
            introductions: convert(heartbeat.introductions),
        }
    }
}

impl From<HeartbeatWire> for Heartbeat {
    fn from(wire: HeartbeatWire) -> Self {
        Self {
            sender: wire.sender.into(),
            state: wire.state.into(),
            load: LoadHint {
                running: wire.running,
                waiting: wire.waiting,
            },
            document_offset: wire.document_offset,
            members: convert(wire.members),
            data_centres: convert(wire.data_centres),
            introductions: convert(wire.introductions),
        }
    }
}

impl From<ShardEntries> for ShardEntriesWire {
    fn from(entries: ShardEntries) -> Self {
        Self {
            shard: entries.shard,
            entries: entries.entries.into_iter().map(WireBytes).collect(),
        }
    }
}

impl From<ShardEntriesWire> for ShardEntries {
    fn from(wire: ShardEntriesWire) -> Self {
        Self {
            shard: wire.shard,
            entries: wire.entries.into_iter().map(|entry| entry.0).collect(),
        }
    }
}

impl From<DocumentRecord> for DocumentRecordWire {
    fn from(record: DocumentRecord) -> Self {
        Self {
            offset: record.offset,
            appended_at_ms: record.appended_at_ms,
            data: WireBytes(record.data),
        }
    }
}

impl From<DocumentRecordWire> for DocumentRecord {
    fn from(wire: DocumentRecordWire) -> Self {
        Self {
            offset: wire.offset,
            appended_at_ms: wire.appended_at_ms,
            data: wire.data.0,
        }
    }
}

impl From<ShutdownNotice> for ShutdownNoticeWire {
    fn from(notice: ShutdownNotice) -> Self {
        Self {
            vm: notice.vm,
            instance: notice.instance,
            incarnation: notice.incarnation.0.to_le_bytes(),
            entries: convert(notice.entries),
        }
    }
}

impl From<ShutdownNoticeWire> for ShutdownNotice {
    fn from(wire: ShutdownNoticeWire) -> Self {
        Self {
            vm: wire.vm,
            instance: wire.instance,
            incarnation: IncarnationId(u64::from_le_bytes(wire.incarnation)),
            entries: convert(wire.entries),
        }
    }
}

impl From<Request> for RequestWire {
    fn from(request: Request) -> Self {
        match request {
            Request::Heartbeat(heartbeat) => Self::Heartbeat(Box::new((*heartbeat).into())),
            Request::Journal(entries) => Self::Journal(convert(entries)),
            Request::GrantsPushed(entries) => Self::GrantsPushed(convert(entries)),
            Request::AskGrant { budget, tokens, to } => Self::AskGrant { budget, tokens, to },
            Request::DocumentSince { from, limit } => Self::DocumentSince { from, limit },
            Request::Leaving(notice) => Self::Leaving(notice.into()),
            Request::Shutdown(notice) => Self::Farewell(notice.into()),
            Request::Hints(entries) => Self::Hints(convert(entries)),
        }
    }
}

impl From<RequestWire> for Request {
    fn from(wire: RequestWire) -> Self {
        match wire {
            RequestWire::Heartbeat(heartbeat) => Self::Heartbeat(Box::new((*heartbeat).into())),
            RequestWire::Journal(entries) => Self::Journal(convert(entries)),
            RequestWire::GrantsPushed(entries) => Self::GrantsPushed(convert(entries)),
            RequestWire::AskGrant { budget, tokens, to } => Self::AskGrant { budget, tokens, to },
            RequestWire::DocumentSince { from, limit } => Self::DocumentSince { from, limit },
            RequestWire::Leaving(notice) => Self::Leaving(notice.into()),
            RequestWire::Farewell(notice) => Self::Shutdown(notice.into()),
            RequestWire::Hints(entries) => Self::Hints(convert(entries)),
        }
    }
}

impl From<Reply> for ReplyWire {
    fn from(reply: Reply) -> Self {
        match reply {
            Reply::Done => Self::Done,
            Reply::Journaled { acknowledgements } => Self::Journaled(convert(acknowledgements)),
            Reply::GrantTransferred {
                budget,
                tokens,
                transfer,
            } => Self::Given {
                budget,
                tokens,
                transfer: WireBytes(transfer),
            },
            Reply::Document {
                records,
                next_offset,
            } => Self::Document {
                records: convert(records),
                next_offset,
            },
            Reply::Refused { reason } => Self::Refused(reason),
            Reply::Heartbeat(heartbeat) => Self::Heartbeat(Box::new((*heartbeat).into())),
        }
    }
}

impl From<ReplyWire> for Reply {
    fn from(wire: ReplyWire) -> Self {
        match wire {
            ReplyWire::Done => Self::Done,
            ReplyWire::Journaled(entries) => Self::Journaled {
                acknowledgements: convert(entries),
            },
            ReplyWire::Given {
                budget,
                tokens,
                transfer,
            } => Self::GrantTransferred {
                budget,
                tokens,
                transfer: transfer.0,
            },
            ReplyWire::Document {
                records,
                next_offset,
            } => Self::Document {
                records: convert(records),
                next_offset,
            },
            ReplyWire::Refused(reason) => Self::Refused { reason },
            ReplyWire::Heartbeat(heartbeat) => Self::Heartbeat(Box::new((*heartbeat).into())),
        }
    }
}
