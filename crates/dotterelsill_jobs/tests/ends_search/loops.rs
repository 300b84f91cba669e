//! What an instance that schedules does at each moment: its ticks, and the loops of its
//! workers, as the daemon's `worker_loops` run them.

use std::net::SocketAddr;

use dotterelsill_jobs::{
    Answer,
    Order,
    Recipient,
    Route,
    StartTerms,
    WorkerKey,
    WorkerOrder,
    WorkerStatus, //
};

use rand::RngExt as _;

use crate::{
    calls::{
        Call,
        CallBody,
        CallResult,
        OrderSender,
        StatusRequest, //
    },
    driver::{
        at,
        dispatcher_address,
        Driver,
        Loops,
        Sending,
        StatusPhase,
        MAX_UNSENT_ORDER_PAUSE_MS,
        RETRY_PAUSE_MS,
        TTL_MS,
        UNSENT_ORDER_PAUSE_MS, //
    },
    world::{
        address_of,
        World,
        WORKERS, //
    }, //
};

const RENEW_INTERVAL_MS: u64 = 350;
const RENEW_RETRY_PAUSE_MS: u64 = 200;
const TICK_INTERVAL_MS: u64 = 50;
const REGISTRATIONS_INTERVAL_MS: u64 = 250;
const LIST_INTERVAL_MS: u64 = 1000;
const LINKS_INTERVAL_MS: u64 = 250;
const STATUS_WAIT_MS: u64 = 1500;
const MIXED_STATUS_WAIT_MS: u64 = 700;
const STATUS_PAUSE_MS: u64 = 60;
const STORE_WAIT_MS: u64 = 250;
const IDLE_RETRY_PAUSE_MS: u64 = 500;
const MAX_DOUBLINGS: u32 = 3;
const MAX_IN_FLIGHT: u32 = 12;

/// Time without an answer after which the injected bug gives up the runs of a worker.
const GIVE_UP_MS: u64 = 800;

/// Outcome of preparing an order.
enum Prepared {
    Unwanted,
    Waits,
    Send { terms: StartTerms },
}

impl World {
    pub(crate) fn drive_all(&mut self) {
        let tokens: Vec<u64> = self.drivers.iter().map(|driver| driver.token).collect();
        for token in tokens {
            if let Some(index) = self.driver_of(token) {
                if self.drivers[index].is_running(self.now_ms) {
                    self.drive(index);
                }
            }
        }
        self.drivers.retain(|driver| !driver.is_lost);
    }

    fn drive(&mut self, index: usize) {
        self.renew(index);
        if self.drivers[index].is_lost {
            return;
        }
        self.hand_over(index);
        if self.drivers[index].is_lost {
            return;
        }
        self.accept_jobs(index);
        self.read_registrations(index);
        self.read_instances(index);
        self.manage_links(index);
        self.tick(index);
        self.store_changes(index);
        self.plan(index);
        let keys: Vec<WorkerKey> = self.drivers[index].loops.keys().copied().collect();
        for key in keys {
            self.run_status_loop(index, key);
            self.run_order_loops(index, key);
            if self.drivers[index].is_lost {
                return;
            }
        }
    }

    fn renew(&mut self, index: usize) {
        let now_ms = self.now_ms;
        if now_ms < self.drivers[index].next_renewal_ms {
            return;
        }
        let is_lost = self.chance(20);
        let is_up = self.store.is_up(now_ms);
        let driver = &mut self.drivers[index];
        if driver.is_cut_from_store || !is_up || is_lost {
            driver.next_renewal_ms = now_ms + RENEW_RETRY_PAUSE_MS;
        } else if driver.token == self.store.token && now_ms < self.store.lease_ends_ms {
            self.store.lease_ends_ms = now_ms + TTL_MS;
            driver.valid_until_ms = now_ms + TTL_MS - TTL_MS / 50;
            driver.next_renewal_ms = now_ms + RENEW_INTERVAL_MS;
        } else {
            driver.is_lost = true;
        }
    }

    /// Ends scheduling in order once all changes are stored, or the time for that is over.
    fn hand_over(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let driver = &mut self.drivers[index];
        let Some(until_ms) = driver.hands_over_until_ms else {
            return;
        };
        if now_ms < until_ms && (driver.writes > 0 || driver.scheduler.has_change()) {
            return;
        }
        driver.is_lost = true;
        let is_current = driver.token == self.store.token && !driver.is_cut_from_store;
        if is_current && self.store.is_up(now_ms) {
            self.store.lease_ends_ms = self.store.lease_ends_ms.min(now_ms);
            self.counts.hand_overs += 1;
        }
    }

