//! Threads that run beside a test.
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{spawn, JoinHandle};

/// Runs something in threads until this is dropped.
pub struct Background {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Background {
    /// Starts threads that run until the flag that they get is set.
    pub fn start(count: usize, run: impl Fn(&AtomicBool) + Clone + Send + 'static) -> Background {
        let stop = Arc::<AtomicBool>::default();
        let start_one = |_| {
            let (run, stop) = (run.clone(), stop.clone());
            spawn(move || run(&stop))
        };
        Background { threads: (0..count).map(start_one).collect(), stop }
    }
}

impl Drop for Background {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.drain(..).for_each(|thread| thread.join().unwrap());
    }
}
