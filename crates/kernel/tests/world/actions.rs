//! Execution of the actions that entries and sides return, with a check of the
//! dispatcher's guarantees at each one.

use super::{DOMAIN_OUT_BOUND, Process, World, network::Item, result};
use kernel::{
    entry::{Action, Entry},
    side::{self, Side},
};
use std::{sync::Arc, time::Duration};
use wire::{
    Frame, Payload,
    frame::{Answer, Config, State},
    id::{Incarnation, Job, Task},
};

impl World {
    pub(super) fn act(&mut self, process: Process) {
        match process {
            Process::Entry(index) => self.act_entry(index),
            Process::Side(index) => self.act_side(index),
        }
        self.check_revision(process);
        self.update_available();
    }

    pub(super) fn act_entry(&mut self, index: usize) {
        let Some(entry) = &mut self.entries[index] else {
            return;
        };
        for action in entry.take_actions() {
            match action {
                Action::Send(to, frame) => self.send(self.entry_ids[index], to, frame),
                Action::Answer(customer, answer) => self.record_answer(customer, answer),
                Action::Fenced => {
                    self.fenced.insert(index);
                }
            }
        }
    }

    pub(super) fn act_side(&mut self, index: usize) {
        let Some(side) = &mut self.sides[index] else {
            return;
        };
        for action in side.take_actions() {
            match action {
                side::Action::Send(to, frame) => self.send(self.side_ids[index], to, frame),
                side::Action::Start(start) => self.start_task(index, start),
                side::Action::Entries(_) => {}
            }
        }
    }

    pub(super) fn send(&mut self, from: Incarnation, to: Incarnation, frame: Frame) {
        let pipe = self.pipes.iter_mut().rev().find_map(|pipe| {
            let end = pipe.ends.iter().position(|end| *end == to)?;
            (pipe.ends[1 - end] == from && pipe.current[1 - end]).then_some((pipe, end))
        });
        if let Some((pipe, end)) = pipe
            && pipe.open
        {
            self.frames += u64::from(!matches!(frame, Frame::Heartbeat(_)));
            pipe.items[end].push_back(Item::Frame(frame));
        }
    }

    pub(super) fn start_task(&mut self, index: usize, start: side::Start) {
        let count = self.starts.entry(start.task).or_default();
        *count += 1;
        if *count > 1 {
            self.violations
                .push(format!("{:?} started more than once", start.task));
        }
        if self.voided.contains(&(index, start.task.job)) {
            self.violations.push(format!(
                "{:?} started after its job was tombstoned",
                start.task
            ));
        }
        if self.reported_unstarted.contains(&start.task.job) {
            self.violations.push(format!(
                "{:?} started after its job was reported as not started",
                start.task
            ));
        }
        self.start_log.push((self.now, index, start.task));
        self.check_domain(index, start.task);
        self.running[index].push(start);
    }

    /// Checks that no task starts in a domain whose removal was accepted more than
    /// [`DOMAIN_OUT_BOUND`] ago, or without a fresh configuration.
    pub(super) fn check_domain(&mut self, index: usize, task: Task) {
        let domain = Self::domain(index);
        let out_here = self.sides[index]
            .as_ref()
            .is_some_and(|side| side.state() == Some(State::DomainOut));
        if out_here {
            self.violations.push(format!(
                "{task:?} started in {domain}, which is out by the side's own rule"
            ));
        }
        let now = self.now;
        let age = self.sides[index].as_ref().map(|side| side.config_age(now));
        if age.is_some_and(|age| age > kernel::MAX_CONFIG_AGE) {
            let violation = format!("{task:?} started without a fresh configuration");
            self.violations.push(violation);
        }
        let limit = self.now.saturating_sub(DOMAIN_OUT_BOUND);
        let is_due = |since: &Option<Duration>| since.is_some_and(|since| since <= limit);
        let in_effect = self.available_since.iter().rposition(is_due);
        let Some(in_effect) = in_effect else { return };
        let is_out = |config: &Config| {
            let line = format!("[domain {domain}]\nstate = out");
            config.text.contains(&line)
        };
        let since_then = &self.store[in_effect..];
        if since_then.iter().all(|(_, config)| is_out(config)) {
            self.violations.push(format!(
                "{task:?} started in {domain} after its removal took effect"
            ));
        }
    }

    pub(super) fn check_revision(&mut self, process: Process) {
        let revision = match process {
            Process::Entry(index) => self.entries[index]
                .as_ref()
                .and_then(Entry::config)
                .map(|config| config.revision),
            Process::Side(index) => self.sides[index].as_ref().map(Side::revision),
        };
        let revision = revision.unwrap_or(0);
        let highest = self.revisions.entry(self.id(process)).or_default();
        if revision < *highest {
            self.violations
                .push(format!("{process:?} reverted to revision {revision}"));
        }
        *highest = revision.max(*highest);
    }

    pub(super) fn record_answer(&mut self, customer: u64, answer: Arc<Answer>) {
        let job = self.submitted.get(&customer).map(|(_, job)| *job);
        if let (Answer::Complete(answers), Some(job)) = (answer.as_ref(), job) {
            let is_expected = |(index, answer): (usize, &Payload)| {
                let index = u16::try_from(index).unwrap();
                *answer == result(Task { job, index })
            };
            if !answers.iter().enumerate().all(is_expected) || answers.len() != self.tasks_of(job) {
                self.violations
                    .push(format!("{job} got an incomplete or wrong answer"));
            }
        }
        if let Some(job) = job {
            self.check_not_run(customer, job, &answer);
        }
        if self.answers.insert(customer, answer).is_some() {
            self.violations
                .push(format!("customer {customer} was answered twice"));
        }
    }

    /// Returns the number of tasks of a completed job. All of its tasks have
    /// started, so it follows from the recorded starts.
    pub(super) fn tasks_of(&self, job: Job) -> usize {
        self.started_tasks(job)
    }

    pub(super) fn started_tasks(&self, job: Job) -> usize {
        let tasks = self.starts.keys().filter(|task| task.job == job);
        tasks
            .map(|task| usize::from(task.index) + 1)
            .max()
            .unwrap_or(0)
    }
}
