//! Identifiers: process incarnations, jobs and tasks.

use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{Error, SeqAccess, Visitor},
    ser::SerializeTuple,
};
use std::{fmt, str::FromStr};

/// Identifies one execution of a process; chosen at random when it starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Identifies a job; its fields are the claims of the job's ticket.
///
/// Only the home incarnation may start the job's tasks, and only until
/// `expires`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Job {
    /// The entry incarnation that issued the ticket.
    pub home: Incarnation,
    /// Number of the ticket, unique within the incarnation.
    pub sequence: u64,
    /// Expiry of the ticket, in seconds since the Unix epoch.
    pub expires: u64,
}

const JOB_FIELDS: usize = 3;

impl Serialize for Job {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(JOB_FIELDS)?;
        tuple.serialize_element(&self.home.0)?;
        tuple.serialize_element(&self.sequence)?;
        tuple.serialize_element(&self.expires)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Job {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(JOB_FIELDS, JobVisitor)
    }
}

struct JobVisitor;

impl<'de> Visitor<'de> for JobVisitor {
    type Value = Job;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a job identifier")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Job, A::Error> {
        let mut field = |index| {
            access
                .next_element::<u64>()?
                .ok_or_else(|| A::Error::invalid_length(index, &"a job identifier"))
        };
        Ok(Job {
            home: Incarnation(field(0)?),
            sequence: field(1)?,
            expires: field(2)?,
        })
    }
}

impl fmt::Display for Job {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}-{:x}-{:x}",
            self.home, self.sequence, self.expires
        )
    }
}

/// The error of a text that is not a job identifier.
#[derive(Debug, thiserror::Error)]
#[error("not a job identifier")]
pub struct ParseError;

impl FromStr for Job {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let mut parts = text.split('-');
        let mut field = || {
            let part = parts.next().ok_or(ParseError)?;
            u64::from_str_radix(part, 16).map_err(|_| ParseError)
        };
        let job = Self {
            home: Incarnation(field()?),
            sequence: field()?,
            expires: field()?,
        };
        match parts.next() {
            None => Ok(job),
            Some(_) => Err(ParseError),
        }
    }
}

/// Identifies one task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Task {
    /// The job that the task belongs to.
    pub job: Job,
    /// Position of the task in the job, from 0.
    pub index: u16,
}
