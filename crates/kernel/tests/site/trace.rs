//! Trace of what happens at a site, for histories that fail.

use super::{
    Site,
    upstream::{Call, Outcome, Stub},
};
use std::collections::BTreeSet;
use wire::lease::{Run, Task};

impl Site {
    /// Adds a line to the trace, if one is recorded.
    pub fn note(&mut self, text: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            trace.push((self.now, text()));
        }
    }

    /// Returns a task that has two runs, if any.
    pub fn overlapping_task(&self) -> Option<Task> {
        let mut seen = BTreeSet::new();
        let mut runs = self.upstreams.iter().flat_map(Stub::running);
        runs.find(|run| !seen.insert(run.task)).map(|run| run.task)
    }

    /// Returns the lines on faults, on a task, and on its job and no other task.
    pub fn trace_of(&self, task: Task) -> String {
        let (id, job) = (task.to_string(), format!("{:016x}", task.job));
        let lines = self.trace.iter().flatten();
        let lines = lines.filter(|(_, text)| {
            let of_job = text.contains(&job) && !text.contains(&format!("{job}."));
            text.contains(&id) || of_job || text.starts_with("fault")
        });
        lines.fold(String::new(), |all, (at, text)| {
            all + &format!("{:>9.3} {text}\n", at.as_secs_f64())
        })
    }

    pub(super) fn trace_call(&mut self, index: usize, call: &Call) {
        match call {
            Call::Start(_, order) => {
                let (run, lease, token) = (order.run, order.deadline, order.token);
                self.note(|| format!("s{index}: start {run} lease {lease} token {token}"));
            }
            Call::Stop(_, run, token) => {
                self.note(|| format!("s{index}: stop {run} token {token}"));
            }
            Call::Hold(..) => {}
        }
    }

    /// Records the runs that have begun or ended since the last call.
    pub(super) fn trace_runs(&mut self) {
        if self.trace.is_none() {
            return;
        }
        for index in 0..self.upstreams.len() {
            let running: BTreeSet<Run> = self.upstreams[index].running().collect();
            let before = std::mem::replace(&mut self.traced_runs[index], running.clone());
            for run in running.difference(&before) {
                self.note(|| format!("u{index}: RUN BEGINS {run}"));
            }
            for run in before.difference(&running) {
                self.note(|| format!("u{index}: RUN ENDS {run}"));
            }
        }
    }

    pub(super) fn trace_events(&mut self) {
        let Some(trace) = &mut self.trace else { return };
        let now = self.now;
        for (index, guard) in self.sides.iter_mut().enumerate() {
            let events = guard.as_mut().map(kernel::guard::Guard::take_events);
            let lines = events.into_iter().flatten();
            trace.extend(lines.map(|event| (now, format!("s{index}: {event}"))));
        }
        for (index, entry) in self.entries.iter_mut().enumerate() {
            let events = entry
                .as_mut()
                .map(kernel::dispatch::Dispatcher::take_events);
            let lines = events.into_iter().flatten();
            trace.extend(lines.map(|event| (now, format!("e{index}: {event}"))));
        }
    }
}

impl Outcome {
    pub(super) fn describe(&self) -> Option<String> {
        match self {
            Self::Admission(_, run, answer) => Some(format!("answer to start {run}: {answer:?}")),
            Self::Stopped(_, run, _, clock) => {
                Some(format!("answer to stop {run} at clock {clock}"))
            }
            Self::Gone(_) => Some("fault: hold gets no connection".to_owned()),
            Self::Inventory(..) | Self::HoldFailed(_) => None,
        }
    }
}
