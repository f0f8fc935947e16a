//! Tests of how many connections clients may have.
use super::*;

/// Guards against a number of connections that follows from descriptors alone.
#[test]
fn connections_fit_into_their_memory() {
    for descriptors in [0, 40, 232, 1_000, 4_072, 100_000] {
        for memory_bytes in [1 << 20, 10 << 20, 60 << 20] {
            let limits = ConnectionLimits::new(descriptors, memory_bytes);
            let connections = limits.served + limits.rejected;
            assert!(connections * CONNECTION_BYTES <= memory_bytes, "{limits:?} in {memory_bytes}");
            assert!(connections <= descriptors * 9 / 16, "{limits:?} with {descriptors}");
            assert!(limits.rejected * 8 <= limits.served, "{limits:?}");
        }
    }
}

#[test]
fn connections_follow_from_descriptors_where_there_is_memory() {
    let limits = ConnectionLimits::new(1_000, 20 << 20);
    assert_eq!(limits, ConnectionLimits { served: 500, rejected: 62 });
}

/// Clients may hold a third of the descriptors for requests (TERMS), also of the most descriptors with the least
/// memory.
#[test]
fn third_of_descriptors_is_served_with_least_memory() {
    const DESCRIPTORS: usize = 1_024;
    const MEMORY_BYTES: usize = (32 << 20) * 5 / 16;
    assert!(ConnectionLimits::new(DESCRIPTORS - 24, MEMORY_BYTES).served >= DESCRIPTORS / 3);
}
