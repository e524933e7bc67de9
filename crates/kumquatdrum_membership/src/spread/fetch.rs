//! Getting a version: questions to those who have it, and answers to questions.

use kumquatdrum_types::{BootId, HostId, Moment, Version};

use super::machine::{Wanted, send};
use super::start::Knowledge;
use super::timing::ASK_RETRY;
use super::{Message, News, Output, Setup, Spread, Text};

impl Spread {
    /// Learns that a host has a version; asks for it where it is higher.
    pub(super) fn want(
        &mut self,
        now: Moment,
        from: &HostId,
        version: Version,
        out: &mut Vec<Output>,
    ) {
        if version <= self.version() {
            return;
        }
        match &mut self.wanted {
            Some(wanted) if wanted.version > version => return,
            Some(wanted) if wanted.version == version => {
                if !wanted.holders.contains(from) {
                    wanted.holders.push(from.clone());
                }
            }
            wanted => {
                let asked = wanted.as_ref().and_then(|wanted| wanted.asked);
                *wanted = Some(Wanted {
                    version,
                    holders: vec![from.clone()],
                    asked,
                });
            }
        }
        self.fetch(now, out);
    }

    /// Asks a holder of the wanted version, one at a time.
    pub(super) fn fetch(&mut self, now: Moment, out: &mut Vec<Output>) {
        let Some(wanted) = &mut self.wanted else {
            return;
        };
        if wanted.asked.is_some_and(|asked| now - asked < ASK_RETRY) {
            return;
        }
        wanted.asked = Some(now);
        wanted.holders.rotate_left(1);
        if let Some(to) = wanted.holders.last().cloned() {
            self.ask(now, &to, out);
        }
    }

    pub(super) fn take_ask(
        &mut self,
        now: Moment,
        from: &HostId,
        boot: BootId,
        version: Version,
        mark: u64,
        out: &mut Vec<Output>,
    ) {
        self.note(now, from, boot, version, out);
        let message = match self.held() {
            Some(held) if held.version > version => {
                let base = self
                    .history
                    .iter()
                    .find(|setup| setup.version == version && setup.mark() == mark);
                Message::News(News {
                    version: held.version,
                    digest: held.digest.clone(),
                    text: Text::between(base, held),
                })
            }
            _ => self.have(now),
        };
        send(out, from, message);
        self.want(now, from, version, out);
    }

    pub(super) fn take_news(
        &mut self,
        now: Moment,
        from: &HostId,
        boot: BootId,
        news: News,
        out: &mut Vec<Output>,
    ) {
        self.note(now, from, boot, news.version, out);
        if news.version <= self.version() {
            return;
        }
        let text = news.text.apply(self.held());
        let setup = text.map(|text| Setup::new(news.version, text));
        match setup.filter(|setup| setup.digest == news.digest) {
            Some(setup) => {
                self.install(now, setup, Some(from), out);
                send(out, from, self.have(now));
            }
            // A difference to a version that this host held when it asked, but holds no more.
            None => self.want(now, from, news.version, out),
        }
    }

    pub(super) fn drive_start(&mut self, now: Moment, out: &mut Vec<Output>) {
        let knowledge = Knowledge {
            control: &self.control,
            is_held: self.held().is_some(),
            is_fetching: self.wanted.is_some(),
            has_majority: self.own_majority.is_some(),
        };
        let Some(start) = &mut self.start else {
            return;
        };
        if let Some(is_confirmed) = start.judge(now, knowledge) {
            self.start = None;
            out.push(Output::Ready { is_confirmed });
            return;
        }
        if !start.is_due(now) {
            return;
        }
        let near = self.paths.near();
        let control = self
            .control
            .iter()
            .filter(|host| **host != self.config.host && !self.paths.is_own(host));
        let unanswered: Vec<HostId> = near
            .chain(control)
            .filter(|host| !start.has_answered(host))
            .cloned()
            .collect();
        let message = Message::Ask {
            version: self.history.back().map_or(Version(0), |held| held.version),
            mark: self.history.back().map_or(0, Setup::mark),
        };
        for to in unanswered {
            send(out, &to, message.clone());
        }
    }

    fn ask(&mut self, now: Moment, to: &HostId, out: &mut Vec<Output>) {
        if let Some(wanted) = &mut self.wanted {
            wanted.asked = Some(now);
        }
        let message = Message::Ask {
            version: self.version(),
            mark: self.held().map_or(0, Setup::mark),
        };
        send(out, to, message);
    }
}
