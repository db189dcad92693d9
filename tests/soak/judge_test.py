#!/usr/bin/env python3
"""Tests that the judge of the soak finds each kind of broken promise in a record, and none in a clean one."""

import unittest

import judge


def make_record(changes=()):
    """Returns the record of one order and one read, both served, with some events changed or added."""
    def send(request_id, method, once):
        return {"kind": "sent", "id": request_id, "method": method, "path": "/orders/5/100/0", "body": "b", "once": once,
                "caller": "browse"}

    def run(request_id, method):
        return {"kind": "run", "id": request_id, "instance": "i-1", "method": method, "path": "/orders/5/100/0", "body": "b",
                "caller": "browse"}

    def answer(request_id):
        return {"kind": "answered", "id": request_id, "status": 200, "stamp": f"i-1.{request_id}.200", "size": 100,
                "whole": True}

    events = []
    for request_id, method, once in (("order", "POST", True), ("read", "GET", False)):
        events += [send(request_id, method, once), run(request_id, method),
                   {"kind": "ran", "id": request_id, "status": "200"}, answer(request_id)]
    for index, change in changes:
        if index is None:
            events.append(change)
        else:
            events[index] = dict(events[index], **change)
    return events


ORDER_SENT, ORDER_RUN, ORDER_RAN, ORDER_ANSWER, READ_SENT, READ_RUN, READ_RAN, READ_ANSWER = range(8)


class JudgeTest(unittest.TestCase):
    def check(self, expected, *changes):
        self.assertEqual(expected, judge.count(judge.judge(make_record(changes))))

    def test_finds_nothing_in_a_clean_record(self):
        self.check({})

    def test_finds_an_order_that_ran_twice(self):
        self.check({"TWICE": 1}, (None, make_record()[ORDER_RUN]))

    def test_allows_a_read_to_run_twice(self):
        self.check({}, (None, make_record()[READ_RUN]))

    def test_finds_a_refused_order_that_ran(self):
        for status in judge.PROMISES:
            self.check({"REFUSED": 1}, (ORDER_ANSWER, {"status": status, "stamp": None}))

    def test_allows_a_failure_without_a_promise(self):
        for status in (502, 504):
            self.check({}, (ORDER_ANSWER, {"status": status, "stamp": None}))

    def test_finds_an_answer_to_another_request(self):
        self.check({"MIXED": 1}, (READ_ANSWER, {"stamp": "i-1.order.200"}))

    def test_finds_a_success_without_a_stamp(self):
        self.check({"MIXED": 1}, (READ_ANSWER, {"stamp": None}))

    def test_finds_a_body_that_is_not_whole(self):
        self.check({"MIXED": 1}, (READ_ANSWER, {"whole": False}))
        self.check({"MIXED": 1}, (READ_ANSWER, {"size": 99}))

    def test_finds_a_failure_in_place_of_a_success(self):
        self.check({"MIXED": 1}, (READ_ANSWER, {"status": 500}))

    def test_finds_a_request_that_nobody_sent(self):
        self.check({"UNASKED": 1}, (None, dict(make_record()[READ_RUN], id="other")))

    def test_finds_a_request_that_was_changed(self):
        for name in ("method", "path", "body", "caller"):
            self.check({"UNASKED": 1}, (READ_RUN, {name: "changed"}))

    def test_finds_a_process_that_ended_by_itself(self):
        self.check({"FAULT": 1}, (None, {"kind": "ended", "node": "n", "cause": None, "status": 1}))
        self.check({}, (None, {"kind": "ended", "node": "n", "cause": "SIGTERM", "status": 0}))


if __name__ == "__main__":
    unittest.main()
