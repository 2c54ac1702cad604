//! Announcements of the upstream. They show its capacity and its leaving, but prove
//! nothing about its runs.

use super::{Announcement, Guard};
use crate::event::Event;
use std::time::Duration;

impl Guard {
    /// Records an announcement of the upstream. One of another process than the one that
    /// has answered last waits until that process answers: it may be delayed, or of
    /// another sender, while the runs of the present process go on. Before any has
    /// answered, nothing runs.
    pub fn announce(&mut self, now: Duration, announcement: Announcement) {
        if self.started_at == 0 {
            self.detect_restart(now, announcement.started_at);
        }
        if announcement.started_at != self.started_at {
            if !self.previous_starts.contains(&announcement.started_at) {
                self.unconfirmed = Some(announcement);
            }
            return;
        }
        let is_overtaken = self.announced.as_ref().is_some_and(|known| {
            known.started_at == announcement.started_at
                && known.clock > announcement.clock
                && !self.is_ahead(now, known.clock)
        });
        if is_overtaken || self.is_ahead(now, announcement.clock) {
            return;
        }
        let known = self.announced.as_ref();
        let changed = known.is_none_or(|known| {
            known.upstream != announcement.upstream || known.leaving != announcement.leaving
        });
        self.announced = Some(announcement);
        if changed {
            self.dirty = true;
            self.send_upstream(None);
        }
        self.claim(now);
    }

    /// Adopts an announcement that waited for the process that has just answered, and
    /// discards one of any other process.
    pub(super) fn confirm_announcement(&mut self, now: Duration) {
        let Some(announcement) = self.unconfirmed.take() else {
            return;
        };
        if announcement.started_at == self.started_at {
            self.announce(now, announcement);
        } else {
            self.events.push(Event::AnnouncementIgnored {
                started_at: announcement.started_at,
                present_start: self.started_at,
            });
        }
    }

    /// Records that the upstream has announced its shutdown.
    pub fn withdraw(&mut self) {
        if let Some(announced) = &mut self.announced {
            announced.leaving = true;
            self.dirty = true;
        }
        self.queue.clear();
    }
}
