"""Guards against a savoryctl result that differs from what is then in force, also
while the store fails, operators make changes concurrently or hosts hang."""

import base64
import http.server
import json
import os
import subprocess
import sys
import tempfile
import threading

from fleet import SIGCONT, SIGSTOP, Fleet, request, wait_until

HEAD = base64.b64encode(b"cfg/head").decode()
REFUSED, USAGE, CONFLICT, UNREACHABLE, UNKNOWN, UNCONFIRMED = 1, 2, 3, 4, 5, 6
NOT_FOUND = 7


def run_ctl(fleet, *arguments, store=None, **environment):
    """Runs savoryctl --json; returns the exit code and the JSON output, or
    {"text": output} if the output is not JSON."""
    result = subprocess.run(
        [os.path.join(fleet.binaries, "savoryctl"), *arguments, "--json"],
        env={**os.environ, "SAVORY_STORE": store or fleet.store.address,
             "SAVORY_HOSTS": fleet.hosts.address,
             "SAVORY_OPERATOR_TOKEN": "operator-token", **environment},
        capture_output=True, text=True, timeout=60)
    try:
        return result.returncode, json.loads(result.stdout)
    except ValueError:
        return result.returncode, {"text": result.stdout + result.stderr}


def show_configuration(fleet, *flags):
    code, answer = run_ctl(fleet, "show", *flags)
    assert code == 0, answer
    return answer["configuration"]


def write_file(document):
    """Writes a document to a temporary file; returns the name of the file."""
    with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
        file.write(document if isinstance(document, str)
                   else json.dumps(document))
    return file.name


class StoreProxy:
    """A proxy between savoryctl and the store. It forwards or drops the first
    compare-and-swap of the head and drops the response to it. It closes the
    connection of each later request without a response."""

    def __init__(self, store, forwards_swap):
        proxy = self
        self.down = False

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):
                body = self.rfile.read(int(self.headers["Content-Length"]))
                is_swap = (self.path == "/v3/kv/txn" and
                           json.loads(body)["compare"])
                if proxy.down or (is_swap and not forwards_swap):
                    proxy.down = True
                    self.close_connection = True
                    return
                status, _, answer = request(store, "POST", self.path, body)
                if is_swap:
                    proxy.down = True
                    self.close_connection = True
                    return
                self.send_response(status)
                self.send_header("Content-Length", str(len(answer)))
                self.end_headers()
                self.wfile.write(answer)

            def log_message(self, *_):
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()


def first_configuration(fleet):
    """Guards against a second init that overwrites the configuration in force."""
    before = show_configuration(fleet)
    document = dict(before, preset_in_force="maintenance", session_secret="s")
    code, answer = run_ctl(fleet, "init", write_file(document))
    assert code == REFUSED and "already" in answer["reasons"][0], answer
    assert show_configuration(fleet) == before


def bad_files(fleet):
    """Guards against a document that is applied in part, and against reporting only
    one of its faults."""
    before = show_configuration(fleet)
    bad = json.loads(json.dumps(before))
    bad["models"][0]["quality"] = 7
    bad["zones"][0]["state"] = "gone"
    bad["presets"][1]["deadline_ms"] = "soon"
    bad["preset_in_force"] = "peak"
    file = write_file(bad)
    for command in ("check", "diff", "apply"):
        code, answer = run_ctl(fleet, command, file)
        assert code == REFUSED, (command, answer)
        paths = {fault["path"] for fault in answer["faults"]}
        assert paths == {"models[0].quality", "zones[0].state",
                         "presets[1].deadline_ms"}, answer
        assert all(fault["file"] == file and fault["reason"]
                   for fault in answer["faults"]), answer
    misspelt = json.loads(json.dumps(before))
    misspelt["models"][0]["qualty"] = 0.5
    code, answer = run_ctl(fleet, "check", write_file(misspelt))
    assert code == REFUSED, answer
    assert answer["faults"][0]["path"] == "models[0].qualty", answer
    dangling = json.loads(json.dumps(before))
    dangling["customers"][0]["allowed"] = ["nope"]
    dangling["preset_in_force"] = "none"
    code, answer = run_ctl(fleet, "apply", write_file(dangling))
    assert code == REFUSED and len(answer["faults"]) == 2, answer
    for text in ("{", "", "[]", "null"):
        code, answer = run_ctl(fleet, "apply", write_file(text))
        assert code == REFUSED and len(answer["faults"]) == 1, (text, answer)
    code, answer = run_ctl(fleet, "check", "/nonexistent/file")
    assert code == REFUSED, answer
    assert show_configuration(fleet) == before


