//! Tests of the queue: limits, deadlines, cancellation and lost wakeups.

mod common;

use std::{
    sync::{
        atomic::{
            AtomicU32,
            Ordering, //
        },
        mpsc,
        Arc,
        Mutex, //
    },
    time::Instant, //
};

use common::{
    ms,
    shares,
    Service,
    NO_DEADLINE, //
};
use dotterelsill_admission::{
    FairQueue,
    Gate,
    Refusal,
    Request,
    RunOutcome,
    RunningRequest,
    Teams, //
};

/// Guards against a new request that overtakes waiting ones, and against a slot
/// that is released twice, by `finish` and by drop.
#[test]
fn fast_path_needs_a_free_slot_and_an_empty_queue() {
    let mut service = Service::new(2, &[100], 10);
    let (gate, now) = (Arc::clone(&service.gate), service.now);
    let team = Arc::clone(service.team(0));
    let try_start = || gate.try_start(&team, 0, now);
    let one = try_start().unwrap();
    let other = try_start().unwrap();
    assert!(try_start().is_none());
    assert!(!gate.finish(one, RunOutcome::Answered, now));
    assert_eq!(gate.in_use(), 1);
    let pushed = service.push((0, 0), NO_DEADLINE).unwrap();
    assert!(try_start().is_none(), "a request waits");
    drop(other);
    assert_eq!((gate.in_use(), team.running()), (0, 0));
    service.queue.cancel(pushed.ticket).unwrap();
    assert!(try_start().is_some());
    assert_eq!((gate.in_use(), team.running()), (0, 0));
}

/// Guards against a queue that grows without limit, and against one urgency
/// that takes the whole queue of its team.
#[test]
fn full_queue_refuses_the_most_frequent_urgency() {
    let mut service = Service::new(1, &[50, 50], 3);
    for urgency in [5, 2, 5] {
        service.push((0, urgency), NO_DEADLINE).unwrap();
    }
    let full = Refusal::QueueFull { limit: 3 };
    assert_eq!(service.push((0, 5), NO_DEADLINE).unwrap_err(), full);
    let pushed = service.push((0, 0), NO_DEADLINE).unwrap();
    assert_eq!(pushed.evicted, Some((0, 5)));
    assert!(service.push((1, 5), NO_DEADLINE).is_ok());
    assert_eq!(service.queue.len(), 4);
    let order = std::iter::from_fn(|| {
        let source = service.start(|_| ms(10)).pop()?;
        service.finish_next();
        Some(source)
    });
    let of_first: Vec<_> = order.filter(|source| source.0 == 0).collect();
    assert_eq!(of_first, [(0, 0), (0, 2), (0, 5)]);
}

/// Guards against low-urgency requests that are never queued, because more
/// urgent ones fill the queue.
#[test]
fn urgent_flood_leaves_room_for_low_urgency() {
    let mut service = Service::new(1, &[100], 10);
    for number in 0..100 {
        let urgency = if number % 10 == 9 { 7 } else { 0 };
        let _ = service.push((0, urgency), NO_DEADLINE);
    }
    assert_eq!(service.queue.len(), 10);
    let order = std::iter::from_fn(|| {
        let source = service.start(|_| ms(10)).pop()?;
        service.finish_next();
        Some(source)
    });
    assert_eq!(order.filter(|source| source.1 == 7).count(), 5);
}

/// Guards against starting a request that, by the observed run times, cannot
/// finish before its deadline.
#[test]
fn unmeetable_deadlines_are_refused() {
    let mut service = Service::new(1, &[100], 100);
    assert_eq!(
        service.push((0, 0), ms(0)).unwrap_err(),
        Refusal::DeadlineUnmeetable
    );
    for _ in 0..3 {
        service.push((0, 0), NO_DEADLINE).unwrap();
    }
    service.start(|_| ms(1000));
    service.finish_next();
    service.start(|_| ms(1000));
    // One request runs and one waits: a new request waits about one second and
    // then runs for up to three.
    assert!(service.push((0, 0), ms(1500)).is_err());
    service.push((0, 0), ms(8000)).unwrap();
    let expiry = service.queue.next_expiry().unwrap();
    assert_eq!(expiry, service.now + ms(5000));
    assert!(service.queue.expire(expiry).is_empty());
    assert_eq!(service.queue.expire(expiry + ms(1)), [(0, 0)]);
    assert_eq!(service.queue.len(), 1);
}

/// Guards against a queue that refuses requests forever after one long run
/// time.
#[test]
fn long_run_times_are_forgotten() {
    let mut service = Service::new(1, &[100], 100);
    service.push((0, 0), NO_DEADLINE).unwrap();
    service.start(|_| ms(60_000));
    service.finish_next();
    for _ in 0..100 {
        service.push((0, 0), ms(1000)).unwrap();
        assert_eq!(service.start(|_| ms(10)).len(), 1);
        service.finish_next();
    }
    for _ in 0..5 {
        service.push((0, 0), ms(5000)).unwrap();
    }
}

