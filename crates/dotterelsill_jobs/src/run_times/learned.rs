//! Run times learned from runs that ended `done`.

use std::{
    collections::HashMap,
    time::Duration, //
};

/// Maximum number of pairs of queue and image whose ratio is kept.
const MAX_IMAGES: usize = 1024;

/// Number of runs that the mean extends over. It follows a change of an image within
/// some tens of runs.
const MEAN_RUNS: u32 = 16;

/// Bound on the distance of a sample from the mean, as a power of two. Of the runs 3%
/// take 7 times as long as the others, and must not raise the mean by much.
const MAX_DISTANCE_LOG2: f64 = 1.0;

/// Ratios of measured to estimated run times, by queue and image.
#[derive(Debug, Default)]
pub struct RunTimes {
    by_queue: HashMap<String, HashMap<String, Ratio>>,
    images: usize,
    /// Number of recorded runs.
    runs: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Ratio {
    /// Mean of the logarithms to base 2, so that half and double weigh the same.
    mean_log2: f64,
    /// Number of runs in the mean, up to [`MEAN_RUNS`]. The initial ratio of 1 counts as
    /// one more.
    count: u32,
    /// Number of the last run, to discard the ratio that was not updated for longest.
    last_run: u64,
}

impl RunTimes {
    /// Returns the time that a run is expected to take. It is the estimate until runs of
    /// the image have ended in the queue.
    pub fn expected(&self, queue: &str, image: &str, estimated: Duration) -> Duration {
        let images = self.by_queue.get(queue);
        let ratio = images.and_then(|images| images.get(image));
        ratio.map_or(estimated, |ratio| estimated.mul_f64(ratio.mean_log2.exp2()))
    }

    /// Records a run that has ended `done` and did not resume from a checkpoint.
    pub fn on_done(&mut self, queue: &str, image: &str, estimated: Duration, measured: Duration) {
        if estimated.is_zero() || measured.is_zero() {
            return;
        }
        self.runs += 1;
        let is_known = |images: &HashMap<String, Ratio>| images.contains_key(image);
        if !self.by_queue.get(queue).is_some_and(is_known) {
            if self.images >= MAX_IMAGES {
                self.discard_oldest();
            }
            self.images += 1;
        }
        let images = self.by_queue.entry(queue.to_owned()).or_default();
        let ratio = images.entry(image.to_owned()).or_default();
        let sample = (measured.as_secs_f64() / estimated.as_secs_f64()).log2();
        let distance = sample - ratio.mean_log2;
        let distance = distance.clamp(-MAX_DISTANCE_LOG2, MAX_DISTANCE_LOG2);
        ratio.count = (ratio.count + 1).min(MEAN_RUNS);
        ratio.mean_log2 += distance / f64::from(ratio.count + 1);
        ratio.last_run = self.runs;
    }

    fn discard_oldest(&mut self) {
        let all = self.by_queue.iter().flat_map(|(queue, images)| {
            let of_queue = images.iter();
            of_queue.map(move |(image, ratio)| (ratio.last_run, queue, image))
        });
        let Some((_, queue, image)) = all.min() else {
            return;
        };
        let (queue, image) = (queue.clone(), image.clone());
        if let Some(images) = self.by_queue.get_mut(&queue) {
            images.remove(&image);
            if images.is_empty() {
                self.by_queue.remove(&queue);
            }
        }
        self.images -= 1;
    }
}
