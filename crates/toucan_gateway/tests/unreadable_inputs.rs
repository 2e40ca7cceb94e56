//! Guards against bytes of others that end the process which reads them, and every other one after it.

use proptest::prelude::*;
use test_case::test_case;
use toucan_gateway::{
    budget::{GrantKey, GrantRecord},
    peers::{Datagram, MemberEntry},
    poison::PoisonVerdict,
};

/// Length of the authentication code before the content of a datagram.
const MAC_BYTES: usize = 16;
/// Encodes a length of 8 bytes that follow.
const LENGTH_OF_8_BYTES: u8 = 253;

/// Returns content that begins with a text of `length` bytes, of which none follow.
fn text_of_length(length: u64) -> Vec<u8> {
    let mut bytes = vec![LENGTH_OF_8_BYTES];
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes
}

#[test_case(1 << 40; "more than there is memory")]
#[test_case(1 << 62; "more than there are addresses")]
#[test_case(u64::MAX; "the largest length")]
fn length_that_the_sender_claims_is_not_believed(length: u64) {
    let content = text_of_length(length);
    let datagram = [vec![0; MAC_BYTES], content.clone()].concat();
    assert!(Datagram::decode(&datagram, |_vm, _start| None).is_err());
    assert!(MemberEntry::decode(&content).is_err());
    assert!(GrantRecord::decode(&content).is_err());
}

proptest! {
    #[test]
    fn bytes_that_are_no_message_are_refused(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let key_of = |_vm: &_, _start| Some([0; 32]);
        prop_assert!(Datagram::decode(&bytes, key_of).is_err());
    }

    #[test]
    fn bytes_that_are_no_record_end_nothing(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _entry = MemberEntry::decode(&bytes);
        let _record = GrantRecord::decode(&bytes);
        let _verdict = PoisonVerdict::decode(&bytes);
    }

    #[test]
    fn text_that_is_no_key_ends_nothing(text in ".{0,60}") {
        let _key = GrantKey::decode(&text);
    }
}