/// Guards against aborted and refused runs that lower the expected run time,
/// and against dropped runs that are not charged.
#[test]
fn cut_and_refused_runs_do_not_shorten_the_run_time() {
    let mut service = Service::new(1, &[100], 100);
    let (gate, team) = (Arc::clone(&service.gate), Arc::clone(service.team(0)));
    let runs = [
        (RunOutcome::Answered, 1000),
        (RunOutcome::Aborted, 10),
        (RunOutcome::NotRun, 10),
    ];
    for (end, run_ms) in runs.into_iter().chain([runs[1], runs[2]]) {
        let running = gate.try_start(&team, 0, service.now).unwrap();
        service.now += ms(run_ms);
        gate.finish(running, end, service.now);
    }
    assert_eq!(team.used(service.now), ms(1020));
    drop(gate.try_start(&team, 0, service.now).unwrap());
    assert_eq!(
        team.used(service.now),
        ms(2020),
        "a dropped run costs the mean"
    );
}

/// Guards against cancelled requests that are still started or counted.
#[test]
fn wave_of_cancellations_leaves_the_rest() {
    let mut service = Service::new(4, &[50, 50], 1000);
    let mut tickets = Vec::new();
    for number in 0..1000 {
        let pushed = service.push((number % 2, 0), NO_DEADLINE).unwrap();
        tickets.push(pushed.ticket);
    }
    for ticket in &tickets[..990] {
        assert!(service.queue.cancel(*ticket).is_some());
        assert!(service.queue.cancel(*ticket).is_none());
    }
    assert_eq!(service.start(|_| ms(1)).len(), 4);
    assert_eq!(service.queue.len(), 6);
}

/// Guards against a lost queue position or a leaked slot when an upstream
/// refuses a request, and against requests lost on a new configuration.
#[test]
fn requeue_and_new_teams_keep_the_order() {
    let mut service = Service::new(1, &[50, 50], 10);
    for urgency in [1, 1, 0] {
        service.push((0, urgency), NO_DEADLINE).unwrap();
    }
    service.push((1, 0), NO_DEADLINE).unwrap();
    let mut refused = Vec::new();
    let now = service.now;
    let started = service.queue.pop_next(now, |_| true, &mut refused).unwrap();
    assert_eq!(started.payload, (0, 0));
    service.queue.requeue(started, now).unwrap();
    assert_eq!((service.gate.in_use(), service.queue.len()), (0, 4));
    let teams = service.teams.rebuild(&shares(&[70]));
    assert_eq!(service.queue.reconfigure(&teams, now), [(1, 0)]);
    assert_eq!(
        service.push((1, 0), NO_DEADLINE).unwrap_err(),
        Refusal::UnknownTeam
    );
    assert_eq!(service.start(|_| ms(1)), [(0, 0)]);
}

type Shared = (Arc<Gate>, Mutex<FairQueue<u32>>);

/// Starts waiting requests and sends them to the threads that finish them.
fn dispatch(shared: &Shared, sender: &mpsc::Sender<RunningRequest>) {
    let mut queue = shared.1.lock().expect("no thread panicked");
    while let Some(started) = queue.pop_next(Instant::now(), |_| true, &mut Vec::new()) {
        sender.send(started.running).expect("the receiver lives");
    }
}

/// Guards against a lost wakeup: a request that waits forever while a slot is
/// free, because its push and the end of another request happened concurrently.
#[test]
fn pushes_and_ends_from_many_threads_lose_nothing() {
    let gate = Arc::new(Gate::new(3, Instant::now()));
    let teams = Teams::new(&shares(&[60, 40]), Instant::now());
    let queue = FairQueue::new(&gate, &teams, 100_000);
    let shared: Shared = (gate, Mutex::new(queue));
    let (sender, receiver) = mpsc::channel::<RunningRequest>();
    let receiver = Mutex::new(receiver);
    let finished = AtomicU32::new(0);
    std::thread::scope(|scope| {
        for thread in 0..4 {
            let (shared, teams, sender) = (&shared, &teams, sender.clone());
            scope.spawn(move || {
                for number in 0..2000 {
                    let team = teams.iter().nth(number % 2).unwrap();
                    if let Some(running) = shared.0.try_start(team, 0, Instant::now()) {
                        sender.send(running).unwrap();
                        continue;
                    }
                    let request = Request {
                        team: Arc::clone(team),
                        urgency: thread,
                        deadline: Instant::now() + NO_DEADLINE,
                        payload: 0,
                    };
                    let mut queue = shared.1.lock().unwrap();
                    queue.push(request, Instant::now()).unwrap();
                    drop(queue);
                    dispatch(shared, &sender);
                }
            });
        }
        for _ in 0..3 {
            let (shared, receiver, finished, sender) =
                (&shared, &receiver, &finished, sender.clone());
            scope.spawn(move || {
                while finished.load(Ordering::SeqCst) < 8000 {
                    let next = receiver.lock().unwrap().recv_timeout(ms(20));
                    let Ok(running) = next else {
                        continue;
                    };
                    assert!(shared.0.in_use() <= 3);
                    finished.fetch_add(1, Ordering::SeqCst);
                    if shared
                        .0
                        .finish(running, RunOutcome::Answered, Instant::now())
                    {
                        dispatch(shared, &sender);
                    }
                }
            });
        }
    });
    assert_eq!((shared.0.in_use(), shared.1.lock().unwrap().len()), (0, 0));
}