def small_changes(fleet):
    """Guards against accepted changes that the running processes do not apply."""
    entry = fleet.entries[0]
    customer = fleet.customers[1]
    assert run_ctl(fleet, "customer", "deny", customer, "large")[0] == 0
    status, _, body = fleet.chat(entry, customer, model="large")
    assert status == 403, (status, body)
    assert run_ctl(fleet, "customer", "allow", customer, "large")[0] == 0
    status, _, body = fleet.chat(entry, customer, model="large")
    assert status == 200, (status, body)

    code, answer = run_ctl(fleet, "version", "withdraw", "small", "v1")
    assert code == REFUSED and "left to serve" in answer["reasons"][0], answer
    assert run_ctl(fleet, "version", "add", "small", "v2")[0] == 0
    assert run_ctl(fleet, "rollout", "start", "small", "v1", "v2")[0] == 0
    assert show_configuration(fleet)["rollouts"] == [
        {"model": "small", "from": "v1", "to": "v2", "stage": 0}]
    code, answer = run_ctl(fleet, "version", "serve", "small", "v2")
    assert code == REFUSED and "rollout" in answer["reasons"][0], answer
    assert run_ctl(fleet, "rollout", "continue", "small", "v1", "v2")[0] == 0
    assert show_configuration(fleet)["rollouts"][0]["stage"] == 1
    assert run_ctl(fleet, "rollout", "stop", "small", "v1", "v2")[0] == 0
    after = show_configuration(fleet)
    assert after["rollouts"] == []
    assert [version["state"] for version in after["models"][0]["versions"]] == [
        "serving", "withdrawn"], after["models"][0]
    status, _, body = fleet.chat(entry, model="small@v2")
    assert status >= 400, (status, body)

    assert run_ctl(fleet, "rollout", "start", "small", "v1", "v2")[0] == 0
    for _ in range(5):
        assert run_ctl(fleet, "rollout", "continue", "small", "v1", "v2",
                       "--no-wait")[0] == 0
    versions = show_configuration(fleet)["models"][0]["versions"]
    assert [v["state"] for v in versions] == ["draining", "serving"], versions
    assert run_ctl(fleet, "rollout", "undo", "small", "v1", "v2")[0] == 0
    versions = show_configuration(fleet)["models"][0]["versions"]
    assert [v["state"] for v in versions] == ["serving", "withdrawn"], versions

    zone = fleet.zones[0]
    states = []
    for action in ("out", "in", "in"):
        assert run_ctl(fleet, "zone", action, zone)[0] == 0
        states.append(show_configuration(fleet)["zones"][0]["state"])
    assert states == ["out", "returning", "in"], states
    for name in fleet.zones[:-1]:
        assert run_ctl(fleet, "zone", "out", name, "--no-wait")[0] == 0
    code, answer = run_ctl(fleet, "zone", "out", fleet.zones[-1])
    assert code == REFUSED and "zones" in answer["reasons"][0], answer
    for name in fleet.zones[:-1]:
        for _ in range(2):
            assert run_ctl(fleet, "zone", "in", name, "--no-wait")[0] == 0


def customers(fleet):
    """Guards against a denied version that the permission for its model still
    allows, and against a new customer whose key is refused."""
    add = subprocess.run(
        [os.path.join(fleet.binaries, "savoryctl"), "customer", "add",
         "new-shop", "-", "medium", fleet.service_name, "--priority", "2"],
        env={**os.environ, "SAVORY_STORE": fleet.store.address,
             "SAVORY_HOSTS": fleet.hosts.address,
             "SAVORY_OPERATOR_TOKEN": "operator-token"},
        input="key-new-shop\n", capture_output=True, text=True, timeout=60)
    assert add.returncode == 0, add.stderr
    status, _, body = fleet.chat(fleet.entries[1], "new-shop", model="medium")
    assert status == 200, body
    assert run_ctl(fleet, "customer", "deny", "new-shop", "medium@v1")[0] == 0
    status, _, body = fleet.chat(fleet.entries[1], "new-shop", model="medium")
    assert status in (403, 404), (status, body)
    code, answer = run_ctl(fleet, "customer", "allow", "new-shop", "mediun")
    assert code == REFUSED, answer
    assert run_ctl(fleet, "customer", "remove", "new-shop")[0] == 0
    status, _, _ = fleet.chat(fleet.entries[1], "new-shop", model="medium")
    assert status == 401, status


