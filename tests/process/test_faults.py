"""Guards against broken guarantees for model calls while processes are killed,
paused, stopped or disconnected, and while a prompt crashes engines. The checks
read only what engines, store and callers recorded."""

import signal
import threading
import time

from fleet import SIGCONT, SIGSTOP, wait_until
from traffic import (Call, Traffic, billed_steps, calls_without_bill, check_bills,
                     crash_causes, engine_runs, now_ms, run_concurrently,
                     run_matrix, wait_models_served, warm_up)

# Targets of docs/design.md.
LEAVING_MS = 3000
STALE_S = 9 + 1
AGENT_BILL_S = 15


# Complete answers.


def whole_answers(fleet):
    """Guards against answers that are truncated, swapped or marked complete too
    early when an agent is killed."""
    warm_up(fleet)

    def kill():
        time.sleep(1.5)
        fleet.agents[0].kill()

    def ask(index):
        return lambda: Call(
            fleet, fleet.entries[index % 3], "whole %d?" % index,
            customer=fleet.customers[index % len(fleet.customers)],
            stream=index % 2 == 0, max_tokens=40)
    calls = run_concurrently([kill] + [ask(index) for index in range(200)])[1:]
    complete = [call for call in calls if call.claims_complete()]
    wrong_text = [call for call in complete if not call.has_expected_text()]
    assert not wrong_text, wrong_text[:3]
    interrupted = [call for call in calls if call.stream and call.status == 200
                   and not call.complete]
    unreported = [call for call in interrupted
                  if call.connection_lost or not call.error.get("code")]
    assert not unreported, unreported[:3]
    complete_with_error = [call for call in calls if call.complete and call.error]
    assert not complete_with_error, complete_with_error[:3]
    without_error_code = [call for call in calls if call.status is None
                          or (call.status != 200 and not call.error.get("code"))]
    assert not without_error_code, without_error_code[:3]
    print("whole_answers: %d whole, %d streams cut with an error event, "
          "%d refused" % (len(complete), len(interrupted),
                          len(calls) - len(complete) - len(interrupted)), flush=True)
    assert len(complete) >= 100 and interrupted, (len(complete), len(interrupted))
    first_engine_runs = fleet.read_observations(fleet.engines[0])["runs"]
    assert any(run["outcome"] == "cancelled"
               for run in first_engine_runs), first_engine_runs[:3]
    fleet.replace_agent(fleet.agents[0])


# Crashing prompt.


def crashing_prompt(fleet):
    """Guards against one request that crashes one engine after another."""
    with Traffic(fleet, per_entry=1, customer=fleet.customers[1]) as first:
        with Traffic(fleet, per_entry=1, customer=fleet.customers[2]) as second:
            time.sleep(1)
            crashing_calls = []
            end = time.monotonic() + 45
            while time.monotonic() < end:
                crashing_calls.append(Call(
                    fleet, fleet.entries[len(crashing_calls) % 3], "take the POISON"))
                last = [call.error.get("code") for call in crashing_calls[-6:]]
                if last == ["request_quarantined"] * 6:
                    break
                time.sleep(0.02)
            time.sleep(2)
    causes = crash_causes(fleet)
    assert 1 <= len(causes) <= 3 and set(causes) == {"poison"}, causes
    assert last == ["request_quarantined"] * 6, crashing_calls[-6:]
    assert crashing_calls[-1].status == 422, crashing_calls[-1]
    harmless = first.calls + second.calls
    failed = [call for call in harmless if not call.has_expected_text()]
    assert not failed, (len(failed), len(harmless), failed[:5])


# Graceful stop.


def open_streams(fleet, entry, count):
    """Starts streams at an entry; returns a function that waits for the calls."""
    calls = []
    threads = [threading.Thread(target=lambda index=index: calls.append(Call(
        fleet, entry, "stream %d %f" % (index, now_ms()), stream=True,
        max_tokens=60, customer=fleet.customers[index % len(fleet.customers)])))
        for index in range(count)]
    started = now_ms()
    for thread in threads:
        thread.start()
    wait_until(lambda: sum(run["arrived_ms"] > started
                           for run in engine_runs(fleet))
               >= count, "all streams have begun")

    def join():
        for thread in threads:
            thread.join(60)
        return calls
    return join


def entry_stops(fleet):
    """Guards against a graceful stop of an entry that truncates streams or loses
    bills."""
    entry = fleet.entries.pop()
    join = open_streams(fleet, entry, 12)
    assert entry.terminate() == 0
    steps_at_exit = billed_steps(fleet)
    calls = join()
    assert all(call.claims_complete() and call.has_expected_text()
               for call in calls), calls
    assert all((call.request_id, 0) in steps_at_exit
               for call in calls), len(steps_at_exit)
    check_bills(fleet, calls)
    fleet.start_entry(entry.name, entry.zone)
    fleet.publish_hosts()
    wait_models_served(fleet)


def busiest_agent(fleet):
    """Returns the agent whose engine runs the most requests now."""
    return max(fleet.agents, key=lambda agent: sum(
        run["outcome"] == "running" for run in engine_runs(fleet, [agent.backend])))