    fn accept_jobs(&mut self, index: usize) {
        let now = self.now();
        let driver = &mut self.drivers[index];
        for (at_ms, id, spec) in std::mem::take(&mut driver.submissions) {
            if at_ms <= self.now_ms {
                driver.scheduler.submit(id, spec, now, now);
            } else {
                driver.submissions.push((at_ms, id, spec));
            }
        }
    }

    fn read_registrations(&mut self, index: usize) {
        let (now_ms, now) = (self.now_ms, self.now());
        let driver = &self.drivers[index];
        if now_ms < driver.next_registrations_ms
            || driver.is_cut_from_store
            || !self.store.is_up(now_ms)
        {
            return;
        }
        self.drivers[index].next_registrations_ms = now_ms + REGISTRATIONS_INTERVAL_MS;
        for worker in 0..WORKERS {
            let Some((born_ms, port)) = self.store.registered[worker] else {
                let id = &self.workers[worker].id;
                self.drivers[index].scheduler.on_unlisted(id, now);
                continue;
            };
            let report = self.report(worker, born_ms, port);
            let begins_at_ms = now_ms + self.random.random_range(1..100);
            let number = self.number();
            let driver = &mut self.drivers[index];
            let (key, is_new) = driver.scheduler.on_report(report, now);
            if is_new || !driver.loops.contains_key(&key) {
                let loops = Loops::new(worker, port, number, begins_at_ms);
                driver.move_loops(key, loops);
            }
        }
        let driver = &mut self.drivers[index];
        if !driver.is_granted_write_open && driver.scheduler.has_granted_change() {
            driver.is_granted_write_open = true;
            let (token, granted) = (driver.token, driver.scheduler.granted());
            self.store_granted(token, granted);
        }
    }

    fn read_instances(&mut self, index: usize) {
        if !self.environment.lists || self.now_ms < self.drivers[index].next_list_ms {
            return;
        }
        self.refresh_authority(index);
        let list = self.instances();
        let (requested_at, now) = (at(self.now_ms - 5), self.now());
        let driver = &mut self.drivers[index];
        driver.next_list_ms = self.now_ms + LIST_INTERVAL_MS;
        driver.scheduler.on_instances(list, requested_at, now);
    }

    /// Opens links to dispatchers, and breaks some.
    fn manage_links(&mut self, index: usize) {
        let (now_ms, now) = (self.now_ms, self.now());
        if !self.environment.dispatchers || now_ms < self.drivers[index].next_links_ms {
            return;
        }
        let numbers = [self.number(), self.number()];
        let is_broken = self.chance(25);
        let driver = &mut self.drivers[index];
        driver.next_links_ms = now_ms + LINKS_INTERVAL_MS;
        let workers = driver.scheduler.workers_by_data_centre();
        let opened = driver.dispatchers.open_links(&workers, now);
        for (address, number) in opened.into_iter().zip(numbers) {
            driver.dispatchers.on_open(address);
            driver.links.insert(address, number);
            driver
                .loops
                .values_mut()
                .for_each(|loops| loops.is_woken = true);
        }
        let cut = driver.cut_data_centre.map(dispatcher_address);
        let is_cut = |address: &SocketAddr| is_broken || cut == Some(*address);
        if let Some(address) = driver.links.keys().copied().find(is_cut) {
            if let Some(link) = driver.links.remove(&address) {
                self.close_link(index, Route::Over(address), link);
            }
        }
    }

    fn close_link(&mut self, index: usize, route: Route, link: u64) {
        let (now, token) = (self.now(), self.drivers[index].token);
        let is_over = |number: &u64| {
            let call = &self.calls[number];
            call.token == token && call.link == link && call.route == route
        };
        let calls: Vec<u64> = self.awaited.iter().copied().filter(is_over).collect();
        for number in calls {
            self.awaited.remove(&number);
            self.on_result(index, number, CallResult::Failed { was_sent: true });
        }
        let Route::Over(address) = route else {
            return;
        };
        let driver = &mut self.drivers[index];
        for key in driver.dispatchers.on_closed(address, now) {
            driver.scheduler.on_silence(key, now);
            if let Some(loops) = driver.loops.get_mut(&key) {
                loops.is_woken = true;
            }
        }
    }