def documents(fleet):
    """Guards against an applied document that reverts changes made since it was
    read, and against a conflict that is not reported."""
    original = show_configuration(fleet)
    assert original["session_secret"] == "(unchanged)", original
    secret = show_configuration(fleet, "--secrets")["session_secret"]
    assert run_ctl(fleet, "preset", "peak", "--no-wait")[0] == 0
    edited = json.loads(json.dumps(original))
    edited["customers"][0]["weight"] = 7
    edited["models"][1]["versions"].append({"name": "v9", "state": "withdrawn"})
    code, answer = run_ctl(fleet, "diff", write_file(edited))
    assert code == 0 and any("weight" in line for line in answer["differences"])
    assert not any(secret in line for line in answer["differences"])
    code, answer = run_ctl(fleet, "apply", write_file(edited))
    assert code == 0, answer
    after = show_configuration(fleet)
    assert after["customers"][0]["weight"] == 7
    assert after["models"][1]["versions"][-1]["name"] == "v9"
    assert after["preset_in_force"] == "peak"
    assert show_configuration(fleet, "--secrets")["session_secret"] == secret

    edited["customers"][0]["weight"] = 8
    edited["preset_in_force"] = "maintenance"
    code, answer = run_ctl(fleet, "apply", write_file(edited))
    assert code == CONFLICT, answer
    reasons = " ".join(answer["reasons"])
    assert "preset_in_force" in reasons and "weight" in reasons, reasons
    assert show_configuration(fleet) == after
    edited["revision"] = after["revision"] + 1
    code, answer = run_ctl(fleet, "apply", write_file(edited))
    assert code == REFUSED, answer
    assert run_ctl(fleet, "preset", "ordinary", "--no-wait")[0] == 0


def lost_answers(fleet):
    """Guards against an accepted change that is reported as failed, or applied
    twice, when the store's response is lost."""
    before = show_configuration(fleet)["revision"]
    fleet.set_faults(fleet.store, lose_prefix="cfg/head")
    code, answer = run_ctl(fleet, "preset", "peak", "--no-wait")
    fleet.set_faults(fleet.store, lose_prefix=None)
    assert (code, answer["outcome"]) == (0, "accepted"), answer
    assert answer["revision"] == before + 1 == show_configuration(
        fleet)["revision"]

    fleet.set_faults(fleet.store, lose_answers=3)
    code, answer = run_ctl(fleet, "preset", "maintenance", "--no-wait")
    assert code == 0 and show_configuration(
        fleet)["revision"] == before + 2, answer

    for forwards_swap in (True, False):
        revision = show_configuration(fleet)["revision"]
        preset = "ordinary" if forwards_swap else "peak"
        proxy = StoreProxy(fleet.store.address, forwards_swap)
        code, answer = run_ctl(fleet, "preset", preset, "--timeout-ms", "500",
                               store=proxy.address)
        assert code == UNKNOWN, answer
        code, answer = run_ctl(fleet, "preset", preset, "--operation",
                               answer["operation"], "--no-wait")
        assert (code, answer["outcome"]) == (0, "accepted"), answer
        after = show_configuration(fleet)
        assert after["revision"] == revision + 1 == answer["revision"], after
        assert after["preset_in_force"] == preset
    assert run_ctl(fleet, "preset", "ordinary", "--no-wait")[0] == 0


def store_failures(fleet):
    """Guards against a change that reports success while the store is down, and
    against a slow store that is reported as unreachable."""
    before = show_configuration(fleet)
    for fault in ("down", "refuse", "unavailable"):
        fleet.set_faults(fleet.store, **{fault: True})
        code, answer = run_ctl(fleet, "preset", "peak", "--timeout-ms", "600")
        show_code, _ = run_ctl(fleet, "show", "--timeout-ms", "600")
        fleet.set_faults(fleet.store, **{fault: None})
        assert (code, show_code) == (UNREACHABLE, UNREACHABLE), (fault, answer)
    assert show_configuration(fleet) == before
    fleet.set_faults(fleet.store, slow_ms=400)
    code, answer = run_ctl(fleet, "preset", "peak", "--no-wait")
    fleet.set_faults(fleet.store, slow_ms=None)
    assert code == 0, answer
    assert run_ctl(fleet, "preset", "ordinary", "--no-wait")[0] == 0


