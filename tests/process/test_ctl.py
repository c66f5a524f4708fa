"""savoryctl over the shipped binaries: what each change tells its operator and
what is then in force, also while the store fails, operators race or hosts
hang."""

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


def run(fleet, *arguments, store=None, **environment):
    """Runs savoryctl --json; returns the exit code and its object."""
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


def shown(fleet, *flags):
    code, answer = run(fleet, "show", *flags)
    assert code == 0, answer
    return answer["configuration"]


def written(document):
    """Writes a document to a file; returns its name."""
    with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
        file.write(document if isinstance(document, str)
                   else json.dumps(document))
    return file.name


class StoreProxy:
    """Stands between savoryctl and the store. The first swap of the head is
    passed on or not, its answer is lost, and the store is then gone."""

    def __init__(self, store, pass_on):
        proxy = self
        self.down = False

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):
                body = self.rfile.read(int(self.headers["Content-Length"]))
                is_swap = (self.path == "/v3/kv/txn" and
                           json.loads(body)["compare"])
                if proxy.down or (is_swap and not pass_on):
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
    """Guards against an init that overwrites the configuration in force."""
    before = shown(fleet)
    document = dict(before, preset_in_force="maintenance", session_secret="s")
    code, answer = run(fleet, "init", written(document))
    assert code == REFUSED and "already" in answer["reasons"][0], answer
    assert shown(fleet) == before


def bad_files(fleet):
    """Guards against a document that is taken in part, and against faults that
    show one at a time."""
    before = shown(fleet)
    bad = json.loads(json.dumps(before))
    bad["models"][0]["quality"] = 7
    bad["zones"][0]["state"] = "gone"
    bad["presets"][1]["deadline_ms"] = "soon"
    bad["preset_in_force"] = "peak"
    file = written(bad)
    for command in ("check", "diff", "apply"):
        code, answer = run(fleet, command, file)
        assert code == REFUSED, (command, answer)
        paths = {fault["path"] for fault in answer["faults"]}
        assert paths == {"models[0].quality", "zones[0].state",
                         "presets[1].deadline_ms"}, answer
        assert all(fault["file"] == file and fault["reason"]
                   for fault in answer["faults"]), answer
    misspelt = json.loads(json.dumps(before))
    misspelt["models"][0]["qualty"] = 0.5
    code, answer = run(fleet, "check", written(misspelt))
    assert code == REFUSED, answer
    assert answer["faults"][0]["path"] == "models[0].qualty", answer
    dangling = json.loads(json.dumps(before))
    dangling["customers"][0]["allowed"] = ["nope"]
    dangling["preset_in_force"] = "none"
    code, answer = run(fleet, "apply", written(dangling))
    assert code == REFUSED and len(answer["faults"]) == 2, answer
    for text in ("{", "", "[]", "null"):
        code, answer = run(fleet, "apply", written(text))
        assert code == REFUSED and len(answer["faults"]) == 1, (text, answer)
    code, answer = run(fleet, "check", "/nonexistent/file")
    assert code == REFUSED, answer
    assert shown(fleet) == before


