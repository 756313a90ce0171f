//! The exchange of what entries know of crashes and of the parts involved.

use jj_utils::{clock::Timestamp, collections::FastSet, common_derives};

use crate::{
    crash_reports::{
        PartId, PartPosition, RequestPart, ServedPart, SuspectNews, TrialReport, age_ms, time_of,
    },
    crash_suspects::{CrashSuspects, HISTORY},
};

common_derives! {copy:
    /// What applying news of another entry has changed.
    #[derive(Default)]
    pub struct NewsEffect {
        /// Whether the suspects may have changed here.
        pub is_new: bool,
        /// Whether this entry knows something that the sender doesn't and needs.
        pub needs_reply: bool,
    }
}

impl CrashSuspects {
    /// Returns what other entries need to know; `None` if there is nothing.
    pub fn news(&self, now: Timestamp) -> Option<SuspectNews> {
        if self.crashes.is_empty() {
            return None;
        }
        let now = now + HISTORY;
        let crashes = self.crashes.iter().map(|it| it.report(now));
        let trials = self.trials.iter().map(|(part, began)| TrialReport {
            part: *part,
            age_ms: age_ms(now, *began),
        });
        Some(SuspectNews {
            crashes: crashes.collect(),
            served: self.served_to_tell(now),
            trials: trials.collect(),
        })
    }

    /// Returns when the parts of crashes were served, and for each of their positions enough parts
    /// served there to show that it is usual.
    fn served_to_tell(&self, now: Timestamp) -> Vec<ServedPart> {
        let lost = || self.crashes.lost_parts().copied();
        let positions: FastSet<PartPosition> = lost().map(|it| it.position).collect();
        let usual = positions
            .into_iter()
            .flat_map(|it| self.served_at_position(it));
        let mut parts: Vec<RequestPart> = lost().chain(usual).collect();
        parts.sort_unstable();
        parts.dedup();
        let known = parts
            .iter()
            .filter_map(|it| Some((*it, self.served.last_served(it.part)?)));
        let told = known.map(|(RequestPart { part, position }, at)| ServedPart {
            part,
            position,
            age_ms: age_ms(now, at),
        });
        told.collect()
    }

    /// Returns parts served at a position, as many as make it a usual one.
    fn served_at_position(&self, position: PartPosition) -> impl Iterator<Item = RequestPart> {
        let there = self.served.at_position(position);
        there.take(self.config.min_served)
    }

    /// Applies the news of another entry.
    pub fn apply_news(&mut self, now: Timestamp, news: &SuspectNews) -> NewsEffect {
        let now = now + HISTORY;
        for report in &news.crashes {
            let at = time_of(now, report.age_ms);
            self.add_crash(at, report.server, &report.requests);
        }
        let needs_reply = self.knows_more(now, news);
        for it in &news.served {
            self.set_served(time_of(now, it.age_ms), it.request_part());
        }
        for TrialReport { part, age_ms } in &news.trials {
            let at = time_of(now, *age_ms);
            let trial = self.trials.entry(*part).or_insert(at);
            *trial = at.max(*trial);
        }
        NewsEffect {
            is_new: self.conclude(now),
            needs_reply,
        }
    }

    /// Returns whether this entry knows of a served part that the sender of some news would judge
    /// otherwise if it knew.
    fn knows_more(&self, now: Timestamp, news: &SuspectNews) -> bool {
        let told = |part: PartId| news.served.iter().find(|it| it.part == part);
        let knows_more_of = |crashed_at: Timestamp, part: PartId| {
            let clears = |served_at: Timestamp| served_at > crashed_at;
            let known = self.served.last_served(part);
            match (known, told(part)) {
                (Some(known), Some(told)) => clears(known) && !clears(time_of(now, told.age_ms)),
                (known, told) => known.is_some() && told.is_none(),
            }
        };
        let knows_more_at = |position: PartPosition| {
            let there = news.served.iter().filter(|it| it.position == position);
            there.count() < self.config.min_served
                && self
                    .served_at_position(position)
                    .any(|own| news.served.iter().all(|it| it.request_part() != own))
        };
        news.crashes.iter().any(|report| {
            let at = time_of(now, report.age_ms);
            let mut lost = report.requests.iter().flatten();
            lost.any(|it| knows_more_of(at, it.part) || knows_more_at(it.position))
        })
    }
}