    fn tick(&mut self, index: usize) {
        let (now_ms, now) = (self.now_ms, self.now());
        let driver = &mut self.drivers[index];
        if now_ms < driver.next_tick_ms {
            return;
        }
        driver.next_tick_ms = now_ms + TICK_INTERVAL_MS;
        if driver.is_valid(now_ms) || self.bugs.judges_without_authority {
            for key in driver.scheduler.expire_leases(now) {
                driver.loops.remove(&key);
                driver.dispatchers.forget(key);
            }
        }
        let unread: Vec<WorkerKey> = driver.scheduler.unread_workers().collect();
        for key in unread {
            if let Some(loops) = driver.loops.get_mut(&key) {
                loops.is_woken = true;
            }
        }
        driver.scheduler.open_due_jobs(now);
        driver.scheduler.replan();
    }

    fn store_changes(&mut self, index: usize) {
        let driver = &mut self.drivers[index];
        if driver.writes >= MAX_IN_FLIGHT || !self.random.random_ratio(1, 4) {
            return;
        }
        let token = driver.token;
        let changes = driver.scheduler.take_changes(10);
        driver.writes += changes.len() as u32;
        for change in changes {
            self.store_change(token, change);
        }
    }

    /// Tells the scheduler whether it has authority now, as each access to it does.
    fn refresh_authority(&mut self, index: usize) -> bool {
        let driver = &mut self.drivers[index];
        let is_valid = driver.is_valid(self.now_ms);
        let has_authority = is_valid || self.bugs.judges_without_authority;
        driver.scheduler.set_authority(has_authority);
        is_valid
    }

    fn plan(&mut self, index: usize) {
        let now = self.now();
        let is_valid = self.refresh_authority(index);
        let driver = &mut self.drivers[index];
        let orders = driver.scheduler.plan(now);
        let counts = driver.scheduler.take_run_counts();
        self.counts.copies += counts.copies_started;
        self.counts.moved_runs += counts.runs_moved;
        for WorkerOrder { worker, order } in orders {
            self.hand_out(index, worker, order, is_valid);
        }
    }

    fn hand_out(&mut self, index: usize, key: WorkerKey, order: Order, is_valid: bool) {
        let now = self.now();
        let driver = &mut self.drivers[index];
        let Some(loops) = driver.loops.get_mut(&key) else {
            return;
        };
        loops.is_woken = true;
        let route = driver.dispatchers.order_route(key);
        if let (true, Order::Start { .. }, Route::Over(_)) = (is_valid, &order, route) {
            if !driver.scheduler.may_send(key, &order, false, now) {
                return;
            }
            let task = order.run().0;
            if let Some(terms) = driver.scheduler.start_terms(key, task, is_valid, now) {
                let sender = OrderSender::Dispatched;
                self.send_order(index, key, route, order, terms, sender);
                return;
            }
        }
        loops.queue.push_back((order, false));
    }

    fn send_order(
        &mut self,
        index: usize,
        key: WorkerKey,
        route: Route,
        order: Order,
        terms: StartTerms,
        sender: OrderSender,
    ) {
        let is_valid = self.drivers[index].is_valid(self.now_ms);
        let needs_connection = !is_valid && matches!(order, Order::Start { .. });
        let mut terms = terms;
        if self.bugs.starts_on_any_connection {
            terms.recipient = Recipient::AnyLife;
        }
        let body = CallBody::Order {
            order,
            terms,
            needs_connection,
            sender,
        };
        self.make_call(index, key, route, body);
    }

    fn make_call(&mut self, index: usize, key: WorkerKey, route: Route, body: CallBody) {
        let driver = &self.drivers[index];
        let link = match route {
            Route::Direct => 0,
            Route::Over(address) => driver.links.get(&address).copied().unwrap_or(0),
        };
        let call = Call {
            token: driver.token,
            key,
            worker: driver.loops[&key].worker,
            port: driver.loops[&key].port,
            loops: driver.loops[&key].number,
            route,
            link,
            sent_at_ms: self.now_ms,
            body,
            life: 0,
            has_told: false,
            is_open: false,
        };
        self.send(call);
    }