def small_changes(fleet):
    """Guards against changes that the running processes do not follow."""
    entry = fleet.entries[0]
    customer = fleet.customers[1]
    assert run(fleet, "customer", "deny", customer, "large")[0] == 0
    status, _, body = fleet.chat(entry, customer, model="large")
    assert status == 403, (status, body)
    assert run(fleet, "customer", "allow", customer, "large")[0] == 0
    status, _, body = fleet.chat(entry, customer, model="large")
    assert status == 200, (status, body)

    code, answer = run(fleet, "version", "withdraw", "small", "v1")
    assert code == REFUSED and "left to serve" in answer["reasons"][0], answer
    assert run(fleet, "version", "add", "small", "v2")[0] == 0
    assert run(fleet, "rollout", "start", "small", "v1", "v2")[0] == 0
    assert shown(fleet)["rollouts"] == [
        {"model": "small", "from": "v1", "to": "v2", "stage": 0}]
    code, answer = run(fleet, "version", "serve", "small", "v2")
    assert code == REFUSED and "rollout" in answer["reasons"][0], answer
    assert run(fleet, "rollout", "continue", "small", "v1", "v2")[0] == 0
    assert shown(fleet)["rollouts"][0]["stage"] == 1
    assert run(fleet, "rollout", "stop", "small", "v1", "v2")[0] == 0
    after = shown(fleet)
    assert after["rollouts"] == []
    assert [version["state"] for version in after["models"][0]["versions"]] == [
        "serving", "withdrawn"], after["models"][0]
    status, _, body = fleet.chat(entry, model="small@v2")
    assert status >= 400, (status, body)

    assert run(fleet, "rollout", "start", "small", "v1", "v2")[0] == 0
    for _ in range(5):
        assert run(fleet, "rollout", "continue", "small", "v1", "v2",
                   "--no-wait")[0] == 0
    versions = shown(fleet)["models"][0]["versions"]
    assert [v["state"] for v in versions] == ["draining", "serving"], versions
    assert run(fleet, "rollout", "undo", "small", "v1", "v2")[0] == 0
    versions = shown(fleet)["models"][0]["versions"]
    assert [v["state"] for v in versions] == ["serving", "withdrawn"], versions

    zone = fleet.zones[0]
    states = []
    for action in ("out", "in", "in"):
        assert run(fleet, "zone", action, zone)[0] == 0
        states.append(shown(fleet)["zones"][0]["state"])
    assert states == ["out", "returning", "in"], states
    for name in fleet.zones[:-1]:
        assert run(fleet, "zone", "out", name, "--no-wait")[0] == 0
    code, answer = run(fleet, "zone", "out", fleet.zones[-1])
    assert code == REFUSED and "zones" in answer["reasons"][0], answer
    for name in fleet.zones[:-1]:
        for _ in range(2):
            assert run(fleet, "zone", "in", name, "--no-wait")[0] == 0


def customers(fleet):
    """Guards against a denied version that a whole-model permission still
    allows, and against a customer whose key does not work."""
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
    assert run(fleet, "customer", "deny", "new-shop", "medium@v1")[0] == 0
    status, _, body = fleet.chat(fleet.entries[1], "new-shop", model="medium")
    assert status in (403, 404), (status, body)
    code, answer = run(fleet, "customer", "allow", "new-shop", "mediun")
    assert code == REFUSED, answer
    assert run(fleet, "customer", "remove", "new-shop")[0] == 0
    status, _, _ = fleet.chat(fleet.entries[1], "new-shop", model="medium")
    assert status == 401, status


def documents(fleet):
    """Guards against an applied document that reverts what changed since it
    was read, or that hides a conflict."""
    old = shown(fleet)
    assert old["session_secret"] == "(unchanged)", old
    secret = shown(fleet, "--secrets")["session_secret"]
    assert run(fleet, "preset", "peak", "--no-wait")[0] == 0
    edited = json.loads(json.dumps(old))
    edited["customers"][0]["weight"] = 7
    edited["models"][1]["versions"].append({"name": "v9", "state": "withdrawn"})
    code, answer = run(fleet, "diff", written(edited))
    assert code == 0 and any("weight" in line for line in answer["differences"])
    assert not any(secret in line for line in answer["differences"])
    code, answer = run(fleet, "apply", written(edited))
    assert code == 0, answer
    after = shown(fleet)
    assert after["customers"][0]["weight"] == 7
    assert after["models"][1]["versions"][-1]["name"] == "v9"
    assert after["preset_in_force"] == "peak"
    assert shown(fleet, "--secrets")["session_secret"] == secret

    edited["customers"][0]["weight"] = 8
    edited["preset_in_force"] = "maintenance"
    code, answer = run(fleet, "apply", written(edited))
    assert code == CONFLICT, answer
    reasons = " ".join(answer["reasons"])
    assert "preset_in_force" in reasons and "weight" in reasons, reasons
    assert shown(fleet) == after
    edited["revision"] = after["revision"] + 1
    code, answer = run(fleet, "apply", written(edited))
    assert code == REFUSED, answer
    assert run(fleet, "preset", "ordinary", "--no-wait")[0] == 0


