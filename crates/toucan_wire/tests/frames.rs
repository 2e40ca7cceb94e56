//! Encoding and decoding of frames of each version, intact and corrupted.

use bytes::Bytes;
use proptest::prelude::*;
use toucan_types::{BudgetName, IncarnationId, Offset, ShardIndex, Tokens};
use toucan_wire::{
    DataCentreDigest, DocumentRecord, FrameError, Heartbeat, Introduction, LoadHint,
    MAX_FRAME_BYTES, MemberDigest, MemberState, NEWEST_FRAME_VERSION, OLDEST_FRAME_VERSION, Reply,
    Request, ShardEntries, ShutdownNotice, decode_reply, decode_request, encode_reply,
    encode_request,
};

fn introduction() -> impl Strategy<Value = Introduction> {
    (
        "[a-z0-9-]{0,20}",
        "[a-z0-9-]{0,20}",
        "[a-z]{0,9}",
        any::<([u8; 4], u16)>(),
        any::<u64>(),
    )
        .prop_map(
            |(vm, instance, data_centre, address, incarnation)| Introduction {
                vm: vm.into(),
                instance: instance.into(),
                data_centre: data_centre.into(),
                address: address.into(),
                incarnation: IncarnationId(incarnation),
            },
        )
}

fn state() -> impl Strategy<Value = MemberState> {
    prop_oneof![
        Just(MemberState::Live),
        Just(MemberState::Leaving),
        Just(MemberState::Suspect),
        Just(MemberState::Gone),
    ]
}

fn heartbeat() -> impl Strategy<Value = Heartbeat> {
    let member =
        (any::<u32>(), any::<u8>(), state()).prop_map(|(member, age_100_ms, state)| MemberDigest {
            member,
            age_100_ms,
            state,
        });
    let data_centre = any::<(u32, u8)>().prop_map(|(data_centre, age_100_ms)| DataCentreDigest {
        data_centre,
        age_100_ms,
    });
    (
        introduction(),
        state(),
        any::<(u32, u32, u64)>(),
        prop::collection::vec(member, 0..70),
        prop::collection::vec(data_centre, 0..8),
        prop::collection::vec(introduction(), 0..4),
    )
        .prop_map(
            |(sender, state, numbers, members, data_centres, introductions)| {
                let (running, waiting, offset) = numbers;
                Heartbeat {
                    sender,
                    state,
                    load: LoadHint { running, waiting },
                    document_offset: Offset(offset),
                    members,
                    data_centres,
                    introductions,
                }
            },
        )
}

fn data() -> impl Strategy<Value = Bytes> {
    prop::collection::vec(any::<u8>(), 0..200).prop_map(Bytes::from)
}

fn shards() -> impl Strategy<Value = Vec<ShardEntries>> {
    let entries =
        (any::<u16>(), prop::collection::vec(data(), 0..4)).prop_map(|(shard, entries)| {
            ShardEntries {
                shard: ShardIndex(shard),
                entries,
            }
        });
    prop::collection::vec(entries, 0..4)
}

fn shutdown_notice() -> impl Strategy<Value = ShutdownNotice> {
    (introduction(), shards()).prop_map(|(sender, entries)| ShutdownNotice {
        vm: sender.vm,
        instance: sender.instance,
        incarnation: sender.incarnation,
        entries,
    })
}

fn request() -> impl Strategy<Value = Request> {
    prop_oneof![
        heartbeat().prop_map(|heartbeat| Request::Heartbeat(Box::new(heartbeat))),
        shards().prop_map(Request::Journal),
        shards().prop_map(Request::GrantsPushed),
        ("[a-z]{0,9}", any::<(u64, u64)>()).prop_map(|(budget, (tokens, to))| Request::AskGrant {
            budget: BudgetName::from(budget),
            tokens: Tokens(tokens),
            to: IncarnationId(to),
        }),
        any::<(u64, u32)>().prop_map(|(from, limit)| Request::DocumentSince {
            from: Offset(from),
            limit,
        }),
        shutdown_notice().prop_map(Request::Leaving),
        shutdown_notice().prop_map(Request::Shutdown),
        shards().prop_map(Request::Hints),
    ]
}

fn reply() -> impl Strategy<Value = Reply> {
    let record = (any::<(u64, u64)>(), data()).prop_map(|((offset, at_ms), data)| DocumentRecord {
        offset: Offset(offset),
        appended_at_ms: at_ms,
        data,
    });
    prop_oneof![
        Just(Reply::Done),
        shards().prop_map(|acknowledgements| Reply::Journaled { acknowledgements }),
        ("[a-z]{0,9}", any::<u64>(), data()).prop_map(|(budget, tokens, transfer)| {
            Reply::GrantTransferred {
                budget: BudgetName::from(budget),
                tokens: Tokens(tokens),
                transfer,
            }
        }),
        (prop::collection::vec(record, 0..5), any::<u64>()).prop_map(|(records, next)| {
            Reply::Document {
                records,
                next_offset: Offset(next),
            }
        }),
        ".{0,40}".prop_map(|reason| Reply::Refused { reason }),
        heartbeat().prop_map(|heartbeat| Reply::Heartbeat(Box::new(heartbeat))),
    ]
}

