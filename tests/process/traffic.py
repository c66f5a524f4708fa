"""Model calls with what their callers received, steady traffic, and readers of
the observations of the stand-in engines and the contents of the stand-in
store."""

import base64
import hashlib
import http.client
import json
import sys
import threading
import time
import traceback

from fleet import Fleet, decode, request, wait_until


def now_ms():
    """Milliseconds of the machine's monotonic clock, which the stand-ins
    use for their times too."""
    return time.monotonic() * 1000


class Call:
    """Makes one model call and holds what its caller received."""

    def __init__(self, fleet, entry, prompt, model="small", customer=None,
                 headers=None, stream=False, max_tokens=16, timeout=60):
        self.prompt, self.stream, self.max_tokens = prompt, stream, max_tokens
        self.status, self.headers, body = None, {}, b""
        self.connection_lost, self.entry_address = False, entry.listen
        self.sent_ms = now_ms()
        host, port = entry.listen.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
        try:
            connection.request(
                "POST", "/v1/chat/completions",
                json.dumps({"model": model, "stream": stream,
                            "max_tokens": max_tokens,
                            "messages": [{"role": "user", "content": prompt}]}),
                {"Authorization": "Bearer key-" + (customer or fleet.customers[0]),
                 "Content-Type": "application/json", **(headers or {})})
            response = connection.getresponse()
            self.status = response.status
            self.headers = {name.lower(): value
                            for name, value in response.getheaders()}
            body = response.read()
        except http.client.IncompleteRead as error:
            body, self.connection_lost = error.partial, True
        except (OSError, http.client.HTTPException):
            self.connection_lost = True
        finally:
            connection.close()
        self.received_ms = now_ms()
        self.body = body.decode()
        self.request_id = self.headers.get("x-savory-request-id", "")
        self.text, self.complete, self.error = "", False, {}
        if self.status == 200 and stream:
            self._read_events()
        elif self.status == 200 and not self.connection_lost:
            answer = json.loads(self.body)
            self.complete = True
            self.text = answer["choices"][0]["message"]["content"]
        elif self.status is not None and not self.connection_lost:
            self.error = json.loads(self.body)["error"]

    def _read_events(self):
        for event in self.body.split("\n\n"):
            if event == "data: [DONE]":
                self.complete = True
            elif event.startswith("data: {"):
                try:
                    document = json.loads(event[len("data: "):])
                except ValueError:
                    continue  # A truncated event, which the text check reports.
                self.error = document.get("error", self.error)
                for choice in document.get("choices", []):
                    self.text += choice["delta"].get("content", "")

    def claims_complete(self):
        return self.status == 200 and not self.connection_lost and self.complete

    def has_expected_text(self):
        """Whether the text is the engine's complete answer to this prompt."""
        prompt_hash = hashlib.sha256(self.prompt.encode()).hexdigest()[:8]
        return self.text == "".join("%s.%d " % (prompt_hash, index)
                                    for index in range(self.max_tokens))

    def __repr__(self):
        return "%s %s %s connection_lost=%s complete=%s after %.0f ms" % (
            self.prompt[:40], self.status, self.error or self.text[:30],
            self.connection_lost, self.complete, self.received_ms - self.sent_ms)


class Traffic:
    """Callers that each send calls to one entry, one after another."""

    def __init__(self, fleet, per_entry=2, pause_s=0.02, entries=None, **options):
        self.calls = []
        self.stopping = False

        def send_calls(entry, name):
            count = 0
            while not self.stopping:
                count += 1
                self.calls.append(Call(
                    fleet, entry, "%s question %d" % (name, count), **options))
                time.sleep(pause_s)
        self.threads = [
            threading.Thread(target=send_calls, daemon=True, args=(
                entry, "%s %d %.3f" % (entry.name, index, now_ms())))
            for entry in entries or fleet.entries for index in range(per_entry)]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stopping = True
        for thread in self.threads:
            thread.join(70)