def agent_stops(fleet):
    """Guards against a graceful stop of an agent that truncates streams."""
    join = open_streams(fleet, fleet.entries[0], 12)
    agent = busiest_agent(fleet)
    agent_requests = {run["request"] for run in engine_runs(fleet, [agent.backend])
                      if run["outcome"] in ("running", "queued")}
    assert agent_requests, "the agent serves no stream"
    assert agent.terminate() == 0
    calls = join()
    assert all(call.claims_complete() and call.has_expected_text()
               for call in calls), calls
    assert any(call.request_id in agent_requests for call in calls)
    wait_until(lambda: not calls_without_bill(fleet, calls), "all bills",
               AGENT_BILL_S)
    check_bills(fleet, calls)
    fleet.replace_agent(agent)


def second_signal(fleet):
    """Guards against a process that ignores a second SIGTERM, or whose exit code
    then reports a graceful stop."""
    for role in ("entry", "agent"):
        join = open_streams(fleet, fleet.entries[1], 12)
        process = fleet.entries[1] if role == "entry" else busiest_agent(fleet)
        process.signal(signal.SIGTERM)
        time.sleep(0.3)
        assert process.process.poll() is None, "exited before its streams ended"
        assert process.terminate(10) == 3, process.process.returncode
        calls = join()
        complete = [call for call in calls if call.claims_complete()]
        assert all(call.has_expected_text() for call in complete), complete
        assert len(complete) < len(calls), "no stream was truncated"
        if role == "entry":
            fleet.entries.remove(process)
            fleet.entries.insert(1, fleet.start_entry(process.name, process.zone))
            fleet.entries.pop()
            fleet.publish_hosts()
            wait_models_served(fleet)
        else:
            fleet.replace_agent(process)


# Leaving.


def leaving(fleet):
    """Guards against new requests for a host that the list of hosts marks as
    leaving: while its process still answers, when the mark is published twice,
    and when the replacement leaves too. Leaving is final for the lifetime of a
    process."""
    warm_up(fleet)
    with Traffic(fleet, per_entry=10) as traffic:
        for _ in range(2):
            agent = fleet.agents[1]
            begin = now_ms()
            wait_until(lambda: any(run["arrived_ms"] > begin for run in
                                   engine_runs(fleet, [agent.backend])),
                       "the agent runs requests", 20)
            agent.leaving = True
            fleet.publish_hosts()
            published_ms = now_ms()
            time.sleep(LEAVING_MS / 1000 + 1)
            fleet.publish_hosts()
            time.sleep(3)
            late = [run["arrived_ms"] for run in engine_runs(fleet, [agent.backend])
                    if run["arrived_ms"] > published_ms + LEAVING_MS]
            assert not late, (published_ms, late[:5])
            assert agent.process.poll() is None
            assert agent.terminate() == 0
            fleet.replace_agent(agent)
            fleet.agents.insert(1, fleet.agents.pop())
    failed = [call for call in traffic.calls if not call.has_expected_text()]
    assert not failed, (len(failed), len(traffic.calls), failed[:5])


# Stale configuration.


def cut_off_entry(fleet):
    """Guards against an entry that keeps serving although its configuration may be
    stale. The store and the peers are paused, which the entry cannot tell from
    a network partition."""
    entry, others = fleet.entries[2], fleet.entries[:2] + [fleet.store]
    cut_ms = now_ms()
    for process in others:
        process.signal(SIGSTOP)
    try:
        with Traffic(fleet, per_entry=1, entries=[entry]) as traffic:
            time.sleep(STALE_S + 3)
    finally:
        for process in others:
            process.signal(SIGCONT)
    after = [call for call in traffic.calls
             if call.sent_ms > cut_ms + STALE_S * 1000]
    wrong = [call for call in after if call.error.get("code") != "config_stale"
             or call.error["ran"] != "not_run"]
    assert after and not wrong, wrong[:5]
    served = {run["request"]: run["arrived_ms"] for run in engine_runs(fleet)}
    assert not any(call.request_id in served for call in after)
    assert any(call.status == 200 for call in traffic.calls), traffic.calls[:3]
    wait_models_served(fleet)


def store_outage(fleet):
    """Guards against a store outage that makes model calls fail."""
    fleet.set_faults(fleet.store, down=True)
    try:
        with Traffic(fleet, per_entry=1, pause_s=0.1) as traffic:
            time.sleep(20)
    finally:
        fleet.set_faults(fleet.store, down=False)
    failed = [call for call in traffic.calls if not call.has_expected_text()]
    assert not failed, (len(failed), len(traffic.calls), failed[:5])
    wait_until(lambda: not calls_without_bill(fleet, traffic.calls), "all bills",
               AGENT_BILL_S)


SLOW = {"engine_options": ["--token-ms", "25", "--slots", "32"]}
POISON = {"engine_options": ["--poison", "POISON"]}

if __name__ == "__main__":
    run_matrix([
        (SLOW, [whole_answers, entry_stops, agent_stops, second_signal]),
        (POISON, [crashing_prompt]),
        ({}, [leaving]),
        ({}, [cut_off_entry, store_outage]),
    ])
