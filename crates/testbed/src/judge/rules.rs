//! The rules: for each a function that returns its violations, as times and descriptions.
use super::fact_index::{Call, FactIndex};
use super::{Rule, Violation};
use crate::clock::{Ns, MS, SECOND};
use crate::facts::{HandInResult, Notice, ProcessEvent, Reply};
use crate::spec::Link;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Tolerance of each time limit on sockets (PROTOCOL, The rules on sockets).
const SLACK: Ns = 50 * MS;
/// How long after its deadline a message may end.
const END_GRACE: Ns = 300 * MS;
/// A sender may start calls to an endpoint until this long after it learned that the endpoint drains.
const DRAIN_GRACE: Ns = 500 * MS;
/// Calls that were already under way may arrive until this long after a refusal with `Retry-After`.
const CROSSING_GRACE: Ns = 100 * MS;
/// One connection closed without an answer is forgiven for each of this many messages (FLEET).
const MESSAGES_PER_FORGIVEN_CLOSE: usize = 200;

/// Returns the violations of one rule.
pub fn violations(index: &FactIndex, rule: Rule) -> Vec<Violation> {
    let found = match rule {
        Rule::Lost => lost(index),
        Rule::LateEnd => late_end(index),
        Rule::Twice => twice(index),
        Rule::Drain => drain(index),
        Rule::Wait => wait(index),
        Rule::ColdReturn => cold_return(index),
        Rule::Misdirected => misdirected(index),
        Rule::Stray => stray(index),
        Rule::Stranger => stranger(index),
        Rule::Crash => crash(index),
    };
    found.into_iter().map(|(at, description)| Violation { rule, at, description }).collect()
}

/// Times and descriptions of violations.
type Findings = Vec<(Ns, String)>;

fn ms(span: Ns) -> i64 {
    span / MS
}

/// Finds accepted messages that have not ended, unless they were lost with the state folder, and client
/// connections closed without an answer, if there are more than are forgiven.
fn lost(index: &FactIndex) -> Findings {
    let mut found = Vec::new();
    let mut closed = Vec::new();
    for m in index.messages.values() {
        if let Some(accepted_at) = m.accepted_at() {
            if index.ended_at(m).is_none() && !index.emptied_after(m.sender, accepted_at) {
                let what = format!(
                    "message {:016x}, accepted by sender {} at {} ms, has not ended",
                    m.id,
                    m.sender,
                    ms(accepted_at)
                );
                found.push((m.due, what));
            }
        }
        if let Some((at, HandInResult::Closed)) = m.result {
            if !index.notices_excused(m.sender, at) {
                closed.push((at, m.id, m.sender));
            }
        }
    }
    if closed.len() * MESSAGES_PER_FORGIVEN_CLOSE > index.messages.len() {
        found.extend(closed.into_iter().map(|(at, id, sender)| {
            (
                at,
                format!(
                    "message {id:016x}: sender {sender} closed its client's connection without an answer"
                ),
            )
        }));
    }
    found
}

/// Finds accepted messages that ended too long after their deadline.
fn late_end(index: &FactIndex) -> Findings {
    let late = index.messages.values().filter(|m| m.accepted_at().is_some()).filter_map(|m| {
        let ended = index.ended_at(m)?;
        let bound = m.due + END_GRACE + SLACK;
        // A restart excuses the messages that became due during it, until it is over.
        let in_time = ended <= bound
            || index.notices_excused(m.sender, bound) && index.notices_excused(m.sender, ended);
        let late = ms(ended - m.due);
        (!in_time).then(|| (ended, format!("message {:016x} ended {late} ms after its deadline", m.id)))
    });
    late.collect()
}

/// Returns true if the sender knew at `at` that the call had no effect.
fn known_refused_before(call: &Call, at: Ns) -> bool {
    call.reply.is_some_and(|(when, reply)| reply.never_ran() && when <= at)
}

