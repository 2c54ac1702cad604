//! Stand-in for a worker: runs tasks under leases and reports to its side, as
//! PROTOCOL.md describes it. The input of a task states its run time as `work_ms=N`.

use crate::{
    http::{self, Request, Response},
    json::{Value, quote},
    site::Record,
};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Longest lease, in milliseconds.
const HOLD_MAX_MS: u64 = 1_000;

/// Interval between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// What a worker is and where it stands.
#[derive(Debug, Clone)]
pub struct Worker {
    pub id: String,
    pub zone: String,
    pub service: String,
    /// Address at which it takes orders.
    pub app: SocketAddr,
    /// Address of its side.
    pub control: SocketAddr,
    pub cpu: u32,
    pub ram_mb: u32,
}

/// A run that a worker has begun.
#[derive(Debug, Clone)]
pub struct Begun {
    pub worker: String,
    pub task: String,
    pub attempt: u64,
    pub started: Instant,
    pub ended: Option<(Instant, &'static str)>,
}

/// The runs of all workers, in the order of their starts.
#[derive(Debug, Clone, Default)]
pub struct Log(Arc<Mutex<Vec<Begun>>>);

impl Log {
    /// Returns the runs of a job.
    pub fn of(&self, job: &str) -> Vec<Begun> {
        let runs = self.0.lock().unwrap();
        let of_job = |run: &&Begun| run.task.starts_with(job);
        runs.iter().filter(of_job).cloned().collect()
    }
}

#[derive(Debug)]
struct Run {
    attempt: u64,
    started: Instant,
    work: Duration,
    /// Its place in the log.
    entry: usize,
}

#[derive(Debug)]
struct State {
    token: u64,
    /// End of all leases, on the own clock in milliseconds.
    lease: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest attempt that has been stopped or has ended, by task.
    over: BTreeMap<String, u64>,
}

struct Running {
    worker: Worker,
    born: u64,
    clock: Instant,
    state: Mutex<State>,
    changed: Condvar,
    log: Log,
    record: Record,
}

impl Worker {
    /// Starts the worker.
    pub fn run(self, log: Log, record: Record) -> io::Result<()> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let app = self.app;
        let running = Arc::new(Running {
            worker: self,
            born: born.as_millis() as u64,
            clock: Instant::now() - Duration::from_secs(100),
            state: Mutex::new(State {
                token: 0,
                lease: 0,
                running: BTreeMap::new(),
                ended: Vec::new(),
                last_end: 0,
                over: BTreeMap::new(),
            }),
            changed: Condvar::new(),
            log,
            record,
        });
        let served = running.clone();
        http::serve(app, move |request| served.answer(request))?;
        let ticking = running.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(2));
                ticking.tick();
            }
        });
        thread::spawn(move || running.report());
        Ok(())
    }
}

impl Running {
    fn clock_ms(&self) -> u64 {
        self.clock.elapsed().as_millis() as u64
    }

    /// Sends heartbeats.
    fn report(&self) {
        let worker = &self.worker;
        let path = format!("/v1/Instances.Heartbeat/{}", worker.id);
        for seq in 1_u64.. {
            let body = format!(
                "{{\"service\":{},\"address\":{},\"zone\":{},\"version\":\"v1\",\"slots\":8,\
                 \"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{},\"ram_mb\":{},\
                 \"gpu\":0}},\"labels\":[\"a\",\"r1-1\"],\"clock_ms\":{},\"seq\":{seq},\"born\":{}}}",
                quote(&worker.service),
                quote(&worker.app.to_string()),
                quote(&worker.zone),
                worker.cpu,
                worker.ram_mb,
                self.clock_ms(),
                self.born,
            );
            let timeout = Duration::from_secs(1);
            let headers = [("Host", "side")];
            let answer = http::call(worker.control, "POST", &path, &headers, &body, timeout);
            let accepted = answer.is_ok_and(|(status, _)| status == 200);
            thread::sleep(if accepted {
                HEARTBEAT
            } else {
                Duration::from_millis(100)
            });
        }
    }

