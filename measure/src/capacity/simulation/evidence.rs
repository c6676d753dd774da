//! How far evidence on the build on trial has come: what each router took in of its peers' messages, read from the
//! messages alone, as no router tells it.

#[cfg(test)]
mod tests;

/// Weight of one peer's message in what a router takes all to know; as the decision module has it.
const SIGHT: f64 = 0.15;
/// Marks that outcomes are scored by; the first one is read.
const MARKS: usize = 3;
/// Figures of a mark: two of the earlier build, two of the trial.
const FIGURES: usize = 4;

/// What is read of a message between routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedEvidence {
    pub build: u16,
    /// The sender has no figures of its own yet.
    pub fresh: bool,
    /// Outcomes of the trial, good and bad, over all operations.
    pub outcomes: f64,
}

impl ReceivedEvidence {
    /// None where the bytes are no such message.
    pub fn read(payload: &[u8]) -> Option<Self> {
        let ([_, fresh, low, high], body) = payload.split_first_chunk()?;
        let (figures, _) = body.as_chunks::<2>();
        let figure = |bytes: &[u8; 2]| {
            f64::from(f32::from_bits(u32::from(u16::from_le_bytes(*bytes)) << 16))
        };
        // The first two tell of the sender's traffic.
        let slots = figures.get(2..)?.chunks_exact(MARKS * FIGURES);
        let outcomes = slots.map(|slot| figure(&slot[2]) + figure(&slot[3])).sum();
        Some(ReceivedEvidence {
            build: u16::from_le_bytes([*low, *high]),
            fresh: *fresh == 1,
            outcomes,
        })
    }
}

#[derive(Clone, Copy, Default)]
struct Sight {
    build: u16,
    fresh: bool,
    outcomes: f64,
}

/// The sight of every router, and when it first held as much as is asked.
pub struct Evidence {
    sights: Vec<Sight>,
    /// The build whose evidence is measured.
    build: u16,
    reached: Vec<Option<f64>>,
}

impl Evidence {
    pub fn new(routers: usize) -> Self {
        Evidence {
            sights: vec![Sight::default(); routers],
            build: 0,
            reached: vec![None; routers],
        }
    }

    /// Measures anew from here on, for this build.
    pub fn begin(&mut self, build: u16) {
        self.build = build;
        self.reached.fill(None);
    }

    /// A router was told of a build; of another one it knows nothing yet.
    pub fn rollout_status(&mut self, router: usize, build: u16) {
        let sight = &mut self.sights[router];
        if sight.build != build {
            *sight = Sight {
                build,
                ..Sight::default()
            };
        }
    }

    pub fn restarted(&mut self, router: usize) {
        self.sights[router] = Sight::default();
    }

    /// A router sends its figures: from them it is known whether it has any of its own.
    pub fn sends(&mut self, router: usize, payload: &[u8]) {
        self.sights[router].fresh =
            ReceivedEvidence::read(payload).is_some_and(|received| received.fresh);
    }

    /// A router takes a message in; `enough` outcomes are asked.
    pub fn takes(&mut self, router: usize, payload: &[u8], now: f64, enough: f64) {
        let sight = &mut self.sights[router];
        let Some(received) =
            ReceivedEvidence::read(payload).filter(|received| received.build == sight.build)
        else {
            return;
        };
        let complete = sight.fresh && !received.fresh;
        sight.outcomes += if complete { 1.0 } else { SIGHT } * (received.outcomes - sight.outcomes);
        sight.fresh &= !complete;
        if sight.build == self.build && sight.outcomes >= enough && sight.outcomes > 0.0 {
            self.reached[router].get_or_insert(now);
        }
    }

    /// When these parts of the routers had been reached, of those that are counted; none: never.
    pub fn reach<const N: usize>(
        &self,
        parts: [f64; N],
        counts: impl Fn(usize) -> bool,
    ) -> [Option<f64>; N] {
        let counted = (0..self.reached.len()).filter(|router| counts(*router));
        let mut times: Vec<_> = counted
            .map(|router| self.reached[router].unwrap_or(f64::INFINITY))
            .collect();
        times.sort_by(f64::total_cmp);
        parts.map(|part| {
            let place = (part * times.len() as f64).ceil().max(1.0) as usize - 1;
            times.get(place).copied().filter(|time| time.is_finite())
        })
    }
}
