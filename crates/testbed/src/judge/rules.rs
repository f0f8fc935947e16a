//! Each rule, as a function from the case to its breaks.
use super::fact_index::{Call, FactIndex};
use super::{Rule, Violation};
use crate::clock::{Ns, MS, SECOND};
use crate::facts::{HandInResult, Notice, ProcessEvent, Reply};
use crate::spec::Link;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Each time limit is so much longer on sockets (PROTOCOL, The rules on sockets).
const SLACK: Ns = 50 * MS;
/// A message's end may come so long after its time.
const LATE: Ns = 300 * MS;
/// New work to an endpoint ends so long after the sender heard that it drains.
const DRAIN: Ns = 500 * MS;
/// Calls that cross a told wait are let through for so long.
const CROSSING: Ns = 100 * MS;
/// Connections closed without an answer: one message in so many is forgiven (FLEET).
const UNANSWERED: usize = 200;

pub fn violations(case: &FactIndex, rule: Rule) -> Vec<Violation> {
    let found = match rule {
        Rule::Lost => lost(case),
        Rule::LateEnd => late_end(case),
        Rule::Twice => twice(case),
        Rule::Drain => drain(case),
        Rule::Wait => wait(case),
        Rule::ColdReturn => cold_return(case),
        Rule::Misdirected => misdirected(case),
        Rule::Stray => stray(case),
        Rule::Stranger => stranger(case),
        Rule::Crash => crash(case),
    };
    found.into_iter().map(|(at, description)| Violation { rule, at, description }).collect()
}

type Found = Vec<(Ns, String)>;

fn ms(span: Ns) -> i64 {
    span / MS
}

/// Taken on, and neither delivered nor ended by a notice; or a client's connection ended without an answer.
fn lost(case: &FactIndex) -> Found {
    let mut found = Vec::new();
    let mut closed = Vec::new();
    for m in case.messages.values() {
        if let Some(taken) = m.taken() {
            if case.ended(m).is_none() && !case.emptied_after(m.sender, taken) {
                let what = format!(
                    "message {:016x}, taken on by sender {} at {} ms, has no end",
                    m.id,
                    m.sender,
                    ms(taken)
                );
                found.push((m.due, what));
            }
        }
        if let Some((at, HandInResult::Closed)) = m.heard {
            if !case.excused(m.sender, at) {
                closed.push((at, m.id, m.sender));
            }
        }
    }
    if closed.len() * UNANSWERED > case.messages.len() {
        found.extend(closed.into_iter().map(|(at, id, sender)| {
            (
                at,
                format!("message {id:016x}: sender {sender} ended its client's connection without an answer"),
            )
        }));
    }
    found
}

fn late_end(case: &FactIndex) -> Found {
    let late = case.messages.values().filter(|m| m.taken().is_some()).filter_map(|m| {
        let ended = case.ended(m)?;
        let bound = m.due + LATE + SLACK;
        // A restart excuses what became due under it, until it is over.
        let kept = ended <= bound || case.excused(m.sender, bound) && case.excused(m.sender, ended);
        let late = ms(ended - m.due);
        (!kept).then(|| (ended, format!("message {:016x}: its end came {late} ms after its time", m.id)))
    });
    late.collect()
}

/// The call had certainly no effect, and this was told before `at`.
fn refused_before(call: &Call, at: Ns) -> bool {
    call.reply.is_some_and(|(when, reply)| reply.never_ran() && when <= at)
}

fn twice(case: &FactIndex) -> Found {
    let mut found = Vec::new();
    for m in case.messages.values() {
        let repeatable = case.class_of(m).is_none_or(|c| case.terms.classes[c].may_repeat);
        if repeatable {
            continue;
        }
        let calls: Vec<&Call> = m.calls.iter().map(|c| &case.calls[*c]).collect();
        let effects = calls.iter().map(|c| c.effects.len()).sum::<usize>();
        if effects > 1 {
            let at = calls.iter().flat_map(|c| &c.effects).max().copied().unwrap_or_default();
            found.push((at, format!("message {:016x} took effect {effects} times", m.id)));
        }
        for (i, later) in calls.iter().enumerate() {
            if let Some(earlier) = calls[..i].iter().find(|c| !refused_before(c, later.first)) {
                let what = format!(
                    "message {:016x}: call {} of sender {} follows call {}, which may have run",
                    m.id, later.number, later.sender, earlier.number
                );
                found.push((later.last, what));
            }
        }
        for (at, notice) in &m.notices {
            if *notice == Notice::HandedBack && calls.iter().any(|c| !refused_before(c, *at)) {
                found.push((
                    *at,
                    format!("message {:016x} was handed back after a call that may have run", m.id),
                ));
            }
        }
    }
    found
}

