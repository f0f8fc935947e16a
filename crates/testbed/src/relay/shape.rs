//! Simulates one direction of a link: delay, jitter, loss, duplication, reordering and limited bandwidth.
use crate::clock::{Ns, MS, SECOND};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Extra delay of a lost stream segment: the minimum retransmission timeout of Linux.
pub const RETRANSMISSION_TIMEOUT: Ns = 200 * MS;
/// Extra delay of a reordered datagram, on top of the jitter, and the longest lag of a duplicate.
const REORDER_DELAY: Ns = 20 * MS;

/// The properties of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Shape {
    /// Propagation delay.
    pub delay: Ns,
    /// Upper bound of a uniformly distributed extra delay, drawn for each segment or datagram.
    pub jitter: Ns,
    /// Probability of loss. A lost datagram never arrives; a lost stream segment is retransmitted.
    pub loss: f64,
    /// Probability that a datagram arrives twice.
    pub duplicate: f64,
    /// Probability that a datagram is delayed, so that later ones overtake it.
    pub reorder: f64,
    /// Bytes per second; unlimited if absent.
    pub bandwidth: Option<f64>,
    /// Whether the direction is cut: datagrams are lost, and a stream resumes after the cut.
    pub cut: bool,
}

/// The state of one direction of a connection or of a datagram flow.
pub struct Flow {
    random: ChaCha8Rng,
    /// When everything sent so far has been transmitted at the bandwidth.
    transmitter_free_at: Ns,
    /// When the latest segment of the stream so far arrives.
    last_arrival: Ns,
}

impl Flow {
    /// Starts an idle flow that draws jitter and losses from `random`.
    pub fn new(random: ChaCha8Rng) -> Flow {
        Flow { random, transmitter_free_at: Ns::MIN, last_arrival: Ns::MIN }
    }

    fn happens(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.random.random::<f64>() < probability
    }

    /// Arrival time of `bytes` sent at `now`, from transmission time, delay and jitter.
    fn arrival_without_loss(&mut self, now: Ns, bytes: usize, shape: &Shape) -> Ns {
        self.transmitter_free_at = self.transmitter_free_at.max(now);
        if let Some(bandwidth) = shape.bandwidth {
            self.transmitter_free_at += (bytes as f64 / bandwidth * SECOND as f64) as Ns;
        }
        let jitter = (self.random.random::<f64>() * shape.jitter as f64) as Ns;
        self.transmitter_free_at + shape.delay + jitter
    }

    /// Returns when the next segment of a stream arrives, which is never before an earlier segment.
    pub fn segment_arrival(&mut self, now: Ns, bytes: usize, shape: &Shape) -> Ns {
        let mut at = self.arrival_without_loss(now, bytes, shape);
        if self.happens(shape.loss) {
            at += RETRANSMISSION_TIMEOUT;
        }
        self.last_arrival = self.last_arrival.max(at);
        self.last_arrival
    }

    /// Returns the arrival times of a datagram: none if it is lost, two if it is duplicated.
    pub fn datagram_arrivals(&mut self, now: Ns, bytes: usize, shape: &Shape) -> [Option<Ns>; 2] {
        let at = self.arrival_without_loss(now, bytes, shape);
        if shape.cut || self.happens(shape.loss) {
            return [None, None];
        }
        let reorder_delay = if self.happens(shape.reorder) { REORDER_DELAY } else { 0 };
        let duplicate = self
            .happens(shape.duplicate)
            .then(|| at + reorder_delay + (REORDER_DELAY as f64 * self.random.random::<f64>()) as Ns);
        [Some(at + reorder_delay), duplicate]
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::seed::Seed;

    fn flow() -> Flow {
        Flow::new(Seed(9).stream("lane", 0))
    }

    #[test]
    fn stream_segments_arrive_in_order_despite_jitter_and_loss() {
        let shape = Shape { delay: 30 * MS, jitter: 50 * MS, loss: 0.2, ..Shape::default() };
        let mut flow = flow();
        let times: Vec<Ns> = (0..500).map(|i| flow.segment_arrival(i * MS, 100, &shape)).collect();
        assert!(times.is_sorted());
        assert!(times.iter().enumerate().all(|(i, at)| *at >= i as Ns * MS + 30 * MS));
        assert!(times[0] < 80 * MS + RETRANSMISSION_TIMEOUT);
        assert!(times[499] > 499 * MS + 80 * MS, "a lost segment delays the segments after it");
    }

    #[test]
    fn bandwidth_limits_the_sum_of_all_segments() {
        let shape = Shape { bandwidth: Some(10_000.0), ..Shape::default() };
        let mut flow = flow();
        let last = (0..50).map(|_| flow.segment_arrival(0, 1_000, &shape)).max();
        assert_eq!(last, Some(5 * SECOND));
        assert_eq!(
            flow.segment_arrival(60 * SECOND, 1_000, &shape),
            60 * SECOND + 100 * MS,
            "bandwidth unused while idle must not accumulate"
        );
    }

    #[test]
    fn datagram_faults_match_their_probabilities_and_repeat_with_the_seed() {
        let shape = Shape { loss: 0.3, duplicate: 0.2, reorder: 0.1, delay: MS, ..Shape::default() };
        let send = || {
            let mut flow = flow();
            (0..4_000).map(|i| flow.datagram_arrivals(i * MS, 100, &shape)).collect::<Vec<_>>()
        };
        let sent = send();
        let share =
            |is: &dyn Fn(&[Option<Ns>; 2]) -> bool| sent.iter().filter(|a| is(a)).count() as f64 / 4_000.0;
        assert!((share(&|a| a[0].is_none()) - 0.3).abs() < 0.03);
        assert!(
            (share(&|a| a[1].is_some()) - 0.14).abs() < 0.03,
            "a fifth of the datagrams that are not lost"
        );
        let first: Vec<Ns> = sent.iter().filter_map(|a| a[0]).collect();
        assert!(!first.is_sorted());
        assert_eq!(sent, send());
        let cut = Shape { cut: true, ..shape };
        assert_eq!(flow().datagram_arrivals(0, 100, &cut), [None, None]);
    }
}