    fn run_status_loop(&mut self, index: usize, key: WorkerKey) {
        let (now_ms, now) = (self.now_ms, self.now());
        let driver = &mut self.drivers[index];
        if !driver.scheduler.has_worker(key) {
            driver.loops.remove(&key);
            driver.dispatchers.forget(key);
            return;
        }
        let Some(loops) = driver.loops.get_mut(&key) else {
            return;
        };
        let scheduler = &driver.scheduler;
        match loops.status {
            StatusPhase::Called => return,
            StatusPhase::Round { at_ms } | StatusPhase::Request { at_ms } if now_ms < at_ms => {
                return;
            }
            StatusPhase::Asleep if !std::mem::take(&mut loops.is_woken) => return,
            StatusPhase::Storing { from_ms, until_ms } => {
                let is_pending = scheduler.has_pending_ends(key) && now_ms < until_ms;
                if now_ms < from_ms || is_pending {
                    return;
                }
            }
            _ => {}
        }
        let data_centre = scheduler.worker_data_centre(key).unwrap_or_default();
        let data_centre = data_centre.to_owned();
        let route = driver.dispatchers.status_route(key, &data_centre, now);
        let is_route_new = driver.dispatchers.order_route(key) != route;
        let is_requesting = matches!(loops.status, StatusPhase::Request { .. });
        if !loops.is_first && !is_requesting && !driver.scheduler.is_busy(key) {
            if !driver.scheduler.needs_status(key) && !is_route_new {
                loops.status = StatusPhase::Asleep;
                return;
            }
            if loops.unanswered > 0 {
                loops.status = StatusPhase::Request {
                    at_ms: now_ms + IDLE_RETRY_PAUSE_MS,
                };
                return;
            }
        }
        self.request_status(index, key, route, is_route_new);
    }

    fn request_status(&mut self, index: usize, key: WorkerKey, route: Route, is_route_new: bool) {
        let now = self.now();
        let may_extend = self.drivers[index].is_valid(self.now_ms);
        let driver = &mut self.drivers[index];
        let loops = driver.loops.get_mut(&key).expect("the loops are running");
        loops.status = StatusPhase::Called;
        let scheduler = &mut driver.scheduler;
        let is_unknown = loops.is_first || is_route_new || scheduler.needs_status(key);
        let is_silent = scheduler.is_silent(key);
        let processed = scheduler.processed_ends(key);
        let mut acknowledged = scheduler.acknowledged(key);
        if self.bugs.acknowledges_early && !is_silent {
            acknowledged = processed.number;
        }
        if !is_silent {
            loops.last_acknowledged = acknowledged;
        } else if self.bugs.acknowledges_to_another_life {
            acknowledged = loops.last_acknowledged;
        }
        let request = StatusRequest {
            token: driver.token,
            lease_end_ms: scheduler.lease_end(key, may_extend, now),
            acknowledged,
            wait_ms: if is_unknown {
                0
            } else if scheduler.has_serving_and_filler(key) {
                MIXED_STATUS_WAIT_MS
            } else {
                STATUS_WAIT_MS
            },
            processed,
        };
        self.make_call(index, key, route, CallBody::Status(request));
    }

    fn run_order_loops(&mut self, index: usize, key: WorkerKey) {
        let now_ms = self.now_ms;
        loop {
            let number = self.number();
            let Some(loops) = self.drivers[index].loops.get_mut(&key) else {
                return;
            };
            if loops.current.is_some() {
                break;
            }
            let Some((order, may_come_late)) = loops.queue.pop_front() else {
                break;
            };
            if may_come_late {
                let repeated = Sending::repeated(order, now_ms);
                loops.repeats.insert(number, repeated);
            } else {
                loops.current = Some(Sending::first(order, now_ms));
                self.try_order(index, key, OrderSender::Loop);
            }
        }
        self.try_order(index, key, OrderSender::Loop);
        let Some(loops) = self.drivers[index].loops.get(&key) else {
            return;
        };
        let repeats: Vec<u64> = loops.repeats.keys().copied().collect();
        for number in repeats {
            self.try_order(index, key, OrderSender::Repeat(number));
        }
    }

    fn sending(
        &mut self,
        index: usize,
        key: WorkerKey,
        sender: OrderSender,
    ) -> Option<&mut Sending> {
        let loops = self.drivers[index].loops.get_mut(&key)?;
        match sender {
            OrderSender::Loop => loops.current.as_mut(),
            OrderSender::Repeat(number) => loops.repeats.get_mut(&number),
            OrderSender::Dispatched => None,
        }
    }

    fn settle(&mut self, index: usize, key: WorkerKey, sender: OrderSender) {
        let Some(loops) = self.drivers[index].loops.get_mut(&key) else {
            return;
        };
        match sender {
            OrderSender::Loop => loops.current = None,
            OrderSender::Repeat(number) => {
                loops.repeats.remove(&number);
            }
            OrderSender::Dispatched => {}
        }
    }

