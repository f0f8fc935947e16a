//! Random streams from one seed: each use has its own, so that one more draw in one place changes no other.
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The seed of a play.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seed(pub u64);

/// Longest name of a stream. Bytes beyond it would not be part of the stream's seed.
const MAX_NAME_BYTES: usize = 16;

impl Seed {
    /// Returns the stream with a name of at most 16 bytes, such as `"arrivals"`, and a number.
    pub fn stream(self, name: &str, index: u64) -> ChaCha8Rng {
        debug_assert!(name.len() <= MAX_NAME_BYTES, "{name} is too long to name a stream");
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
    fn streams_depend_on_seed_name_and_number() {
        let draw = |seed, name, index| Seed(seed).stream(name, index).next_u64();
        assert_eq!(draw(1, "work", 0), draw(1, "work", 0));
        let all = [draw(1, "work", 0), draw(2, "work", 0), draw(1, "works", 0), draw(1, "work", 1)];
        for (i, a) in all.iter().enumerate() {
            assert!(all[..i].iter().all(|b| a != b), "{all:?}");
        }
    }
}
