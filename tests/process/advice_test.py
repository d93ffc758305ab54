"""Jobs on a queue whose advisor decides which runners may run a step."""

import json
import sys
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from harness import run_all, wait_until
from jobs_test import POOLS, job_id, job_spec, start_site
from job_fleet import JobFleet

QUEUE = "guarded"
ADVICE = {"DecisionMs": 20, "IntervalMs": 2, "ValidMs": 3000}
WAIT_SECONDS = 15
LASTING_TASKS = 3
LASTING = {"Spec": '{"ms":-1}',
           "Steps": [{"Count": LASTING_TASKS, "Cpu": 500, "MemMb": 64, "EstimateMs": 1000,
                      "AntiAffinity": 1, "LongRunning": True, "MayMiss": 1}]}


class Advisor:
    """Admits all runners to every step, and counts the calls by step."""

    def __init__(self):
        self.calls = []
        calls = self.calls

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):  # noqa: N802  the name is given by the library
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                calls.append(body["Step"])
                allowed = [[worker, f"ticket-{worker}"] for worker in body["Workers"]]
                answer = json.dumps({"Allowed": allowed}).encode()
                self.send_response(200)
                self.send_header("Content-Length", str(len(answer)))
                self.end_headers()
                self.wfile.write(answer)

            def log_message(self, *_):
                pass

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self.port = self._server.server_address[1]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def stop(self):
        self._server.shutdown()
        self._server.server_close()


class AdvisedFleet(JobFleet):
    """A job fleet with an advisor."""

    def __init__(self, build):
        super().__init__(build)
        self.advisor = Advisor()
        self.further_settings = f"Advice=127.0.0.1:{self.advisor.port}\n"

    def __exit__(self, *error):
        super().__exit__(*error)
        self.advisor.stop()


def running(fleet, job):
    return sum(task["running"] for name, task in fleet.ledger()["tasks"].items()
               if name.startswith(f"{job}."))


def test_lasting_tasks_on_a_queue_with_an_advisor_run(fleet):
    """Fails if a step of lasting tasks does not ask for tickets: it is accepted and never starts."""
    start_site(fleet)
    assert POOLS["alpha"] >= LASTING_TASKS
    fleet.set_queues({**fleet.queues, QUEUE: {"Service": "alpha", "Advice": ADVICE}})
    wait_until(lambda: fleet.call("GET", QUEUE)[0] == 200, WAIT_SECONDS, f"queue {QUEUE} served")
    short, lasting = job_id(0x1000), job_id(0x2000)
    fleet.submit(QUEUE, short, job_spec())
    fleet.wait_finished([(QUEUE, short)])
    fleet.submit(QUEUE, lasting, LASTING)
    wait_until(lambda: running(fleet, lasting) == LASTING_TASKS, WAIT_SECONDS,
               f"{lasting} runs; the advisor was asked about {fleet.advisor.calls}")
    for runner in ("runner-0", "runner-1"):
        fleet.restart_runner(runner)
    wait_until(lambda: running(fleet, lasting) == LASTING_TASKS, WAIT_SECONDS,
               f"{lasting} runs again after two runners started anew")


if __name__ == "__main__":
    run_all(sys.modules[__name__], AdvisedFleet)