fn drain(case: &FactIndex) -> Found {
    let late = case.calls.iter().filter_map(|call| {
        let told = case.told_off(call.sender, call.endpoint, call.first)?;
        let after = call.first - told;
        let held_up = case.hurt(Link::Endpoints, call.sender, call.first, call.first);
        (after > DRAIN + SLACK && !held_up).then(|| {
            let what = format!(
                "call {} of sender {} to endpoint {} began {} ms after it was told that it drains",
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

fn wait(case: &FactIndex) -> Found {
    let dest = |c: &Call| case.terms.dest_of[c.endpoint as usize];
    let mut by_pair: BTreeMap<(u32, u32), Vec<&Call>> = BTreeMap::new();
    for call in &case.calls {
        by_pair.entry((call.sender, dest(call))).or_default().push(call);
    }
    let mut found = Vec::new();
    for ((sender, dest), calls) in by_pair {
        for told in &calls {
            let Some((at, Reply::Refused { wait: Some(wait), .. })) = told.reply else { continue };
            let inside = at + CROSSING + SLACK..at + wait - SLACK;
            for call in calls.iter().filter(|c| inside.contains(&c.last)) {
                // Over a link that holds things up neither the wait nor the call came when it was sent.
                let crossed = case.hurt(Link::Endpoints, sender, at, call.last);
                if !crossed && !case.restarted(sender, at, call.last) {
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
    // A call within two waits is one break.
    found.sort();
    found.dedup_by(|a, b| a.0 == b.0);
    found
}

/// Two thirds of what pushed a cold endpoint over came from senders that had seen its destination fail.
fn cold_return(case: &FactIndex) -> Found {
    let mut found = Vec::new();
    for (at, endpoint) in &case.falls {
        let dest = case.terms.dest_of[*endpoint as usize];
        let Some((from, to)) = case.outages.get(&dest).and_then(|o| o.iter().rfind(|o| o.1 <= *at)) else {
            continue;
        };
        let knows = knowing(case, dest, *from, *to);
        let pushed = case.calls.iter().filter(|c| {
            c.endpoint == *endpoint && (*at - case.terms.overload_window..=*at).contains(&c.last)
        });
        let (mut all, mut knowing) = (0, 0);
        for call in pushed {
            all += 1;
            knowing += usize::from(knows.contains(&call.sender));
        }
        if knowing * 3 >= all * 2 {
            let what = format!(
                "endpoint {endpoint} fell over under {all} calls in {} s, {knowing} of them from senders that had seen it fail",
                case.terms.overload_window / SECOND
            );
            found.push((*at, what));
        }
    }
    found
}

/// Senders that had a call fail at a destination in an outage. Refused connections reach no ledger, so whoever had a
/// message for the destination in that time counts too.
fn knowing(case: &FactIndex, dest: u32, from: Ns, to: Ns) -> BTreeSet<u32> {
    let called = case.calls.iter().filter(|c| {
        let fails = c.reply.is_none_or(|(_, r)| r != Reply::Delivered);
        fails && case.terms.dest_of[c.endpoint as usize] == dest && (from..=to).contains(&c.last)
    });
    let held = case.messages.values().filter(|m| {
        let of = case.requests.get(&m.request).is_some_and(|r| r.dest == dest);
        of && m.taken().is_some_and(|t| t <= to) && case.ended(m).is_none_or(|e| e >= from)
    });
    called.map(|c| c.sender).chain(held.map(|m| m.sender)).collect()
}

fn misdirected(case: &FactIndex) -> Found {
    let wrong = case.calls.iter().filter_map(|call| {
        let request = case.requests.get(&case.messages.get(&call.message)?.request)?;
        let dest = case.terms.dest_of[call.endpoint as usize];
        (dest != request.dest).then(|| {
            let what = format!(
                "call {}: a message for destination {} went to endpoint {} of destination {dest}",
                call.number, request.dest, call.endpoint
            );
            (call.last, what)
        })
    });
    wrong.collect()
}

/// Calls that no client stands behind, or with another body, or past the bound on attempts.
fn stray(case: &FactIndex) -> Found {
    let mut found: Found = case
        .nameless
        .iter()
        .map(|(at, sender, endpoint)| {
            (*at, format!("a call of sender {sender} to endpoint {endpoint} names no message"))
        })
        .collect();
    let mut attempts: HashMap<u64, usize> = HashMap::new();
    for call in &case.calls {
        let count = attempts.entry(call.message).or_default();
        *count += 1;
        if !case.messages.contains_key(&call.message) {
            found.push((
                call.last,
                format!("call {}: no client handed in {:016x}", call.number, call.message),
            ));
        } else if !call.intact {
            found.push((
                call.last,
                format!("call {}: message {:016x} has another body", call.number, call.message),
            ));
        } else if *count == case.terms.max_attempts + 1 {
            found.push((
                call.last,
                format!("message {:016x} has more than {} attempts", call.message, case.terms.max_attempts),
            ));
        }
    }
    found
}

fn stranger(case: &FactIndex) -> Found {
    let owed = case.strangers.iter().filter(|s| !case.excused(s.sender, s.at)).filter_map(|s| {
        let what = match s.answered {
            _ if s.taken => "was taken on".to_string(),
            None => format!("had neither an error nor a close within {} ms", ms(s.within)),
            Some(after) if after > s.within + SLACK => format!("was answered after {} ms", ms(after)),
            Some(_) => return None,
        };
        Some((s.at, format!("a stranger ({}) at sender {} {what}", s.form, s.sender)))
    });
    owed.collect()
}

fn crash(case: &FactIndex) -> Found {
    let lives =
        case.lives.iter().enumerate().flat_map(|(sender, lives)| lives.iter().map(move |l| (sender, l)));
    let ends = lives.filter_map(|(sender, (at, life))| match life {
        ProcessEvent::Exited { expected: false } => Some((*at, format!("sender {sender} ended unasked"))),
        ProcessEvent::TookForeignFolder => Some((*at, format!("sender {sender} took up another's folder"))),
        ProcessEvent::NotReady => Some((*at, format!("sender {sender} was not ready in time"))),
        _ => None,
    });
    ends.collect()
}
