//! Randomness from one seed: a stream of its own for each use, so that one more draw in one place moves no
//! other.
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seed(pub u64);

/// Names of uses hold at most so many bytes; what is past it would not tell two of them apart.
const NAME: usize = 16;

impl Seed {
    /// The stream for a use (`"arrivals"`, at most 16 bytes) and a number within it.
    pub fn stream(self, name: &str, index: u64) -> ChaCha8Rng {
        debug_assert!(name.len() <= NAME, "{name} is too long to name a stream");
        let mut bytes = [0; 32];
        bytes[..8].copy_from_slice(&self.0.to_le_bytes());
        bytes[8..16].copy_from_slice(&index.to_le_bytes());
        for (to, from) in bytes[16..].iter_mut().zip(name.bytes()) {
            *to = from;
        }
        ChaCha8Rng::from_seed(bytes)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::Rng;

    #[test]
    fn streams_repeat_and_differ_by_seed_name_and_number() {
        let draw = |seed, name, index| Seed(seed).stream(name, index).next_u64();
        assert_eq!(draw(1, "work", 0), draw(1, "work", 0));
        let all = [draw(1, "work", 0), draw(2, "work", 0), draw(1, "works", 0), draw(1, "work", 1)];
        for (i, a) in all.iter().enumerate() {
            assert!(all[..i].iter().all(|b| a != b), "{all:?}");
        }
    }
}
