"""Judges a record by the promises, from what clients and instances have seen."""

import collections

PROMISES = (408, 421, 429, 503)
FIRST_SUCCESS, LAST_SUCCESS = 200, 299


def judge(events):
    """Returns the broken promises as a list of (rule, request id or node, what was seen)."""
    by_kind = collections.defaultdict(list)
    for event in events:
        by_kind[event["kind"]].append(event)
    sent = {event["id"]: event for event in by_kind["sent"]}
    runs = collections.defaultdict(list)
    for run in by_kind["run"]:
        runs[run["id"]].append(run)
    broken = []
    for request_id, request_runs in runs.items():
        broken += judge_runs(sent.get(request_id), request_id, request_runs)
    statuses = collections.defaultdict(set)
    for run in by_kind["ran"]:
        statuses[run["id"]].add(int(run["status"]))
    for answer in by_kind["answered"]:
        broken += judge_answer(sent[answer["id"]], answer, runs.get(answer["id"], []), statuses[answer["id"]])
    for end in by_kind["ended"]:
        if end["cause"] is None:
            broken.append(("FAULT", end["node"], f"ended by itself with status {end['status']}"))
    return broken


def judge_runs(request, request_id, runs):
    if request is None:
        return [("UNASKED", request_id, f"ran at {runs[0]['instance']}, no client sent it")]
    broken = []
    if request["once"] and len(runs) > 1:
        broken.append(("TWICE", request_id, "ran at " + ", ".join(run["instance"] for run in runs)))
    for run in runs:
        changed = [name for name in ("method", "path", "body", "caller") if run[name] != request[name]]
        if changed:
            broken.append(("UNASKED", request_id, "changed on the way: " + ", ".join(changed)))
    return broken


def judge_answer(request, answer, runs, statuses):
    broken = []
    status = answer["status"]
    if request["once"] and status in PROMISES and runs:
        broken.append(("REFUSED", answer["id"], f"answered {status}, ran at {runs[0]['instance']}"))
    is_success = FIRST_SUCCESS <= status <= LAST_SUCCESS
    stamp = answer["stamp"] or ""
    if is_success and not (answer["whole"] and stamp.split(".")[1:] == [answer["id"], "200"]):
        broken.append(("MIXED", answer["id"], f"{status}, stamp {stamp!r}, whole body: {answer['whole']}"))
    if is_success and answer["size"] != int(request["path"].split("/")[3]):
        broken.append(("MIXED", answer["id"], f"a body of {answer['size']} bytes"))
    if not is_success and stamp and status not in statuses:
        broken.append(("MIXED", answer["id"], f"{status} with the stamp {stamp!r}"))
    return broken


def count(broken):
    return dict(collections.Counter(rule for rule, _, _ in broken))
