//! Guards against two calls that are taken for the same one, and a call that is not recognised when it
//! comes again at another gateway.

use std::collections::BTreeSet;

use toucan_gateway::poison::CallIdentity;

const CALL: CallIdentity<'static> = CallIdentity {
    organisation: "o",
    method: "POST",
    host: "h.example",
    path: "/read/a?b",
    body: b"question",
};

#[test]
fn calls_that_differ_in_any_field_have_different_digests() {
    let calls = [
        CALL,
        CallIdentity {
            organisation: "p",
            ..CALL
        },
        CallIdentity {
            method: "PUT",
            ..CALL
        },
        CallIdentity {
            host: "i.example",
            ..CALL
        },
        CallIdentity {
            path: "/read/a?c",
            ..CALL
        },
        CallIdentity {
            body: b"another",
            ..CALL
        },
        CallIdentity { body: b"", ..CALL },
        // The same bytes, divided in another way.
        CallIdentity {
            path: "/read/a?",
            body: b"bquestion",
            ..CALL
        },
        CallIdentity {
            organisation: "oP",
            method: "OST",
            ..CALL
        },
    ];
    let digests: BTreeSet<_> = calls.iter().map(CallIdentity::digest).collect();
    assert_eq!(digests.len(), calls.len());
}

/// Gateways of two builds run side by side, and verdicts in the store outlive a build.
#[test]
fn digest_of_a_call_is_the_same_in_every_build() {
    assert_eq!(
        CALL.digest().to_string(),
        "06574bc01bba3162b468874aec9fb087"
    );
}