/// Finds messages that must not be repeated, but took effect more than once, or were sent again or handed
/// back although a call may have run.
fn twice(index: &FactIndex) -> Findings {
    let mut found = Vec::new();
    for m in index.messages.values() {
        let repeatable = index.class_of(m).is_none_or(|c| index.terms.classes[c].may_repeat);
        if repeatable {
            continue;
        }
        let calls: Vec<&Call> = m.calls.iter().map(|c| &index.calls[*c]).collect();
        let effects = calls.iter().map(|c| c.effects.len()).sum::<usize>();
        if effects > 1 {
            let at = calls.iter().flat_map(|c| &c.effects).max().copied().unwrap_or_default();
            found.push((at, format!("message {:016x} took effect {effects} times", m.id)));
        }
        for (i, later) in calls.iter().enumerate() {
            if let Some(earlier) = calls[..i].iter().find(|c| !known_refused_before(c, later.first)) {
                let what = format!(
                    "message {:016x}: call {} of sender {} follows call {}, which may have run",
                    m.id, later.number, later.sender, earlier.number
                );
                found.push((later.last, what));
            }
        }
        for (at, notice) in &m.notices {
            if *notice == Notice::HandedBack && calls.iter().any(|c| !known_refused_before(c, *at)) {
                found.push((
                    *at,
                    format!("message {:016x} was handed back after a call that may have run", m.id),
                ));
            }
        }
    }
    found
}

/// Finds calls to endpoints that the sender knew to drain.
fn drain(index: &FactIndex) -> Findings {
    let late = index.calls.iter().filter_map(|call| {
        let known_since = index.known_draining_since(call.sender, call.endpoint, call.first)?;
        let after = call.first - known_since;
        let delayed = index.link_disturbed(Link::Endpoints, call.sender, call.first, call.first);
        (after > DRAIN_GRACE + SLACK && !delayed).then(|| {
            let what = format!(
                "call {} of sender {} to endpoint {} began {} ms after the sender knew that it drains",
                call.number,
                call.sender,
                call.endpoint,
                ms(after)
            );
            (call.first, what)
        })
    });
    late.collect()
}

/// Finds calls to a destination within the `Retry-After` of a refusal by it.
fn wait(index: &FactIndex) -> Findings {
    let dest = |c: &Call| index.terms.dest_of[c.endpoint as usize];
    let mut by_pair: BTreeMap<(u32, u32), Vec<&Call>> = BTreeMap::new();
    for call in &index.calls {
        by_pair.entry((call.sender, dest(call))).or_default().push(call);
    }
    let mut found = Vec::new();
    for ((sender, dest), calls) in by_pair {
        for refused in &calls {
            let Some((at, Reply::Refused { wait: Some(wait), .. })) = refused.reply else { continue };
            let forbidden = at + CROSSING_GRACE + SLACK..at + wait - SLACK;
            for call in calls.iter().filter(|c| forbidden.contains(&c.last)) {
                // On a disturbed link both the refusal and the call may have been delayed.
                let delayed = index.link_disturbed(Link::Endpoints, sender, at, call.last);
                if !delayed && !index.restarted_within(sender, at, call.last) {
                    let what =
                        format!(
                        "call {} of sender {sender} came to destination {dest} {} ms into a wait of {} ms",
                        call.number, ms(call.last - at), ms(wait)
                    );
                    found.push((call.last, what));
                }
            }
        }
    }
    // A call within two waits is one violation. Calls of the same time count once too.
    found.sort();
    found.dedup_by(|a, b| a.0 == b.0);
    found
}

/// Finds cold endpoints that failed under calls of which two thirds or more came from senders that had seen
/// the destination fail.
fn cold_return(index: &FactIndex) -> Findings {
    let mut found = Vec::new();
    for (at, endpoint) in &index.overload_failures {
        let dest = index.terms.dest_of[*endpoint as usize];
        let Some((from, to)) = index.outages.get(&dest).and_then(|o| o.iter().rfind(|o| o.1 <= *at)) else {
            continue;
        };
        let saw_failure = senders_that_saw_failure(index, dest, *from, *to);
        let recent = index.calls.iter().filter(|c| {
            c.endpoint == *endpoint && (*at - index.terms.overload_window..=*at).contains(&c.last)
        });
        let (mut all, mut knowing) = (0, 0);
        for call in recent {
            all += 1;
            knowing += usize::from(saw_failure.contains(&call.sender));
        }
        if knowing * 3 >= all * 2 {
            let what = format!(
                "endpoint {endpoint} failed under {all} calls within {} s, \
                 {knowing} of them from senders that had seen its destination fail",
                index.terms.overload_window / SECOND
            );
            found.push((*at, what));
        }
    }
    found
}