    /// Repeats an order some time later, beside the other orders.
    fn repeat(&mut self, index: usize, key: WorkerKey, sender: OrderSender, order: Order) {
        self.settle(index, key, sender);
        let (now_ms, number) = (self.now_ms, self.number());
        if let Some(loops) = self.drivers[index].loops.get_mut(&key) {
            let repeated = Sending::repeated(order, now_ms);
            loops.repeats.insert(number, repeated);
        }
    }

    /// Sends a start later that needs a connection, beside the other orders.
    fn wait_for_connection(&mut self, index: usize, key: WorkerKey, sender: OrderSender) {
        let (now_ms, number) = (self.now_ms, self.number());
        let Some(sending) = self.sending(index, key, sender) else {
            return;
        };
        sending.at_ms = Some(now_ms + sending.pause_ms);
        sending.pause_ms = (sending.pause_ms * 2).min(MAX_UNSENT_ORDER_PAUSE_MS);
        let Some(loops) = self.drivers[index].loops.get_mut(&key) else {
            return;
        };
        if sender == OrderSender::Loop {
            let waiting = loops.current.take();
            loops
                .repeats
                .extend(waiting.map(|sending| (number, sending)));
        }
    }

    fn try_order(&mut self, index: usize, key: WorkerKey, sender: OrderSender) {
        let now_ms = self.now_ms;
        let Some(sending) = self.sending(index, key, sender) else {
            return;
        };
        if sending.at_ms.is_none_or(|at_ms| now_ms < at_ms) {
            return;
        }
        let sending = sending.clone();
        match self.prepare(index, key, &sending) {
            Prepared::Unwanted => self.settle(index, key, sender),
            Prepared::Waits => {
                if let Some(sending) = self.sending(index, key, sender) {
                    sending.at_ms = Some(now_ms + UNSENT_ORDER_PAUSE_MS);
                }
            }
            Prepared::Send { terms } => {
                if let Some(sending) = self.sending(index, key, sender) {
                    sending.at_ms = None;
                }
                let route = self.drivers[index].dispatchers.order_route(key);
                self.send_order(index, key, route, sending.order, terms, sender);
            }
        }
    }

    fn prepare(&mut self, index: usize, key: WorkerKey, sending: &Sending) -> Prepared {
        let now = self.now();
        let may_extend = self.refresh_authority(index);
        let scheduler = &mut self.drivers[index].scheduler;
        if !scheduler.may_send(key, &sending.order, sending.may_come_late, now) {
            return Prepared::Unwanted;
        }
        let terms = match &sending.order {
            Order::Start { task, .. } => scheduler.start_terms(key, *task, may_extend, now),
            Order::Stop { .. } | Order::Pace { .. } => Some(StartTerms {
                lease_end_ms: 0,
                recipient: Recipient::AnyLife,
            }),
        };
        terms.map_or(Prepared::Waits, |terms| Prepared::Send { terms })
    }

    /// Handles the result of a call.
    pub(crate) fn on_result(&mut self, index: usize, number: u64, result: CallResult) {
        let call = self.calls[&number].clone();
        self.refresh_authority(index);
        if let CallResult::Answer(Answer::Fenced) = result {
            log::debug!("{} is fenced", call.token);
            self.drivers[index].is_lost = true;
            return;
        }
        let now = self.now();
        let result = if let (CallResult::NotKept, Recipient::Life { started_unix_ms }) =
            (&result, call.recipient())
        {
            let scheduler = &mut self.drivers[index].scheduler;
            scheduler.on_connection_not_kept(call.key, started_unix_ms);
            CallResult::Failed { was_sent: false }
        } else {
            result
        };
        if let CallResult::Answer(Answer::OtherWorker) = result {
            let scheduler = &mut self.drivers[index].scheduler;
            let sent_at = at(call.sent_at_ms);
            scheduler.on_other_worker(call.key, &address_of(call.port), sent_at, now);
        }
        if let CallResult::Failed { .. } = result {
            let driver = &mut self.drivers[index];
            driver.dispatchers.on_unanswered(call.key, call.route, now);
            driver.scheduler.on_silence(call.key, now);
        }
        match call.body.clone() {
            CallBody::Status(_) => self.on_status_result(index, &call, result),
            CallBody::Order { order, sender, .. } => {
                self.on_order_result(index, &call, &order, sender, result);
            }
        }
    }

