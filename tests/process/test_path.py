"""The request path through the shipped binaries, from a caller over an entry and
an agent to a stand-in backend server and back."""

import json
import sys

from fleet import Fleet, request


def model_calls(fleet):
    """Guards against an answer that belongs to another request."""
    for index, entry in enumerate(fleet.entries):
        prompt = "question %d about lenses" % index
        status, headers, body = fleet.chat(
            entry, prompt=prompt, headers={"x-savory-explain": "true"})
        assert status == 200, body
        assert headers["x-savory-request-id"], headers
        assert headers["x-savory-model"], headers
        answer = json.loads(body)
        assert answer["usage"]["completion_tokens"] > 0, answer
        assert answer["choices"][0]["message"]["content"], answer


def streams(fleet):
    """Guards against a stream that is truncated or lacks its end marker."""
    status, headers, body = fleet.chat(fleet.entries[0], stream=True,
                                       max_tokens=40)
    assert status == 200, body
    assert body.decode().rstrip().endswith("data: [DONE]"), body[-200:]


def service_calls(fleet):
    """Guards against a path or query of a plain service call that is changed on
    its way."""
    status, _, body = fleet.call(fleet.entries[1], "GET", "/stock?item=7")
    assert status == 200, body
    echo = json.loads(body)
    assert (echo["path"], echo["query"]) == ("/stock", "item=7"), echo


def bad_input(fleet):
    """Guards against an invalid request that crashes a process or is run."""
    entry = fleet.entries[0].listen
    bearer = {"Authorization": "Bearer key-" + fleet.customers[0]}
    target = "/v1/chat/completions"
    valid_body = {"messages": [{"role": "user", "content": "x"}]}
    cases = [
        ("wrong key", 401, target, valid_body, {"Authorization": "Bearer no"}),
        ("no key", 401, target, valid_body, {}),
        ("broken JSON", 400, target, "{", bearer),
        ("no messages", 400, target, {"messages": []}, bearer),
        ("deep nesting", 400, target,
         json.dumps(valid_body)[:-1] + ', "x": ' + "[" * 400000 + "]" * 400000 +
         "}", bearer),
        ("unknown model", 404, target, {**valid_body, "model": "nope"}, bearer),
        ("negative deadline", 400, target, valid_body,
         {**bearer, "x-deadline-ms": "-5"}),
        ("huge deadline", 400, target, valid_body,
         {**bearer, "x-deadline-ms": "99999999999999999999"}),
        ("unknown service", 404, "/nowhere/x", valid_body, bearer),
        ("huge key", 400, target, valid_body,
         {**bearer, "Idempotency-Key": "k" * 400}),
    ]
    for name, expected, path, body, headers in cases:
        status, _, answer = request(entry, "POST", path, body, headers)
        assert status == expected, (name, status, answer)
        error = json.loads(answer)["error"]
        assert error["ran"] == "not_run", (name, error)
    status, _, _ = request(entry, "POST", target, "x" * (9 << 20), bearer)
    assert status == 413, status


def main():
    with Fleet(sys.argv[1]) as fleet:
        fleet.wait_ready()
        for check in (model_calls, streams, service_calls, bad_input):
            check(fleet)
            print("ok", check.__name__)


main()