/// Returns the senders that had a call fail at a destination during an outage. Refused connections are not
/// among the facts, so senders that held a message for the destination at that time count too.
fn senders_that_saw_failure(index: &FactIndex, dest: u32, from: Ns, to: Ns) -> BTreeSet<u32> {
    let called = index.calls.iter().filter(|c| {
        let fails = c.reply.is_none_or(|(_, r)| r != Reply::Delivered);
        fails && index.terms.dest_of[c.endpoint as usize] == dest && (from..=to).contains(&c.last)
    });
    let held = index.messages.values().filter(|m| {
        let for_dest = index.requests.get(&m.request).is_some_and(|r| r.dest == dest);
        for_dest && m.accepted_at().is_some_and(|t| t <= to) && index.ended_at(m).is_none_or(|e| e >= from)
    });
    called.map(|c| c.sender).chain(held.map(|m| m.sender)).collect()
}

/// Finds calls to an endpoint of another destination.
fn misdirected(index: &FactIndex) -> Findings {
    let misdirected = index.calls.iter().filter_map(|call| {
        let request = index.requests.get(&index.messages.get(&call.message)?.request)?;
        let dest = index.terms.dest_of[call.endpoint as usize];
        (dest != request.dest).then(|| {
            let what = format!(
                "call {}: a message for destination {} went to endpoint {} of destination {dest}",
                call.number, request.dest, call.endpoint
            );
            (call.last, what)
        })
    });
    misdirected.collect()
}

/// Finds calls without a client's message, with a changed body, or beyond the highest number of attempts.
fn stray(index: &FactIndex) -> Findings {
    let mut found: Findings = index
        .calls_without_id
        .iter()
        .map(|(at, sender, endpoint)| {
            (*at, format!("a call of sender {sender} to endpoint {endpoint} has no message id"))
        })
        .collect();
    let mut attempts: HashMap<u64, usize> = HashMap::new();
    for call in &index.calls {
        let count = attempts.entry(call.message).or_default();
        *count += 1;
        if !index.messages.contains_key(&call.message) {
            found.push((
                call.last,
                format!("call {}: no client handed in message {:016x}", call.number, call.message),
            ));
        } else if !call.intact {
            found.push((
                call.last,
                format!("call {}: the body of message {:016x} was changed", call.number, call.message),
            ));
        } else if *count == index.terms.max_attempts + 1 {
            found.push((
                call.last,
                format!("message {:016x} has more than {} attempts", call.message, index.terms.max_attempts),
            ));
        }
    }
    found
}

/// Finds peers that sent no valid request and were accepted, or not answered in time.
fn stranger(index: &FactIndex) -> Findings {
    let violated =
        index.strangers.iter().filter(|s| !index.notices_excused(s.sender, s.at)).filter_map(|s| {
            let what = match s.answered {
                _ if s.taken => "was accepted".to_string(),
                None => format!("got neither an error nor a close within {} ms", ms(s.within)),
                Some(after) if after > s.within + SLACK => format!("was answered after {} ms", ms(after)),
                Some(_) => return None,
            };
            Some((s.at, format!("a stranger ({}) at sender {} {what}", s.form, s.sender)))
        });
    violated.collect()
}

/// Finds processes that ended by themselves, were not ready in time or used another sender's state.
fn crash(index: &FactIndex) -> Findings {
    let events = index
        .processes
        .iter()
        .enumerate()
        .flat_map(|(sender, events)| events.iter().map(move |e| (sender, e)));
    let violations = events.filter_map(|(sender, (at, event))| match event {
        ProcessEvent::Exited { expected: false } => Some((*at, format!("sender {sender} ended by itself"))),
        ProcessEvent::TookForeignFolder => {
            Some((*at, format!("sender {sender} used another sender's state folder")))
        }
        ProcessEvent::NotReady => Some((*at, format!("sender {sender} was not ready in time"))),
        _ => None,
    });
    violations.collect()
}
