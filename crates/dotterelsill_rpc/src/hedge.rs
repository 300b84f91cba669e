//! Hedged calls: further attempts are made while the earlier ones are slow.

use std::{
    future::{
        poll_fn,
        Future, //
    },
    pin::Pin,
    task::Poll,
    time::Duration, //
};

use async_io::Timer;

/// An attempt that has not started.
pub type Attempt<'a, T, E> = Pin<Box<dyn Future<Output = Result<T, E>> + Send + 'a>>;

/// Makes attempts in order and returns the first success, or the last error if all of
/// them fail.
///
/// The next attempt starts when a running one fails, or `delay` after the previous
/// one started. Earlier attempts keep running meanwhile; those that are unfinished
/// when the function returns are dropped.
///
/// # Panics
///
/// Panics if `attempts` is empty.
pub async fn hedged<T, E>(
    attempts: impl IntoIterator<Item = Attempt<'_, T, E>>,
    delay: Duration,
) -> Result<T, E> {
    let mut waiting = attempts.into_iter();
    let mut running: Vec<Attempt<'_, T, E>> = Vec::new();
    let mut last_error = None;
    let mut next_begins = Timer::after(Duration::ZERO);
    poll_fn(|context| loop {
        let mut index = 0;
        let mut has_failed = false;
        while index < running.len() {
            match running[index].as_mut().poll(context) {
                Poll::Ready(Ok(value)) => return Poll::Ready(Ok(value)),
                Poll::Ready(Err(error)) => {
                    last_error = Some(error);
                    has_failed = true;
                    drop(running.swap_remove(index));
                }
                Poll::Pending => index += 1,
            }
        }
        if !has_failed && Pin::new(&mut next_begins).poll(context).is_pending() {
            return Poll::Pending;
        }
        match waiting.next() {
            Some(attempt) => {
                running.push(attempt);
                next_begins.set_after(delay);
            }
            None => {
                next_begins = Timer::never();
                if running.is_empty() {
                    let error = last_error.take().expect("at least one attempt is made");
                    return Poll::Ready(Err(error));
                }
            }
        }
    })
    .await
}
