//! The budget of the memory that buffers hold, and how much of it is held by whom.

use std::cell::Cell;

/// What a buffer is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferOwner {
    /// Input of clients that is not consumed.
    ClientInput,
    /// Commands of admitted requests.
    Commands,
    /// Input from hosts that is not consumed.
    HostInput,
    /// Output to hosts that is not written, without the commands of requests.
    HostOutput,
    /// Replies that clients have not read.
    Replies,
    /// Messages of discovery and the platform. They belong to the budget of the endpoint list.
    Control,
}

impl BufferOwner {
    /// The number of owners.
    const COUNT: usize = 6;

    /// All owners whose buffers belong to the budget of the connections to clients and hosts.
    const WITHIN_BUDGET: [BufferOwner; 5] = [
        BufferOwner::ClientInput,
        BufferOwner::Commands,
        BufferOwner::HostInput,
        BufferOwner::HostOutput,
        BufferOwner::Replies,
    ];
}

/// The budget of the buffers of connections to clients and hosts, in bytes.
///
/// A buffer's first [`CHUNK_BYTES`](super::CHUNK_BYTES) are not limited: their number is bounded by the number of
/// connections, and [`BufferLimits::total`] leaves room for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferLimits {
    /// All owners together.
    pub total: usize,
    /// Input of clients.
    pub client_input: usize,
    /// Commands of admitted requests.
    pub commands: usize,
    /// Replies that clients have not read.
    pub replies: usize,
}

impl BufferLimits {
    /// No limit, for a process that has not read its configuration yet.
    pub(super) const UNLIMITED: Self = BufferLimits {
        total: usize::MAX,
        client_input: usize::MAX,
        commands: usize::MAX,
        replies: usize::MAX,
    };
}

/// Counts the bytes that buffers hold.
pub struct MemoryLedger {
    limits: BufferLimits,
    held: [Cell<usize>; BufferOwner::COUNT],
    has_released: Cell<bool>,
}

impl MemoryLedger {
    /// A ledger without any buffers.
    pub fn new(limits: BufferLimits) -> Self {
        MemoryLedger {
            limits,
            held: Default::default(),
            has_released: Cell::new(false),
        }
    }

    /// The bytes that the buffers of an owner hold.
    pub fn held(&self, owner: BufferOwner) -> usize {
        self.held[owner as usize].get()
    }

    /// How many more bytes the buffers of an owner may hold.
    ///
    /// Input from hosts may use all that the other owners leave: what it belongs to has been run already.
    pub fn allowance(&self, owner: BufferOwner) -> usize {
        let own_limit = match owner {
            BufferOwner::ClientInput => self.limits.client_input,
            BufferOwner::Commands => self.limits.commands,
            BufferOwner::Replies => self.limits.replies,
            BufferOwner::HostInput | BufferOwner::HostOutput => self.limits.total,
            BufferOwner::Control => return usize::MAX,
        };
        let total: usize = BufferOwner::WITHIN_BUDGET
            .map(|owner| self.held(owner))
            .iter()
            .sum();
        own_limit
            .saturating_sub(self.held(owner))
            .min(self.limits.total.saturating_sub(total))
    }

    /// Whether the buffers of an owner hold more than they may.
    pub fn is_over_limit(&self, owner: BufferOwner) -> bool {
        owner == BufferOwner::Replies && self.held(owner) > self.limits.replies
    }

    /// Whether memory was released since the last call.
    pub fn take_released(&self) -> bool {
        self.has_released.take()
    }

    /// Records that a buffer holds `after` bytes instead of `before`.
    pub(super) fn record(&self, owner: BufferOwner, before: usize, after: usize) {
        let held = &self.held[owner as usize];
        held.set(held.get() + after - before);
        if after < before {
            self.has_released.set(true);
        }
    }
}
