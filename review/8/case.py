"""Case 8: a booking that failed midway is reported as one that has not run."""

import pathlib
import time

import harness2
from harness2 import TROUBLE, Client, Runner, make_id

BOOKINGS = 60
FAILING_S = 4.0
FAILING_RUNS, OF_RUNS = 4, 9
"""Of each nine runs of a runner in that time four fail: 0.444, under 0.45."""
WORK_S = 0.04
PROMISES = (408, 421, 429, 503)


class Desk(Runner):
    """A runner that begins each booking, and may fail with a status of its own."""

    is_failing = False
    runs_while_failing = 0

    def answer(self, connection, request_id, method, target, headers, body):
        """Answer a request; see `Runner.answer`."""
        time.sleep(WORK_S)
        self.record.write(f"{self.id} has written {body.decode()} for {request_id}")
        fails = False
        if self.is_failing:
            fails = self.runs_while_failing % OF_RUNS >= OF_RUNS - FAILING_RUNS
            self.runs_while_failing += 1
        if fails:
            # It was begun, so `X-Oriolepaddle-Not-Run` would be wrong.
            body = b"the confirmation could not be sent"
            self.send(connection, 503, body, request_id)
        else:
            self.send(connection, 200, self.make_body(request_id), request_id)
        return True


def play(record, cleanups):
    """Send bookings; the client repeats one only after a promise."""
    runners = [Desk(record, name, "cabina") for name in ("r1", "r2", "r3")]
    route = harness2.make_route(
        "dosing-order", "/pule252/", "unsafe", "cabina", maxAttempts=1, timeoutMs=1500
    )
    service = {"name": "cabina", "healthPath": "/health"}
    _, gateway = harness2.start_gateway(record, cleanups, [route], [service], runners)
    client = Client(gateway.addresses["front"], timeout_s=3)
    breaks = []
    failing_until_s = time.monotonic() + FAILING_S
    for number in range(BOOKINGS):
        for runner in runners:
            runner.is_failing = TROUBLE and time.monotonic() < failing_until_s
        name = f"booking-{number}"
        for _ in range(2):
            request_id = make_id()
            answer = client.request("POST", "/pule252/2f", name.encode(), request_id)
            record.write(f"the client gets {answer.status} for {request_id} ({name})")
            if answer.status not in PROMISES:
                break
            runs = [runner.id for runner in runners if request_id in runner.runs]
            if runs:
                breaks.append(
                    f"REFUSED: {request_id} ({name}) has run at {runs[0]} and is "
                    f"answered {answer.status}, so the client sends it once more"
                )
    return breaks


if __name__ == "__main__":
    harness2.run_case(pathlib.Path(__file__).parent, play)