def races(fleet):
    """Guards against two concurrent changes of the preset that are both reported as
    in force."""
    fleet.set_faults(fleet.store, slow_ms=15)
    conflicts = 0
    for turn in range(20):
        start_revision = show_configuration(fleet)["revision"]
        results = {}

        def operate(preset):
            results[preset] = run_ctl(fleet, "preset", preset, "--no-wait")

        pair = ("peak", "maintenance") if turn % 2 else ("maintenance", "peak")
        threads = [threading.Thread(target=operate, args=(p,)) for p in pair]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        accepted = {answer["revision"]: preset
                    for preset, (code, answer) in results.items()
                    if answer.get("outcome") == "accepted"}
        refused = [answer for code, answer in results.values()
                   if code == CONFLICT]
        assert accepted and len(accepted) + len(refused) == 2, results
        for answer in refused:
            assert "preset" in answer["reasons"][0], answer
        conflicts += len(refused)
        after = show_configuration(fleet)
        assert after["revision"] == start_revision + len(accepted) == max(accepted)
        assert after["preset_in_force"] == accepted[max(accepted)], results
        assert run_ctl(fleet, "preset", "ordinary", "--no-wait")[0] == 0
    fleet.set_faults(fleet.store, slow_ms=None)
    print("   races: %d of 20 ended in a conflict" % conflicts)
    assert conflicts > 0

    # Different fields: both are accepted, and both are in force.
    fleet.set_faults(fleet.store, slow_ms=15)
    results = []
    commands = [("preset", "peak"),
                ("customer", "deny", fleet.customers[2], "small")]
    threads = [threading.Thread(
        target=lambda c=c: results.append(run_ctl(fleet, *c, "--no-wait")))
        for c in commands]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    fleet.set_faults(fleet.store, slow_ms=None)
    assert [code for code, _ in results] == [0, 0], results
    after = show_configuration(fleet)
    assert after["preset_in_force"] == "peak"
    assert "small" not in after["customers"][2]["allowed"]
    assert run_ctl(fleet, "preset", "ordinary")[0] == 0


def unconfirmed(fleet):
    """Guards against "in force everywhere" while a host has not confirmed the
    change."""
    paused_agent = fleet.agents[0]
    paused_agent.signal(SIGSTOP)
    try:
        code, answer = run_ctl(fleet, "preset", "peak", "--wait-ms", "4000")
    finally:
        paused_agent.signal(SIGCONT)
    assert (code, answer["outcome"]) == (UNCONFIRMED, "accepted"), answer
    assert [host["host"] for host in answer["unconfirmed"]] == [
        paused_agent.name], answer
    assert answer["confirmed"] == len(fleet.agents + fleet.entries) - 1
    code, answer = run_ctl(fleet, "preset", "peak")
    assert (code, answer["outcome"]) == (0, "unchanged"), answer

    code, answer = run_ctl(fleet, "preset", "ordinary", "--wait-ms", "1500",
                           SAVORY_OPERATOR_TOKEN="wrong")
    assert code == UNCONFIRMED, answer
    assert "token" in answer["unconfirmed"][0]["reason"], answer
    assert show_configuration(fleet)["preset_in_force"] == "ordinary"

    fleet.set_faults(fleet.hosts, down=True)
    code, answer = run_ctl(fleet, "preset", "peak", "--wait-ms", "500")
    fleet.set_faults(fleet.hosts, down=None)
    assert code == UNCONFIRMED and not answer["hosts_listed"], answer

    killed_agent = fleet.agents.pop()
    killed_agent.kill()
    code, answer = run_ctl(fleet, "preset", "ordinary", "--wait-ms", "4000")
    assert code == UNCONFIRMED, answer
    assert [host["host"] for host in answer["unconfirmed"]] == [
        killed_agent.name], answer
    code, answer = run_ctl(fleet, "state")
    rows = {row["host"]: row for row in answer["hosts"]}
    assert code == 0 and "error" in rows[killed_agent.name], answer
    assert rows[fleet.entries[0].name]["state"]["revision"] >= 1, rows
    fleet.publish_hosts()
    code, answer = run_ctl(fleet, "preset", "peak")
    assert code == 0 and answer["unconfirmed"] == [], answer
    assert run_ctl(fleet, "preset", "ordinary")[0] == 0


