//! Bounds of what the claimant's side remembers.

use std::time::{
    Duration,
    Instant, //
};

use dotterelsill_claims::{
    Attempt,
    Event,
    Incarnation,
    Key,
    Origin,
    Outcome,
    Report,
    RunEnd,
    RunLimits,
    Runs,
    Step,
    UnknownReason, //
};

const HERE: Incarnation = Incarnation(1);
const PEER: Incarnation = Incarnation(2);

/// Runs the request of an identifier and returns the step at its start.
fn run(runs: &mut Runs<u8>, number: u8, bytes: usize, now: Instant) -> Step<u8> {
    let (mut attempt, step) = ask(runs, number, now);
    if step == Step::CheckAuthority {
        let dispatch = attempt.on_event(Event::Authority(true), runs, now);
        assert_eq!(dispatch, Some(Step::Dispatch));
        let answer = number;
        let end = Event::Ran(RunEnd::Answered { answer, bytes });
        attempt
            .on_event(end, runs, now)
            .expect("the run was dispatched");
    }
    step
}

fn ask(runs: &mut Runs<u8>, number: u8, now: Instant) -> (Attempt, Step<u8>) {
    let origin = Origin {
        incarnation: PEER,
        number: number.into(),
    };
    Attempt::from_peer(Key([number; 16]), HERE, origin, runs, now)
}

/// Guards against memory without a bound, and against a second run of an
/// identifier whose answer was dropped.
#[test]
fn dropped_answers_are_unknown_and_never_run_again() {
    let now = Instant::now();
    let answers_bytes = 100;
    let limits = RunLimits {
        answers_bytes,
        ..RunLimits::default()
    };
    let mut runs = Runs::new(HERE, limits);
    let dropped = Step::Finish(Outcome::Unknown(UnknownReason::AnswerDropped));
    run(&mut runs, 1, 60, now);
    run(&mut runs, 2, 60, now);
    assert_eq!(runs.answers_bytes(), 60);
    assert_eq!(run(&mut runs, 1, 60, now), dropped);
    assert_eq!(
        run(&mut runs, 2, 60, now),
        Step::Finish(Outcome::Answered(2))
    );
    let later = now + Duration::from_secs(600);
    runs.expire(later);
    assert_eq!(runs.answers_bytes(), 0);
    assert_eq!(run(&mut runs, 2, 60, later), dropped);
    // The claim is in the log for 2 h.
    let later = now + Duration::from_secs(7200);
    runs.expire(later);
    assert_eq!(run(&mut runs, 2, 60, later), dropped);
    runs.expire(now + Duration::from_secs(3 * 3600));
    assert_eq!(runs.identifiers(), 0);
}

/// Guards against an answer for a claim of an earlier incarnation.
#[test]
fn claims_of_other_incarnations_are_unknown() {
    let mut runs = Runs::new(HERE, RunLimits::default());
    run(&mut runs, 1, 1, Instant::now());
    let key = Key([1; 16]);
    assert_eq!(runs.report(HERE, key), Report::Answered(1));
    let gone = Report::Unknown(UnknownReason::ClaimantGone);
    assert_eq!(runs.report(PEER, key), gone);
    assert_eq!(runs.report(HERE, Key([2; 16])), Report::NotStarted);
}
