//! When and whether what is sent over one way of a link arrives: delay, jitter, loss, doubles, disorder, bandwidth.
use crate::clock::{Ns, MS, SECOND};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// What a lost segment of a stream costs: the least retransmission time-out of Linux.
pub const RETRANSMIT: Ns = 200 * MS;
/// By how much a datagram that is put out of order is held back, beyond the jitter.
const BEHIND: Ns = 20 * MS;

/// One way of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Shape {
    pub delay: Ns,
    /// Up to so much more, drawn for each.
    pub jitter: Ns,
    /// Share that is lost: of datagrams for good, of a stream's segments until they are sent again.
    pub loss: f64,
    /// Shares of datagrams that come twice, and later than their followers.
    pub duplicate: f64,
    pub disorder: f64,
    /// Bytes a second; any number if absent.
    pub bandwidth: Option<f64>,
    /// Nothing passes. Datagrams are lost; a stream goes on where it was once it is over.
    pub cut: bool,
}

/// The state of one way of one connection, or of one flow of datagrams.
pub struct Lane {
    random: ChaCha8Rng,
    /// When the wire has passed what was sent so far.
    free: Ns,
    /// When the last part of the stream arrives.
    last: Ns,
}

impl Lane {
    pub fn new(random: ChaCha8Rng) -> Lane {
        Lane { random, free: Ns::MIN, last: Ns::MIN }
    }

    fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.random.random::<f64>() < share
    }

    /// When `bytes` sent at `now` have passed the wire, and the way to the other end.
    fn passes(&mut self, now: Ns, bytes: usize, shape: &Shape) -> Ns {
        self.free = self.free.max(now);
        if let Some(bandwidth) = shape.bandwidth {
            self.free += (bytes as f64 / bandwidth * SECOND as f64) as Ns;
        }
        let jitter = (self.random.random::<f64>() * shape.jitter as f64) as Ns;
        self.free + shape.delay + jitter
    }

    /// When the next part of a stream arrives: never before an earlier one.
    pub fn segment(&mut self, now: Ns, bytes: usize, shape: &Shape) -> Ns {
        let mut at = self.passes(now, bytes, shape);
        if self.chance(shape.loss) {
            at += RETRANSMIT;
        }
        self.last = self.last.max(at);
        self.last
    }

    /// When a datagram arrives: not at all, once, or twice.
    pub fn datagram(&mut self, now: Ns, bytes: usize, shape: &Shape) -> [Option<Ns>; 2] {
        let at = self.passes(now, bytes, shape);
        if shape.cut || self.chance(shape.loss) {
            return [None, None];
        }
        let behind = if self.chance(shape.disorder) { BEHIND } else { 0 };
        let twice = self
            .chance(shape.duplicate)
            .then(|| at + behind + (BEHIND as f64 * self.random.random::<f64>()) as Ns);
        [Some(at + behind), twice]
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::seed::Seed;

    fn lane() -> Lane {
        Lane::new(Seed(9).stream("lane", 0))
    }

    #[test]
    fn a_stream_keeps_its_order_whatever_its_jitter_and_losses() {
        let shape = Shape { delay: 30 * MS, jitter: 50 * MS, loss: 0.2, ..Shape::default() };
        let mut lane = lane();
        let times: Vec<Ns> = (0..500).map(|i| lane.segment(i * MS, 100, &shape)).collect();
        assert!(times.is_sorted());
        assert!(times.iter().enumerate().all(|(i, at)| *at >= i as Ns * MS + 30 * MS));
        assert!(times[0] < 80 * MS + RETRANSMIT);
        assert!(times[499] > 499 * MS + 80 * MS, "losses stall what follows");
    }

    #[test]
    fn bandwidth_is_shared_by_all_that_is_sent() {
        let shape = Shape { bandwidth: Some(10_000.0), ..Shape::default() };
        let mut lane = lane();
        let last = (0..50).map(|_| lane.segment(0, 1_000, &shape)).max();
        assert_eq!(last, Some(5 * SECOND));
        assert_eq!(
            lane.segment(60 * SECOND, 1_000, &shape),
            60 * SECOND + 100 * MS,
            "idle time is not saved up"
        );
    }

    #[test]
    fn datagrams_are_lost_doubled_and_disordered_as_often_as_asked_for_and_alike_each_time() {
        let shape = Shape { loss: 0.3, duplicate: 0.2, disorder: 0.1, delay: MS, ..Shape::default() };
        let send = || {
            let mut lane = lane();
            (0..4_000).map(|i| lane.datagram(i * MS, 100, &shape)).collect::<Vec<_>>()
        };
        let sent = send();
        let share =
            |is: &dyn Fn(&[Option<Ns>; 2]) -> bool| sent.iter().filter(|a| is(a)).count() as f64 / 4_000.0;
        assert!((share(&|a| a[0].is_none()) - 0.3).abs() < 0.03);
        assert!((share(&|a| a[1].is_some()) - 0.14).abs() < 0.03, "a fifth of what is not lost");
        let first: Vec<Ns> = sent.iter().filter_map(|a| a[0]).collect();
        assert!(!first.is_sorted());
        assert_eq!(sent, send());
        let cut = Shape { cut: true, ..shape };
        assert_eq!(lane().datagram(0, 100, &cut), [None, None]);
    }
}