def lost_answers(fleet):
    """Guards against an accepted change that is reported as failed, or made a
    second time."""
    before = shown(fleet)["revision"]
    fleet.fault(fleet.store, lose_prefix="cfg/head")
    code, answer = run(fleet, "preset", "peak", "--no-wait")
    fleet.fault(fleet.store, lose_prefix=None)
    assert (code, answer["outcome"]) == (0, "accepted"), answer
    assert answer["revision"] == before + 1 == shown(fleet)["revision"]

    fleet.fault(fleet.store, lose_answers=3)
    code, answer = run(fleet, "preset", "maintenance", "--no-wait")
    assert code == 0 and shown(fleet)["revision"] == before + 2, answer

    for pass_on in (True, False):
        revision = shown(fleet)["revision"]
        preset = "ordinary" if pass_on else "peak"
        proxy = StoreProxy(fleet.store.address, pass_on)
        code, answer = run(fleet, "preset", preset, "--timeout-ms", "500",
                           store=proxy.address)
        assert code == UNKNOWN, answer
        code, answer = run(fleet, "preset", preset, "--operation",
                           answer["operation"], "--no-wait")
        assert (code, answer["outcome"]) == (0, "accepted"), answer
        after = shown(fleet)
        assert after["revision"] == revision + 1 == answer["revision"], after
        assert after["preset_in_force"] == preset
    assert run(fleet, "preset", "ordinary", "--no-wait")[0] == 0


def store_failures(fleet):
    """Guards against a change that claims success without the store, and a slow
    store that counts as a failed one."""
    before = shown(fleet)
    for fault in ("down", "refuse", "unavailable"):
        fleet.fault(fleet.store, **{fault: True})
        code, answer = run(fleet, "preset", "peak", "--timeout-ms", "600")
        shows, _ = run(fleet, "show", "--timeout-ms", "600")
        fleet.fault(fleet.store, **{fault: None})
        assert (code, shows) == (UNREACHABLE, UNREACHABLE), (fault, answer)
    assert shown(fleet) == before
    fleet.fault(fleet.store, slow_ms=400)
    code, answer = run(fleet, "preset", "peak", "--no-wait")
    fleet.fault(fleet.store, slow_ms=None)
    assert code == 0, answer
    assert run(fleet, "preset", "ordinary", "--no-wait")[0] == 0


def races(fleet):
    """Guards against two operators who both believe that their preset is in
    force."""
    fleet.fault(fleet.store, slow_ms=15)
    conflicts = 0
    for turn in range(20):
        start = shown(fleet)["revision"]
        results = {}

        def operate(preset):
            results[preset] = run(fleet, "preset", preset, "--no-wait")

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
        after = shown(fleet)
        assert after["revision"] == start + len(accepted) == max(accepted)
        assert after["preset_in_force"] == accepted[max(accepted)], results
        assert run(fleet, "preset", "ordinary", "--no-wait")[0] == 0
    fleet.fault(fleet.store, slow_ms=None)
    print("   races: %d of 20 ended in a conflict" % conflicts)
    assert conflicts > 0

    # Different fields: both are accepted, and both are in force.
    fleet.fault(fleet.store, slow_ms=15)
    results = []
    commands = [("preset", "peak"),
                ("customer", "deny", fleet.customers[2], "small")]
    threads = [threading.Thread(
        target=lambda c=c: results.append(run(fleet, *c, "--no-wait")))
        for c in commands]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    fleet.fault(fleet.store, slow_ms=None)
    assert [code for code, _ in results] == [0, 0], results
    after = shown(fleet)
    assert after["preset_in_force"] == "peak"
    assert "small" not in after["customers"][2]["allowed"]
    assert run(fleet, "preset", "ordinary")[0] == 0


