//! Bounds of what the claimant's side remembers.

use std::time::{
    Duration,
    Instant, //
};

use dotterelsill_claims::{
    Attempt,
    AttemptId,
    ClaimReply,
    Event,
    Incarnation,
    Key,
    Outcome,
    RunEnd,
    RunLimits,
    RunStatus,
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
        let dispatch = attempt.on_event(Event::AuthorityChecked(true), runs, now);
        assert_eq!(dispatch, Some(Step::Dispatch));
        let answer = number;
        let end = Event::RunEnded(RunEnd::Answered { answer, bytes });
        attempt
            .on_event(end, runs, now)
            .expect("the run was dispatched");
    }
    step
}

fn ask(runs: &mut Runs<u8>, number: u8, now: Instant) -> (Attempt, Step<u8>) {
    let origin = AttemptId {
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
    let max_answer_bytes = 100;
    let limits = RunLimits {
        max_answer_bytes,
        ..RunLimits::default()
    };
    let mut runs = Runs::new(HERE, limits);
    let dropped = Step::Finish(Outcome::Unknown(UnknownReason::AnswerDropped));
    run(&mut runs, 1, 60, now);
    run(&mut runs, 2, 60, now);
    assert_eq!(runs.answer_bytes(), 60);
    assert_eq!(run(&mut runs, 1, 60, now), dropped);
    assert_eq!(
        run(&mut runs, 2, 60, now),
        Step::Finish(Outcome::Answered(2))
    );
    let later = now + Duration::from_secs(600);
    runs.expire(later);
    assert_eq!(runs.answer_bytes(), 0);
    assert_eq!(run(&mut runs, 2, 60, later), dropped);
    // The claim is in the log for 2 h.
    let later = now + Duration::from_secs(7200);
    runs.expire(later);
    assert_eq!(run(&mut runs, 2, 60, later), dropped);
    runs.expire(now + Duration::from_secs(3 * 3600));
    assert_eq!(runs.identifier_count(), 0);
}

/// Guards against an answer for a claim of an earlier incarnation.
#[test]
fn claims_of_other_incarnations_are_unknown() {
    let mut runs = Runs::new(HERE, RunLimits::default());
    run(&mut runs, 1, 1, Instant::now());
    let key = Key([1; 16]);
    assert_eq!(runs.status(HERE, key), RunStatus::Answered(1));
    let gone = RunStatus::Unknown(UnknownReason::ClaimantGone);
    assert_eq!(runs.status(PEER, key), gone);
    assert_eq!(runs.status(HERE, Key([2; 16])), RunStatus::NotStarted);
}

/// Guards against a second dispatch by an attempt that checked its authority
/// while another one did.
#[test]
fn attempts_that_check_at_once_dispatch_once() {
    let now = Instant::now();
    let mut runs = Runs::new(HERE, RunLimits::default());
    let (mut first, step) = ask(&mut runs, 1, now);
    let mut second = first.clone();
    assert_eq!(step, Step::CheckAuthority);
    let mut event = |attempt: &mut Attempt, event| attempt.on_event(event, &mut runs, now);
    let allowed = Event::AuthorityChecked(true);
    assert_eq!(event(&mut first, allowed.clone()), Some(Step::Dispatch));
    assert_eq!(event(&mut second, allowed), Some(Step::WaitForRun));
    let end = RunEnd::Answered {
        answer: 7,
        bytes: 1,
    };
    let answered = Some(Step::Finish(Outcome::Answered(7)));
    assert_eq!(event(&mut first, Event::RunEnded(end)), answered);
    assert_eq!(event(&mut second, Event::AwaitedRunEnded), answered);
    // An attempt that has ended takes no more events.
    assert_eq!(event(&mut second, Event::Deadline), None);
}

/// Guards against "not run" while the claimant may be running the request.
#[test]
fn silent_claimant_makes_the_outcome_unknown() {
    let now = Instant::now();
    for end in [Event::ClaimantUnreachable, Event::Deadline] {
        let mut runs = Runs::<u8>::new(HERE, RunLimits::default());
        let origin = AttemptId {
            incarnation: HERE,
            number: 1,
        };
        let (mut attempt, step) = Attempt::from_caller(Key([1; 16]), origin, &runs);
        assert_eq!(step, Step::RequestClaim);
        let claimed = Event::ClaimReply(ClaimReply::ClaimedBy(PEER));
        let asked = attempt.on_event(claimed, &mut runs, now);
        assert_eq!(asked, Some(Step::ForwardToClaimant(PEER)));
        let in_flight = attempt.on_event(Event::ClaimantReply(None), &mut runs, now);
        assert_eq!(in_flight, Some(Step::PollClaimant(PEER)));
        let ended = attempt.on_event(end, &mut runs, now);
        assert!(matches!(ended, Some(Step::Finish(Outcome::Unknown(_)))));
    }
}

/// Guards against a repeated message of a refused attempt that starts the
/// request after another attempt failed to send it.
#[test]
fn refused_attempt_stays_refused_after_a_failed_send() {
    let now = Instant::now();
    let mut runs = Runs::new(HERE, RunLimits::default());
    // Refused attempts are kept by incarnation, so the other one has its own.
    let origin = |incarnation| AttemptId {
        incarnation,
        number: 1,
    };
    let key = Key([1; 16]);
    let start = |asker, authority, runs: &mut Runs<u8>| {
        let (mut attempt, _) = Attempt::from_peer(key, HERE, origin(asker), runs, now);
        let step = attempt.on_event(Event::AuthorityChecked(authority), runs, now);
        (attempt, step)
    };
    start(PEER, false, &mut runs);
    let (mut other, step) = start(Incarnation(3), true, &mut runs);
    assert_eq!(step, Some(Step::Dispatch));
    let not_sent = other.on_event(Event::RunEnded(RunEnd::NotSent), &mut runs, now);
    assert!(matches!(not_sent, Some(Step::Finish(Outcome::NotRun(_)))));
    let (_, repeated) = Attempt::from_peer(key, HERE, origin(PEER), &mut runs, now);
    assert!(matches!(repeated, Step::Finish(Outcome::NotRun(_))));
    let (_, fresh) = Attempt::from_peer(key, HERE, origin(Incarnation(4)), &mut runs, now);
    assert_eq!(fresh, Step::CheckAuthority);
}
