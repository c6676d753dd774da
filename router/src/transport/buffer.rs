//! Byte queues whose memory goes back to the operating system once they are empty.
//!
//! A short message is held in one chunk of the heap. A longer one is held in pages of its own that are mapped for it.
//! On the heap, long blocks of many lengths between small ones that stay would leave gaps, which an allocator keeps.

use std::io;
use std::rc::Rc;

use memmap2::{Advice, MmapMut};

use super::memory_ledger::{BufferOwner, MemoryLedger};

/// The length of the block of the heap in which a buffer begins, in bytes.
pub const CHUNK_BYTES: usize = 4096;
/// The least length of a mapping, in bytes. Only pages that are written to take memory.
const MIN_MAPPING_BYTES: usize = 80 * 1024;

/// Where the bytes of a buffer are.
enum Storage {
    Empty,
    Heap(Box<[u8]>),
    Pages {
        map: MmapMut,
        /// The bytes from its beginning that were written to, and so take memory, rounded up to whole pages.
        touched: usize,
    },
}

/// A queue of bytes: bytes are appended at its end and consumed at its beginning.
pub struct Buffer {
    owner: BufferOwner,
    ledger: Rc<MemoryLedger>,
    storage: Storage,
    /// The position of the first byte that is not consumed.
    start: usize,
    /// The position behind the last byte.
    end: usize,
}

/// A length rounded up to whole pages.
fn whole_pages(bytes: usize) -> usize {
    bytes.next_multiple_of(rustix::param::page_size())
}

impl Buffer {
    /// An empty buffer, which holds no memory.
    pub fn new(owner: BufferOwner, ledger: &Rc<MemoryLedger>) -> Self {
        Buffer {
            owner,
            ledger: ledger.clone(),
            storage: Storage::Empty,
            start: 0,
            end: 0,
        }
    }

    /// The bytes that are not consumed.
    pub fn data(&self) -> &[u8] {
        &self.block()[self.start..self.end]
    }

    /// The number of bytes that are not consumed.
    pub fn len(&self) -> usize {
        self.end - self.start
    }

    /// Whether all bytes are consumed.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// The bytes of memory that it holds.
    pub fn held(&self) -> usize {
        match &self.storage {
            Storage::Empty => 0,
            Storage::Heap(block) => block.len(),
            Storage::Pages { touched, .. } => *touched,
        }
    }

    /// Consumes the first `length` bytes, or all where there are fewer. Releases the memory where none is left.
    pub fn consume(&mut self, length: usize) {
        self.start = self.start.saturating_add(length).min(self.end);
        if self.is_empty() {
            self.release();
        }
    }

    /// Releases the memory of an empty buffer.
    pub(super) fn release_if_empty(&mut self) {
        if self.is_empty() {
            self.release();
        }
    }

    /// Appends bytes, whether or not the budget allows it.
    pub fn append(&mut self, bytes: &[u8]) {
        self.make_room(bytes.len());
        let end = self.end + bytes.len();
        let start = self.end;
        self.block_mut()[start..end].copy_from_slice(bytes);
        self.advance(bytes.len());
    }

    /// Makes room for `length` bytes in a buffer that is empty, and takes no more memory than they need.
    pub fn reserve_exact(&mut self, length: usize) {
        if matches!(self.storage, Storage::Empty) && length > 0 && length <= CHUNK_BYTES {
            self.replace(Storage::Heap(vec![0; length].into()));
        }
    }

    /// Room behind the last byte for up to `length` more, at least one; none where the budget does not allow it.
    /// [`Buffer::advance`] must follow.
    pub(super) fn spare(&mut self, length: usize) -> Option<&mut [u8]> {
        if self.block().len() == self.end {
            let grows_beyond_chunk = self.start == 0 && !matches!(self.storage, Storage::Empty);
            if grows_beyond_chunk && self.ledger.allowance(self.owner) < CHUNK_BYTES {
                return None;
            }
            self.make_room(1);
        }
        let end = (self.end + length).min(self.affordable_end());
        let start = self.end;
        (end > start).then(|| &mut self.block_mut()[start..end])
    }

    /// Counts the next `length` bytes of the room as written.
    pub(super) fn advance(&mut self, length: usize) {
        let before = self.held();
        self.end += length;
        if let Storage::Pages { touched, .. } = &mut self.storage {
            *touched = (*touched).max(whole_pages(self.end));
        }
        self.ledger.record(self.owner, before, self.held());
    }

    /// The position up to which bytes can be written within the block and the budget.
    fn affordable_end(&self) -> usize {
        match &self.storage {
            Storage::Pages { map, touched } => touched
                .saturating_add(self.ledger.allowance(self.owner))
                .min(map.len()),
            _ => self.block().len(),
        }
    }

    /// Makes room for `length` more bytes: by moving the bytes to the beginning, or by a longer block.
    fn make_room(&mut self, length: usize) {
        if self.block().len() - self.end >= length {
            return;
        }
        if self.block().len() - self.len() >= length {
            let unconsumed = self.start..self.end;
            self.block_mut().copy_within(unconsumed, 0);
            self.end -= self.start;
            self.start = 0;
            return;
        }
        let data = self.data();
        let storage = Storage::with_data(data, data.len() + length);
        self.end -= self.start;
        self.start = 0;
        self.replace(storage);
    }

    fn block(&self) -> &[u8] {
        match &self.storage {
            Storage::Empty => &[],
            Storage::Heap(block) => block,
            Storage::Pages { map, .. } => map,
        }
    }

    fn block_mut(&mut self) -> &mut [u8] {
        match &mut self.storage {
            Storage::Empty => &mut [],
            Storage::Heap(block) => block,
            Storage::Pages { map, .. } => map,
        }
    }

    fn release(&mut self) {
        self.start = 0;
        self.end = 0;
        self.replace(Storage::Empty);
    }

    fn replace(&mut self, storage: Storage) {
        let before = self.held();
        self.storage = storage;
        self.ledger.record(self.owner, before, self.held());
    }
}

impl Storage {
    /// A block of at least `length` bytes that begins with these bytes.
    fn with_data(data: &[u8], length: usize) -> Self {
        if length <= CHUNK_BYTES {
            return Self::on_heap(data, CHUNK_BYTES);
        }
        // Doubled, so that appending many times copies each byte a bounded number of times.
        let length = whole_pages(length.max(MIN_MAPPING_BYTES).max(2 * data.len()));
        // Where nothing can be mapped, the heap may still have room.
        let Ok(mut map) = MmapMut::map_anon(length) else {
            return Self::on_heap(data, length);
        };
        // Neighboring mappings could otherwise share a huge page, which takes memory that no buffer has written to.
        let _ = map.advise(Advice::NoHugePage);
        map[..data.len()].copy_from_slice(data);
        Storage::Pages {
            map,
            touched: whole_pages(data.len()),
        }
    }

    fn on_heap(data: &[u8], length: usize) -> Self {
        let mut block = vec![0; length];
        block[..data.len()].copy_from_slice(data);
        Storage::Heap(block.into())
    }
}

impl io::Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.append(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.ledger.record(self.owner, self.held(), 0);
    }
}

#[cfg(test)]
mod tests;
