//! Questions about jobs.
//!
//! That a job has ended, and how, never changes, so any coordinator may say it at any time. Every other answer may be
//! out of date a moment later: it is given by the tail only, and only once a majority of the voters has confirmed that
//! the view stood after the question had come. A tail that was left out of the view, or has stood still, thus shows
//! nothing older than what had been acknowledged when it was asked.
use crate::{
    coordinator::Coordinator,
    outputs::RequestId,
    under_way::{Operation, Question, WaitingRead},
};
use magpiegap_protocol::{CoordinatorResponse, JobId, JobPhase, Millis};

/// A question that could not be answered for this long is handed back, so that another coordinator is asked.
const READ_PATIENCE_MS: Millis = 350;

impl Coordinator {
    /// Takes a question; its answer comes as an output, now or later.
    pub(crate) fn read(&mut self, request: RequestId, question: Question) {
        if let Some(answer) = self.lasting_answer(&question) {
            self.answer(request, answer);
        } else if self.answers_reads() {
            self.reads.push(WaitingRead {
                request,
                question,
                since: self.now,
            });
        } else {
            self.answer(request, CoordinatorResponse::NotServing);
        }
    }

    /// Answers the questions whose turn has come.
    pub(crate) fn answer_reads(&mut self) {
        if self.reads.is_empty() {
            return;
        }
        let confirmed_at = self.replica.confirmed_at(self.now);
        let serves = self.answers_reads();
        for read in std::mem::take(&mut self.reads) {
            if let Some(answer) = self.lasting_answer(&read.question) {
                self.answer(read.request, answer);
            } else if serves && confirmed_at > read.since {
                self.answer_read(read);
            } else if serves && self.now < read.since + READ_PATIENCE_MS {
                self.reads.push(read);
            } else {
                self.answer(read.request, CoordinatorResponse::NotServing);
            }
        }
    }

    /// Whether this coordinator has all that is committed in its view.
    pub(crate) fn answers_reads(&self) -> bool {
        self.replica.is_tail() && self.settled_in_view
    }

    /// The answer, where it can't become another one.
    fn lasting_answer(&self, question: &Question) -> Option<CoordinatorResponse> {
        let phase = self
            .phase(&question.queue, question.job)
            .filter(|phase| phase.is_terminal())?;
        Some(match question.cancel {
            true => CoordinatorResponse::Accepted,
            false => CoordinatorResponse::Phase(phase),
        })
    }

    fn answer_read(&mut self, read: WaitingRead) {
        let WaitingRead {
            request, question, ..
        } = read;
        match self.phase(&question.queue, question.job) {
            None => self.answer(request, CoordinatorResponse::NoSuchJob),
            Some(_) if question.cancel => {
                self.begin_in_contact(request, Operation::Cancel(question.job))
            }
            Some(phase) => self.answer(request, CoordinatorResponse::Phase(phase)),
        }
    }

    /// A job's phase, when it is known here and was handed in at that queue.
    pub(crate) fn phase(&self, queue: &str, job: JobId) -> Option<JobPhase> {
        let job = self.machine.state.jobs.get(&job)?;
        (job.submission.queue == queue).then_some(job.phase)
    }
}