    fn on_status_result(&mut self, index: usize, call: &Call, result: CallResult) {
        let (now_ms, now) = (self.now_ms, self.now());
        let is_given_up = self.bugs.gives_up_without_proof;
        let is_replaced = self.is_replaced(index, call);
        let driver: &mut Driver = &mut self.drivers[index];
        let Some(loops) = driver.loops.get_mut(&call.key) else {
            return;
        };
        let mut next_ms = now_ms;
        match result {
            CallResult::Status(status) => {
                let status = WorkerStatus {
                    sent_at: at(call.sent_at_ms),
                    read_at: now,
                    ..status
                };
                driver.scheduler.on_worker_status(call.key, &status, now);
                driver.dispatchers.on_answered(call.key, call.route);
                if is_replaced {
                    return;
                }
                loops.is_first = false;
                loops.unanswered = 0;
                let is_pending = driver.scheduler.has_pending_ends(call.key);
                if is_pending || !status.ended.is_empty() {
                    loops.status = StatusPhase::Storing {
                        from_ms: now_ms + STATUS_PAUSE_MS,
                        until_ms: now_ms + STATUS_PAUSE_MS + STORE_WAIT_MS,
                    };
                    return;
                }
            }
            _ if is_replaced => return,
            CallResult::Answer(_) | CallResult::Unconnected | CallResult::NotKept => {
                loops.unanswered += 1;
                next_ms += IDLE_RETRY_PAUSE_MS;
            }
            CallResult::Failed { .. } => {
                next_ms += RETRY_PAUSE_MS * 2_u64.pow(loops.unanswered.min(MAX_DOUBLINGS));
                loops.unanswered += 1;
                if is_given_up && loops.unanswered > 2 && GIVE_UP_MS < now_ms {
                    let address = address_of(call.port);
                    let scheduler = &mut driver.scheduler;
                    scheduler.on_other_worker(call.key, &address, now, now);
                }
            }
        }
        loops.status = StatusPhase::Round { at_ms: next_ms };
    }

    fn on_order_result(
        &mut self,
        index: usize,
        call: &Call,
        order: &Order,
        sender: OrderSender,
        result: CallResult,
    ) {
        let (now_ms, now, key) = (self.now_ms, self.now(), call.key);
        let sending = self.sending(index, key, sender);
        let may_come_late = sending.is_some_and(|sending| sending.may_come_late);
        let is_replaced = self.is_replaced(index, call);
        match result {
            CallResult::Answer(Answer::OtherWorker) => {
                let is_of_loop = sender != OrderSender::Dispatched;
                self.repeat_or_queue(index, call, sender, order, is_of_loop);
            }
            CallResult::Answer(answer) => {
                let scheduler = &mut self.drivers[index].scheduler;
                let is_open = scheduler.on_answer(key, order, answer, may_come_late, now);
                if is_open {
                    self.repeat_or_queue(index, call, sender, order, true);
                } else if !is_replaced {
                    self.settle(index, key, sender);
                }
            }
            CallResult::Unconnected if is_replaced => {
                self.repeat_or_queue(index, call, sender, order, may_come_late);
            }
            CallResult::Failed { was_sent: false }
                if sender != OrderSender::Dispatched && !is_replaced =>
            {
                if let Some(sending) = self.sending(index, key, sender) {
                    sending.at_ms = Some(now_ms + sending.pause_ms);
                    sending.pause_ms = (sending.pause_ms * 2).min(MAX_UNSENT_ORDER_PAUSE_MS);
                }
            }
            CallResult::Failed { was_sent } => {
                let may_come_late = may_come_late || was_sent;
                self.repeat_or_queue(index, call, sender, order, may_come_late);
            }
            CallResult::Unconnected => self.wait_for_connection(index, key, sender),
            CallResult::Status(_) | CallResult::NotKept => {
                unreachable!("orders are not answered with a status")
            }
        }
    }

    fn repeat_or_queue(
        &mut self,
        index: usize,
        call: &Call,
        sender: OrderSender,
        order: &Order,
        may_come_late: bool,
    ) {
        if sender != OrderSender::Dispatched && !self.is_replaced(index, call) {
            self.repeat(index, call.key, sender, order.clone());
        } else if let Some(loops) = self.drivers[index].loops.get_mut(&call.key) {
            loops.queue.push_back((order.clone(), may_come_late));
        }
    }

    /// Returns whether other loops call the worker now than those that made a call.
    fn is_replaced(&self, index: usize, call: &Call) -> bool {
        let loops = self.drivers[index].loops.get(&call.key);
        loops.is_none_or(|loops| loops.number != call.loops)
    }
}