/// Returns what remains of a request after encoding in version 1.
fn in_version_1(request: Request) -> Request {
    let Request::Heartbeat(heartbeat) = request else {
        return request;
    };
    Request::Heartbeat(Box::new(Heartbeat {
        load: LoadHint::default(),
        members: Vec::new(),
        data_centres: Vec::new(),
        introductions: Vec::new(),
        ..*heartbeat
    }))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: prop::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn messages_round_trip_through_frames(request in request(), reply in reply()) {
        let frame = encode_request(&request, NEWEST_FRAME_VERSION)?;
        prop_assert_eq!(decode_request(&frame)?, (request, NEWEST_FRAME_VERSION));
        let frame = encode_reply(&reply, NEWEST_FRAME_VERSION)?;
        prop_assert_eq!(decode_reply(&frame)?, reply);
    }

    #[test]
    fn the_previous_version_is_encoded_and_decoded(request in request(), reply in reply()) {
        let frame = encode_request(&request, 1);
        let names_receiver = matches!(
            &request,
            Request::AskGrant { to, .. } if *to != IncarnationId::default()
        );
        if names_receiver || matches!(request, Request::Hints(_)) {
            prop_assert_eq!(frame, Err(FrameError::NotInVersion { version: 1 }));
        } else {
            prop_assert_eq!(decode_request(&frame?)?, (in_version_1(request), 1));
        }
        let decoded = decode_reply(&encode_reply(&reply, 1)?)?;
        let expected = match reply {
            Reply::Heartbeat(_) => Reply::Done,
            reply => reply,
        };
        prop_assert_eq!(decoded, expected);
    }

    #[test]
    fn random_bytes_do_not_panic_the_decoder(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let _ = decode_request(&bytes);
        let _ = decode_reply(&bytes);
        for version in OLDEST_FRAME_VERSION..=NEWEST_FRAME_VERSION {
            let mut frame = bytes.clone();
            frame.insert(0, version);
            let _ = decode_request(&frame);
            let _ = decode_reply(&frame);
        }
    }

    #[test]
    fn a_corrupted_frame_decodes_to_another_message_or_fails(
        request in request(),
        at in any::<prop::sample::Index>(),
        bit in 0..8,
    ) {
        let mut frame = encode_request(&request, NEWEST_FRAME_VERSION)?.to_vec();
        let at = at.index(frame.len());
        frame[at] ^= 1_u8 << bit;
        if let Ok((decoded, _)) = decode_request(&frame) {
            prop_assert_ne!(decoded, request);
        }
    }

    #[test]
    fn a_truncated_or_extended_frame_is_rejected(request in request(), cut in any::<prop::sample::Index>()) {
        let frame = encode_request(&request, NEWEST_FRAME_VERSION)?.to_vec();
        prop_assert!(decode_request(&frame[..cut.index(frame.len())]).is_err());
        let mut longer = frame;
        longer.push(0);
        prop_assert_eq!(
            decode_request(&longer),
            Err(FrameError::Trailing { extra_bytes: 1 })
        );
    }
}

#[test]
fn an_unsupported_version_is_reported_in_the_error() {
    for version in [0, 3, 255] {
        let unknown = FrameError::UnknownVersion { version };
        assert_eq!(decode_request(&[version, 0]), Err(unknown));
        assert_eq!(decode_reply(&[version, 0]), Err(unknown));
        assert_eq!(encode_reply(&Reply::Done, version), Err(unknown));
    }
    assert_eq!(decode_request(&[]), Err(FrameError::Empty));
}

#[test]
fn a_forged_length_allocates_no_memory() {
    // A journal of one shard with one entry of 2^62 bytes.
    let mut frame = vec![NEWEST_FRAME_VERSION, 1, 1, 0, 1, 253];
    frame.extend((1_u64 << 62).to_le_bytes());
    assert_eq!(decode_request(&frame), Err(FrameError::Malformed));
    // A list of 2^40 shards.
    let mut frame = vec![NEWEST_FRAME_VERSION, 1, 253];
    frame.extend((1_u64 << 40).to_le_bytes());
    assert_eq!(decode_request(&frame), Err(FrameError::Malformed));
    let size_bytes = MAX_FRAME_BYTES + 1;
    let frame = vec![NEWEST_FRAME_VERSION; size_bytes];
    assert_eq!(
        decode_request(&frame),
        Err(FrameError::TooLarge { size_bytes })
    );
}

/// Decodes frames recorded from the previous release, to detect changes of the format.
#[test]
fn recorded_frames_are_decoded() {
    let recorded: [(&[u8], Request); 2] = [
        (
            &[1, 3, 5, b'g', b'u', b'i', b'l', b'd', 251, 0x10, 0x27],
            Request::AskGrant {
                budget: BudgetName::from("guild"),
                tokens: Tokens(10_000),
                to: IncarnationId::default(),
            },
        ),
        (
            &[2, 4, 7, 100],
            Request::DocumentSince {
                from: Offset(7),
                limit: 100,
            },
        ),
    ];
    for (frame, request) in recorded {
        assert_eq!(decode_request(frame), Ok((request, frame[0])));
    }
}
