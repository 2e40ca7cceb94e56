//! How fast callers read their answers, and which answer is ended for lack of memory.

use toucan_types::FastHashMap;

/// Half-life of the bytes that a caller has taken.
const HALF_LIFE_MS: f64 = 2_000.0;
/// Time after which an answer may be ended, so that no caller is judged before it could read.
const MIN_AGE_MS: u64 = 2_000;

/// An answer that waits for memory ends only one whose caller reads this many times more slowly, so that
/// callers that are all slow do not end each other's answers.
const MUCH_SLOWER: f64 = 4.0;

/// Answer in a [`ReaderTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReaderId(u64);

/// Answer that is ended for lack of memory.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndedReader<T> {
    /// What ends it.
    pub handle: T,
    /// Bytes that were held for its caller.
    pub held_bytes: u64,
    /// Bytes that its caller has read, discounted by their age.
    pub recent_bytes: f64,
}

/// Answers that are read ahead of their callers. `T` is what ends one.
#[derive(Debug)]
pub struct ReaderTable<T> {
    next_id: u64,
    readers: FastHashMap<ReaderId, Reader<T>>,
}

#[derive(Debug)]
struct Reader<T> {
    began_ms: u64,
    held_bytes: u64,
    /// Bytes taken, discounted by their age as of `taken_at_ms`.
    recent_bytes: f64,
    taken_at_ms: u64,
    handle: T,
}

impl<T> Reader<T> {
    fn recent_bytes(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.taken_at_ms) as f64;
        self.recent_bytes * (-age_ms / HALF_LIFE_MS).exp2()
    }
}

impl<T> Default for ReaderTable<T> {
    fn default() -> Self {
        Self {
            next_id: 0,
            readers: FastHashMap::default(),
        }
    }
}

impl<T> ReaderTable<T> {
    /// Adds an answer that begins.
    pub fn begin(&mut self, handle: T, now_ms: u64) -> ReaderId {
        let id = ReaderId(self.next_id);
        self.next_id += 1;
        let reader = Reader {
            began_ms: now_ms,
            held_bytes: 0,
            recent_bytes: 0.0,
            taken_at_ms: now_ms,
            handle,
        };
        self.readers.insert(id, reader);
        id
    }

    /// Sets the bytes that are held for the caller of an answer.
    pub fn set_held(&mut self, id: ReaderId, bytes: u64) {
        if let Some(reader) = self.readers.get_mut(&id) {
            reader.held_bytes = bytes;
        }
    }

    /// Records that the caller of an answer has taken bytes.
    pub fn record_taken(&mut self, id: ReaderId, bytes: u64, now_ms: u64) {
        if let Some(reader) = self.readers.get_mut(&id) {
            reader.recent_bytes = reader.recent_bytes(now_ms) + bytes as f64;
            reader.taken_at_ms = now_ms;
        }
    }

    /// Removes an answer that has ended.
    pub fn end(&mut self, id: ReaderId) {
        self.readers.remove(&id);
    }

    /// Returns the number of answers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.readers.len()
    }

    /// Returns whether there is no answer.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.readers.is_empty()
    }

    /// Removes and returns the answer whose caller has read least for longest, of those for which bytes are
    /// held; [`None`] if all are too young to tell.
    pub fn take_slowest(&mut self, now_ms: u64) -> Option<EndedReader<T>> {
        self.take_slower_than(f64::INFINITY, now_ms)
    }

    /// Does the same for an answer that waits for memory; [`None`] if no caller reads much more slowly than
    /// its own.
    pub fn take_much_slower(&mut self, waiting: ReaderId, now_ms: u64) -> Option<EndedReader<T>> {
        let recent_bytes = self.readers.get(&waiting)?.recent_bytes(now_ms);
        self.take_slower_than(recent_bytes / MUCH_SLOWER, now_ms)
    }

    fn take_slower_than(&mut self, max_bytes: f64, now_ms: u64) -> Option<EndedReader<T>> {
        let candidates = self.readers.iter().filter(|(_id, reader)| {
            reader.held_bytes > 0
                && now_ms >= reader.began_ms + MIN_AGE_MS
                && reader.recent_bytes(now_ms) < max_bytes
        });
        let slowest = candidates.min_by(|(_, a), (_, b)| {
            a.recent_bytes(now_ms)
                .total_cmp(&b.recent_bytes(now_ms))
                .then(a.taken_at_ms.cmp(&b.taken_at_ms))
                .then(b.held_bytes.cmp(&a.held_bytes))
        });
        let id = *slowest?.0;
        let reader = self.readers.remove(&id)?;
        Some(EndedReader {
            held_bytes: reader.held_bytes,
            recent_bytes: reader.recent_bytes(now_ms),
            handle: reader.handle,
        })
    }
}
