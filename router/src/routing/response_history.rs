//! The values of the last responses on a connection, by which a second copy of one of them is recognized.

/// Number of responses that are remembered for a connection.
const REMEMBERED_RESPONSES: usize = 4;

/// A value by its length and checksum. Different values with one fingerprint only cost a barrier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Fingerprint {
    length: usize,
    checksum: u32,
}

impl Fingerprint {
    fn of(value: &[u8]) -> Self {
        Fingerprint {
            length: value.len(),
            checksum: crc32fast::hash(value),
        }
    }
}

/// The last responses on a connection.
#[derive(Default)]
pub(super) struct ResponseHistory {
    /// Of the last values; the oldest is replaced first.
    fingerprints: [Option<Fingerprint>; REMEMBERED_RESPONSES],
    /// The position at which the next value is stored.
    next: usize,
    /// Whether there was any response, errors included.
    has_responses: bool,
}

impl ResponseHistory {
    /// Whether there was no response yet, so that no surplus one can come.
    pub(super) fn is_empty(&self) -> bool {
        !self.has_responses
    }

    /// Whether one of the last values equals this one.
    pub(super) fn contains(&self, value: &[u8]) -> bool {
        self.has_responses && self.fingerprints.contains(&Some(Fingerprint::of(value)))
    }

    /// Records a response; `None` for one without a value.
    pub(super) fn record(&mut self, value: Option<&[u8]>) {
        self.has_responses = true;
        if let Some(value) = value {
            self.fingerprints[self.next] = Some(Fingerprint::of(value));
            self.next = (self.next + 1) % REMEMBERED_RESPONSES;
        }
    }
}