def run_concurrently(tasks):
    """Runs functions concurrently; returns their results in order."""
    results = [None] * len(tasks)

    def run(index):
        results[index] = tasks[index]()
    threads = [threading.Thread(target=run, args=(index,), daemon=True)
               for index in range(len(tasks))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(90)
    return results


def engine_runs(fleet, engines=None):
    """Returns all runs that the engines recorded, except refused ones."""
    found = []
    for engine in engines or fleet.engines:
        for run in fleet.read_observations(engine)["runs"]:
            if run["outcome"] != "refused":
                found.append(run)
    return found


def versions_used(fleet, calls):
    """Returns the versions that ran for a list of calls."""
    ids = {call.request_id for call in calls}
    return {run["version"] for run in engine_runs(fleet) if run["request"] in ids}


def crash_causes(fleet):
    return [crash["cause"] for engine in fleet.engines
            for crash in fleet.read_observations(engine)["crash_list"]]


def billed_steps(fleet):
    """Returns the steps that the store holds under bill/: a list for each
    (request id, step)."""
    rows = json.loads(request(
        fleet.store.address, "POST", "/v3/kv/range",
        {"key": base64.b64encode(b"bill/").decode(),
         "range_end": base64.b64encode(b"bill0").decode()})[2]).get("kvs", [])
    steps = {}
    for row in rows:
        for step in json.loads(decode(row["value"]))["steps"]:
            steps.setdefault((step["request"], step["step"]), []).append(step)
    return steps


def calls_without_bill(fleet, calls):
    steps = billed_steps(fleet)
    return [call for call in calls if (call.request_id, 0) not in steps]


def check_bills(fleet, calls):
    """Checks that each answered call is billed as one step with the usage of its
    answer, and that nothing is billed that no engine ran."""
    steps = billed_steps(fleet)
    executed = {run["request"] for run in engine_runs(fleet)}
    assert all(key[0] in executed for key in steps), set(steps) - executed
    for call in calls:
        rows = [key for key in steps if key[0] == call.request_id]
        assert rows == [(call.request_id, 0)], (call, rows)
        complete_steps = {step["attempt"]: step
                          for step in steps[(call.request_id, 0)]
                          if step["complete"]}
        assert complete_steps, (call, steps[(call.request_id, 0)])
        for step in complete_steps.values():
            assert step["output_tokens"] == call.max_tokens, (call, step)


def wait_models_served(fleet):
    for entry in fleet.entries:
        wait_until(lambda: Call(fleet, entry, "ready?").status == 200,
                   entry.name + " serves a model call", 30)


def warm_up(fleet):
    """Applies load for 5 s, during which the agents raise their allowances."""
    with Traffic(fleet, per_entry=20, pause_s=0, max_tokens=4):
        time.sleep(5)


def run_matrix(groups):
    """Runs the groups concurrently, each on a fleet of its own, and the cells of a
    group in order. Arguments after the directory of binaries select cells."""
    binaries, chosen = sys.argv[1], sys.argv[2:]
    results = {}

    def run_group(options, cells):
        cells = [cell for cell in cells if not chosen or cell.__name__ in chosen]
        if not cells:
            return
        for cell in cells:
            results[cell.__name__] = "not run"
        try:
            with Fleet(binaries, services=0, **options) as fleet:
                if not any(o.startswith("--cold") for o in fleet.engine_options):
                    wait_models_served(fleet)
                for cell in cells:
                    begin = time.monotonic()
                    try:
                        cell(fleet)
                        results[cell.__name__] = None
                        print("ok %s (%.1f s)" % (
                            cell.__name__, time.monotonic() - begin), flush=True)
                    except Exception:
                        results[cell.__name__] = traceback.format_exc()[-3000:]
                        print("FAILED %s\n%s" % (
                            cell.__name__, results[cell.__name__]), flush=True)
        except Exception:
            print("FAILED fleet of %s\n%s" % (
                cells[0].__name__, traceback.format_exc()), flush=True)
    threads = [threading.Thread(target=run_group, args=group)
               for group in groups]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    passed = sum(result is None for result in results.values())
    print("matrix models: %d cells run, %d passed" % (
        sum(result != "not run" for result in results.values()), passed))
    sys.exit(0 if passed == len(results) else 1)
