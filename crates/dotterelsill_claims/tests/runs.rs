//! Runs and attempts on the claimant's side: dispatch at most once, and the
//! limits on stored answers and identifiers.

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

const LOCAL: Incarnation = Incarnation(1);
const PEER: Incarnation = Incarnation(2);

/// Forwards the request of an identifier to the claimant, runs it if it has not
/// run, and returns the first step of the attempt.
fn run_request(runs: &mut Runs<u8>, number: u8, bytes: usize, now: Instant) -> Step<u8> {
    let (mut attempt, step) = forward(runs, number, now);
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

/// Starts an attempt that a peer forwarded.
fn forward(runs: &mut Runs<u8>, number: u8, now: Instant) -> (Attempt, Step<u8>) {
    let id = AttemptId {
        incarnation: PEER,
        number: number.into(),
    };
    Attempt::from_peer(Key([number; 16]), LOCAL, id, runs, now)
}

/// Guards against unbounded memory, and against a second run of an identifier
/// whose answer was dropped.
#[test]
fn dropped_answers_are_unknown_and_never_run_again() {
    let now = Instant::now();
    let max_answer_bytes = 100;
    let limits = RunLimits {
        max_answer_bytes,
        ..RunLimits::default()
    };
    let mut runs = Runs::new(LOCAL, limits);
    let dropped = Step::Finish(Outcome::Unknown(UnknownReason::AnswerDropped));
    run_request(&mut runs, 1, 60, now);
    run_request(&mut runs, 2, 60, now);
    assert_eq!(runs.answer_bytes(), 60);
    assert_eq!(run_request(&mut runs, 1, 60, now), dropped);
    assert_eq!(
        run_request(&mut runs, 2, 60, now),
        Step::Finish(Outcome::Answered(2))
    );
    let later = now + Duration::from_secs(600);
    runs.expire(later);
    assert_eq!(runs.answer_bytes(), 0);
    assert_eq!(run_request(&mut runs, 2, 60, later), dropped);
    // The claim can be found in the log for 2 h.
    let later = now + Duration::from_secs(7200);
    runs.expire(later);
    assert_eq!(run_request(&mut runs, 2, 60, later), dropped);
    runs.expire(now + Duration::from_secs(3 * 3600));
    assert_eq!(runs.identifier_count(), 0);
}

/// Guards against reporting an answer for a claim of another incarnation.
#[test]
fn claims_of_other_incarnations_are_unknown() {
    let mut runs = Runs::new(LOCAL, RunLimits::default());
    run_request(&mut runs, 1, 1, Instant::now());
    let key = Key([1; 16]);
    assert_eq!(runs.status(LOCAL, key), RunStatus::Answered(1));
    let gone = RunStatus::Unknown(UnknownReason::ClaimantGone);
    assert_eq!(runs.status(PEER, key), gone);
    assert_eq!(runs.status(LOCAL, Key([2; 16])), RunStatus::NotStarted);
}

/// Guards against two dispatches by attempts that check their authority at the
/// same time.
#[test]
fn attempts_that_check_at_once_dispatch_once() {
    let now = Instant::now();
    let mut runs = Runs::new(LOCAL, RunLimits::default());
    let (mut first, step) = forward(&mut runs, 1, now);
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
    // An attempt that has ended ignores further events.
    assert_eq!(event(&mut second, Event::Deadline), None);
}

/// Guards against reporting "not run" while the claimant may be running the
/// request.
#[test]
fn silent_claimant_makes_the_outcome_unknown() {
    let now = Instant::now();
    for end in [Event::ClaimantUnreachable, Event::Deadline] {
        let mut runs = Runs::<u8>::new(LOCAL, RunLimits::default());
        let id = AttemptId {
            incarnation: LOCAL,
            number: 1,
        };
        let (mut attempt, step) = Attempt::from_caller(Key([1; 16]), id, &runs);
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

/// Guards against a repeated message of a refused attempt starting the request
/// after another attempt failed to send it.
#[test]
fn refused_attempt_stays_refused_after_a_failed_send() {
    let now = Instant::now();
    let mut runs = Runs::new(LOCAL, RunLimits::default());
    // Refused attempts are recorded per incarnation, so each attempt here comes
    // from a different one.
    let attempt_id = |incarnation| AttemptId {
        incarnation,
        number: 1,
    };
    let key = Key([1; 16]);
    let start = |sender, authority, runs: &mut Runs<u8>| {
        let (mut attempt, _) = Attempt::from_peer(key, LOCAL, attempt_id(sender), runs, now);
        let step = attempt.on_event(Event::AuthorityChecked(authority), runs, now);
        (attempt, step)
    };
    start(PEER, false, &mut runs);
    let (mut other, step) = start(Incarnation(3), true, &mut runs);
    assert_eq!(step, Some(Step::Dispatch));
    let not_sent = other.on_event(Event::RunEnded(RunEnd::NotSent), &mut runs, now);
    assert!(matches!(not_sent, Some(Step::Finish(Outcome::NotRun(_)))));
    let (_, repeated) = Attempt::from_peer(key, LOCAL, attempt_id(PEER), &mut runs, now);
    assert!(matches!(repeated, Step::Finish(Outcome::NotRun(_))));
    let (_, fresh) = Attempt::from_peer(key, LOCAL, attempt_id(Incarnation(4)), &mut runs, now);
    assert_eq!(fresh, Step::CheckAuthority);
}