    /// Ends the runs that are done or whose lease has expired.
    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        let lapsed = self.clock_ms() > state.lease;
        let over: Vec<(String, &'static str)> = state
            .running
            .iter()
            .filter_map(|(task, run)| {
                if run.started.elapsed() >= run.work {
                    Some((task.clone(), "done"))
                } else {
                    lapsed.then(|| (task.clone(), "lapsed"))
                }
            })
            .collect();
        for (task, how) in over {
            self.end(&mut state, &task, how);
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        state.last_end += 1;
        let number = state.last_end;
        state.ended.push((number, task.to_owned(), run.attempt, how));
        let over = state.over.entry(task.to_owned()).or_default();
        *over = (*over).max(run.attempt);
        self.log.0.lock().unwrap()[run.entry].ended = Some((Instant::now(), how));
        let id = &self.worker.id;
        let attempt = run.attempt;
        self.record
            .note(&format!("{id}: run {task}/{attempt} ended {how}"));
        self.changed.notify_all();
    }

    fn extend(&self, state: &mut State, deadline: Option<u64>) {
        if let Some(deadline) = deadline {
            let longest = self.clock_ms() + HOLD_MAX_MS;
            state.lease = state.lease.max(deadline.min(longest));
        }
    }

    fn answer(&self, request: &Request) -> Response {
        let Some(body) = Value::parse(&request.body) else {
            return (400, self.clock_body());
        };
        let expected = request.header("X-Expect-Instance");
        if expected.is_some_and(|id| id != self.worker.id) {
            return (421, self.clock_body());
        }
        let mut state = self.state.lock().unwrap();
        let token = body.number("fencing_token").unwrap_or_default();
        if token < state.token {
            return (409, self.reason("fence"));
        }
        state.token = token;
        match request.path.as_str() {
            "/v1/run-start" => self.start(&mut state, &body),
            "/v1/run-stop" => self.stop(&mut state, &body),
            "/v1/hold" => {
                self.extend(&mut state, body.number("deadline_ms"));
                let cursor = body.number("ack_cursor").unwrap_or_default();
                state.ended.retain(|(number, ..)| *number > cursor);
                let wait = body.number("wait_ms").unwrap_or_default().min(2_000);
                let until = Instant::now() + Duration::from_millis(wait);
                while state.ended.is_empty() {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                (200, self.lists(&state))
            }
            _ => (404, self.clock_body()),
        }
    }

    fn start(&self, state: &mut State, body: &Value) -> Response {
        let task = body.text("task").unwrap_or_default().to_owned();
        let attempt = body.number("attempt").unwrap_or_default();
        let deadline = body.number("deadline_ms").unwrap_or_default();
        let known = state.running.get(&task);
        if known.is_some_and(|run| run.attempt == attempt) {
            self.extend(state, Some(deadline));
            return (200, self.clock_body());
        }
        if state.over.get(&task).is_some_and(|over| attempt <= *over) {
            self.extend(state, Some(deadline));
            return (409, self.reason("old"));
        }
        if deadline <= self.clock_ms() {
            return (409, self.reason("late"));
        }
        self.extend(state, Some(deadline));
        let spec = body.text("spec").unwrap_or_default();
        let work = spec.split("work_ms=").nth(1).and_then(|text| {
            let digits: String = text.chars().take_while(char::is_ascii_digit).collect();
            digits.parse().ok()
        });
        let started = Instant::now();
        let id = &self.worker.id;
        let mut log = self.log.0.lock().unwrap();
        log.push(Begun {
            worker: id.clone(),
            task: task.clone(),
            attempt,
            started,
            ended: None,
        });
        self.record.note(&format!("{id}: run {task}/{attempt} starts"));
        let run = Run {
            attempt,
            started,
            work: Duration::from_millis(work.unwrap_or(100)),
            entry: log.len() - 1,
        };
        state.running.insert(task, run);
        (200, self.clock_body())
    }

    fn stop(&self, state: &mut State, body: &Value) -> Response {
        let task = body.text("task").unwrap_or_default().to_owned();
        let attempt = body.number("attempt").unwrap_or_default();
        let runs = state.running.get(&task);
        if runs.is_some_and(|run| run.attempt <= attempt) {
            self.end(state, &task, "stopped");
        }
        let over = state.over.entry(task).or_default();
        *over = (*over).max(attempt);
        (200, self.clock_body())
    }

    fn lists(&self, state: &State) -> String {
        let running: Vec<String> = state
            .running
            .iter()
            .map(|(task, run)| {
                let part = run.started.elapsed().as_secs_f64() / run.work.as_secs_f64().max(1e-3);
                let percent = (part * 100.0).min(99.0) as u32;
                format!("[{},{},\"\",{percent},0]", quote(task), run.attempt)
            })
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .take(500)
            .map(|(number, task, attempt, how)| {
                format!("[{number},{},{attempt},\"{how}\",\"\"]", quote(task))
            })
            .collect();
        format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            self.clock_ms(),
            self.born,
            running.join(","),
            ended.join(",")
        )
    }

    fn clock_body(&self) -> String {
        format!("{{\"clock_ms\":{},\"born\":{}}}", self.clock_ms(), self.born)
    }

    fn reason(&self, reason: &str) -> String {
        let clock = self.clock_ms();
        format!("{{\"clock_ms\":{clock},\"born\":{},\"reason\":\"{reason}\"}}", self.born)
    }
}