def unconfirmed(fleet):
    """Guards against "in force everywhere" while a host has not said so."""
    held = fleet.agents[0]
    held.signal(SIGSTOP)
    try:
        code, answer = run(fleet, "preset", "peak", "--wait-ms", "4000")
    finally:
        held.signal(SIGCONT)
    assert (code, answer["outcome"]) == (UNCONFIRMED, "accepted"), answer
    assert [host["host"] for host in answer["unconfirmed"]] == [held.name], answer
    assert answer["confirmed"] == len(fleet.agents + fleet.entries) - 1
    code, answer = run(fleet, "preset", "peak")
    assert (code, answer["outcome"]) == (0, "unchanged"), answer

    code, answer = run(fleet, "preset", "ordinary", "--wait-ms", "1500",
                       SAVORY_OPERATOR_TOKEN="wrong")
    assert code == UNCONFIRMED, answer
    assert "token" in answer["unconfirmed"][0]["reason"], answer
    assert shown(fleet)["preset_in_force"] == "ordinary"

    fleet.fault(fleet.hosts, down=True)
    code, answer = run(fleet, "preset", "peak", "--wait-ms", "500")
    fleet.fault(fleet.hosts, down=None)
    assert code == UNCONFIRMED and not answer["hosts_listed"], answer

    gone = fleet.agents.pop()
    gone.kill()
    code, answer = run(fleet, "preset", "ordinary", "--wait-ms", "4000")
    assert code == UNCONFIRMED, answer
    assert [host["host"] for host in answer["unconfirmed"]] == [gone.name], answer
    code, answer = run(fleet, "state")
    rows = {row["host"]: row for row in answer["hosts"]}
    assert code == 0 and "error" in rows[gone.name], answer
    assert rows[fleet.entries[0].name]["state"]["revision"] >= 1, rows
    fleet.publish_hosts()
    code, answer = run(fleet, "preset", "peak")
    assert code == 0 and answer["unconfirmed"] == [], answer
    assert run(fleet, "preset", "ordinary")[0] == 0


def reports(fleet):
    """Guards against reports that differ from what callers were told, and
    against a bill or a record of another customer."""
    customer = fleet.customers[3]
    status, headers, body = fleet.chat(fleet.entries[2], customer)
    assert status == 200, body
    identity = headers["x-savory-request-id"]
    code, answer = run(fleet, "explain", identity)
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
        return "outcome" in [item["kind"] for item in run(
            fleet, "record", fleet.service_name, customer, "ctl-1")[1]["items"]]
    wait_until(outcome, "the outcome is in the store")
    code, answer = run(fleet, "record", fleet.service_name, customer, "ctl-1")
    kinds = [item["kind"] for item in answer["items"]]
    assert code == 0 and kinds == ["claim", "outcome"], answer
    for other in ((fleet.customers[0], "ctl-1"), (customer, "ctl-2")):
        code, answer = run(fleet, "record", fleet.service_name, *other)
        assert code == NOT_FOUND, answer

    def billed():
        found = run(fleet, "bills", "--customer", customer)[1]["customers"]
        return found and found[0]["requests"] == 2 and found
    row = wait_until(billed, "two requests are billed")
    assert len(row) == 1 and row[0]["customer"] == customer, row
    assert row[0]["output_tokens"] > 0 and row[0]["cost_micros"] > 0, row
    everyone = run(fleet, "bills")[1]["customers"]
    assert row[0] in everyone and len(everyone) > 1, everyone
    fleet.fault(fleet.store, down=True)
    codes = [run(fleet, *words, "--timeout-ms", "300")[0]
             for words in (["bills"], ["record", "x", "y", "z"])]
    fleet.fault(fleet.store, down=None)
    assert codes == [UNREACHABLE, UNREACHABLE], codes


def wrong_usage(fleet):
    """Guards against a mistyped command that does something else."""
    before = shown(fleet)
    for words in ([], ["prest", "peak"], ["preset"], ["preset", "a", "b"],
                  ["zone", "peak"], ["preset", "peak", "--nope"],
                  ["preset", "peak", "--wait", "--no-wait"],
                  ["preset", "peak", "--timeout-ms", "x"],
                  ["preset", "peak", "--operation", "x" * 65],
                  ["customer", "add", "x", "not-a-hash"]):
        code, answer = run(fleet, *words)
        assert code == USAGE, (words, code, answer)
    code, _ = run(fleet, "preset", "peak", SAVORY_STORE="")
    assert code == USAGE
    code, _ = run(fleet, "preset", "peak", SAVORY_OPERATOR_TOKEN="")
    assert code == USAGE
    code, answer = run(fleet, "explain", "rq-unknown")
    assert code == NOT_FOUND, answer
    assert shown(fleet) == before


def main():
    with Fleet(sys.argv[1]) as fleet:
        fleet.wait_ready()
        wait_until(lambda: run(fleet, "preset", "ordinary")[0] == 0,
                   "every host has the configuration")
        for check in (first_configuration, bad_files, small_changes, customers,
                      documents, lost_answers, reports, store_failures, races,
                      unconfirmed, wrong_usage):
            check(fleet)
            print("ok", check.__name__, flush=True)


main()