def reports(fleet):
    """Guards against explanations, records and bills that differ from the answers
    that callers received or belong to another customer."""
    customer = fleet.customers[3]
    status, headers, body = fleet.chat(fleet.entries[2], customer)
    assert status == 200, body
    identity = headers["x-savory-request-id"]
    code, answer = run_ctl(fleet, "explain", identity)
    assert code == 0, answer
    assert answer["explanations"][0]["host"] == fleet.entries[2].name, answer
    explanation = answer["explanations"][0]["explanation"]
    assert explanation["customer"] == customer, explanation
    assert explanation["decisions"], explanation

    call = fleet.config["services"][0]["non_idempotent"][0]
    status, _, body = fleet.call(fleet.entries[0], call["method"],
                                 call["path_prefix"], {"item": 1},
                                 key="ctl-1", customer=customer)
    assert status == 200, body

    def outcome():
        return "outcome" in [item["kind"] for item in run_ctl(
            fleet, "record", fleet.service_name, customer, "ctl-1")[1]["items"]]
    wait_until(outcome, "the outcome is in the store")
    code, answer = run_ctl(fleet, "record", fleet.service_name, customer, "ctl-1")
    kinds = [item["kind"] for item in answer["items"]]
    assert code == 0 and kinds == ["claim", "outcome"], answer
    for other in ((fleet.customers[0], "ctl-1"), (customer, "ctl-2")):
        code, answer = run_ctl(fleet, "record", fleet.service_name, *other)
        assert code == NOT_FOUND, answer

    def billed():
        found = run_ctl(fleet, "bills", "--customer", customer)[1]["customers"]
        return found and found[0]["requests"] == 2 and found
    row = wait_until(billed, "two requests are billed")
    assert len(row) == 1 and row[0]["customer"] == customer, row
    assert row[0]["output_tokens"] > 0 and row[0]["cost_micros"] > 0, row
    everyone = run_ctl(fleet, "bills")[1]["customers"]
    assert row[0] in everyone and len(everyone) > 1, everyone
    fleet.set_faults(fleet.store, down=True)
    codes = [run_ctl(fleet, *arguments, "--timeout-ms", "300")[0]
             for arguments in (["bills"], ["record", "x", "y", "z"])]
    fleet.set_faults(fleet.store, down=None)
    assert codes == [UNREACHABLE, UNREACHABLE], codes


def wrong_usage(fleet):
    """Guards against a mistyped command that is executed as another one."""
    before = show_configuration(fleet)
    for arguments in ([], ["prest", "peak"], ["preset"], ["preset", "a", "b"],
                      ["zone", "peak"], ["preset", "peak", "--nope"],
                      ["preset", "peak", "--wait", "--no-wait"],
                      ["preset", "peak", "--timeout-ms", "x"],
                      ["preset", "peak", "--operation", "x" * 65],
                      ["customer", "add", "x", "not-a-hash"]):
        code, answer = run_ctl(fleet, *arguments)
        assert code == USAGE, (arguments, code, answer)
    code, _ = run_ctl(fleet, "preset", "peak", SAVORY_STORE="")
    assert code == USAGE
    code, _ = run_ctl(fleet, "preset", "peak", SAVORY_OPERATOR_TOKEN="")
    assert code == USAGE
    code, answer = run_ctl(fleet, "explain", "rq-unknown")
    assert code == NOT_FOUND, answer
    assert show_configuration(fleet) == before


def main():
    with Fleet(sys.argv[1]) as fleet:
        fleet.wait_ready()
        wait_until(lambda: run_ctl(fleet, "preset", "ordinary")[0] == 0,
                   "every host has the configuration")
        for check in (first_configuration, bad_files, small_changes, customers,
                      documents, lost_answers, reports, store_failures, races,
                      unconfirmed, wrong_usage):
            check(fleet)
            print("ok", check.__name__, flush=True)


main()
