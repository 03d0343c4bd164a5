"""End-to-end tests with separate processes and the command line."""

from __future__ import annotations

import hashlib
import json
import pathlib
import tempfile
import time
import urllib.error
import urllib.request

import testtools
from testtools import matchers

from mulberrypaddle.standins.ports import free_port
from tests.support.processes import Process, run_command

CALLER_KEY = "caller-key"
OPERATOR_KEY = "operator-key"
MAX_READY_POLLS = 300


def sha256_hex(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def send_http(
    method: str, url: str, *, body: bytes = b"", headers: dict | None = None
) -> tuple[int, str]:
    """Sends a request and returns the status and body of the response."""
    request = urllib.request.Request(
        url, data=body or None, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=20) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


class ProcessesTest(testtools.TestCase):
    """Operator commands and a caller against a fleet of processes.

    The object API, an engine and a router each run in a process.
    """

    def start_process(self, *arguments: str) -> Process:
        process = Process(*arguments)
        self.addCleanup(process.stop)
        return process

    def write_file(self, name: str, text: str) -> str:
        path = pathlib.Path(self.directory, name)
        path.write_text(text, encoding="utf-8")
        return str(path)

    def run_operator_command(self, *arguments: str) -> tuple[int, str, str]:
        """Runs a command; returns its exit status, stdout and stderr."""
        completed = run_command(
            *arguments,
            environment={
                "MULBERRYPADDLE_ROUTER": self.router_address,
                "MULBERRYPADDLE_OPERATOR_KEY": OPERATOR_KEY,
            },
        )
        return completed.returncode, completed.stdout, completed.stderr

    def setUp(self) -> None:
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = directory.name
        store = self.start_process("standin", "object-api")
        engine = self.start_process("standin", "engine", "card-writer-1")
        self.store_address = store.address()
        self.put_object(
            "runners/card-writer-1",
            json.dumps(
                {
                    "service": "card-writer",
                    "kind": "engine",
                    "address": engine.address(),
                    "data_centre": "south",
                }
            ),
        )
        self.router_address = f"127.0.0.1:{free_port()}"
        settings = self.write_file(
            "settings.yaml",
            "member_id: router-1\n"
            "data_centre: south\n"
            "region: tx-central\n"
            f"listen: {{callers: '{self.router_address}',"
            f" peers: '127.0.0.1:{free_port()}'}}\n"
            f"object_api: {{address: '{self.store_address}'}}\n"
            f"operator_key_sha256: ['{sha256_hex(OPERATOR_KEY)}']\n"
            "peer_plaintext: true\n",
        )
        self.router = self.start_process("router", settings)
        self.wait_until(lambda: self.get_from_router("/readyz")[0] == 200)

    def put_object(self, key: str, text: str) -> None:
        """Creates an object in the store."""
        send_http(
            "PUT",
            f"http://{self.store_address}/objects/{key}",
            body=text.encode(),
            headers={"If-Match": "0"},
        )

    def get_from_router(self, path: str) -> tuple[int, str]:
        """Returns status and body, with status 0 if there is no response."""
        try:
            return send_http("GET", f"http://{self.router_address}{path}")
        except OSError:
            return 0, ""

    def wait_until(self, condition) -> None:  # noqa: ANN001
        for _ in range(MAX_READY_POLLS):
            if condition():
                return
            time.sleep(0.05)
        raise AssertionError("the condition did not become true")

    def send_completion(self) -> tuple[int, str]:
        """Sends one completion request as a caller, through the router."""
        return send_http(
            "POST",
            f"http://{self.router_address}/services/card-writer/v1/completions",
            body=json.dumps({"prompt": "a card", "max_tokens": 2}).encode(),
            headers={"Authorization": f"Bearer {CALLER_KEY}"},
        )

    def test_operator_commands_take_effect_on_callers(self) -> None:
        contract = self.write_file(
            "contract.yaml",
            "organisation: museum\n"
            f"key_sha256: ['{sha256_hex(CALLER_KEY)}']\n"
            "services:\n"
            "- {service: card-writer, in_flight_requests: 4, urgency: high,"
            " deadline_seconds: 20}\n",
        )
        service = self.write_file(
            "service.yaml", "service: card-writer\nkind: engine\n"
        )
        status, _, error = self.run_operator_command(
            "contract", "apply", contract
        )
        self.assertEqual(2, status)
        self.assertThat(error, matchers.Contains("allowed are: none"))
        self.assertEqual(
            0, self.run_operator_command("service", "apply", service)[0]
        )
        self.assertEqual(
            0, self.run_operator_command("data-centre", "bring-in", "south")[0]
        )
        self.wait_until(
            lambda: (
                self.run_operator_command("contract", "apply", contract)[0] == 0
            )
        )
        self.wait_until(lambda: self.send_completion()[0] == 200)
        body = json.loads(self.send_completion()[1])
        self.assertEqual("a0 card1 ", body["text"])

        status, out, _ = self.run_operator_command("contract", "list", "--json")
        self.assertEqual("museum", json.loads(out)[0]["name"])
        status, _, error = self.run_operator_command(
            "contract", "apply", contract, "--version=1"
        )
        self.assertEqual(3, status)
        self.assertThat(error, matchers.StartsWith("conflict: "))
        edit = "services.card-writer.in_flight_requests=9"
        self.assertEqual(
            0, self.run_operator_command("contract", "edit", "museum", edit)[0]
        )
        self.assertIn(
            "in_flight_requests: 9",
            self.run_operator_command("contract", "get", "museum")[1],
        )

        take_out = ("data-centre", "take-out", "south")
        status, _, error = self.run_operator_command(*take_out)
        self.assertEqual(5, status)
        self.assertThat(error, matchers.StartsWith("unsafe_move: "))
        self.assertThat(error, matchers.Contains("0 of 16 slots remain"))
        self.assertEqual(200, self.send_completion()[0])
        self.assertEqual(
            0, self.run_operator_command(*take_out, "--override")[0]
        )
        self.wait_until(lambda: self.send_completion()[0] == 503)
        refusal = json.loads(self.send_completion()[1])
        self.assertEqual("not run", refusal["ran"])
        status, out, _ = self.run_operator_command(
            "explain", refusal["request_id"]
        )
        self.assertEqual(0, status)
        self.assertThat(out, matchers.Contains("refuse: no_runner"))
        status, out, _ = self.run_operator_command("status", "data_centres")
        self.assertThat(out, matchers.Contains("south"))
        self.assertThat(out, matchers.Contains("out"))

        self.assertEqual("", self.router.child_process_ids())
        self.assertEqual(0, self.router.stop())

    def test_wrong_operator_key_is_denied(self) -> None:
        completed = run_command(
            "status",
            environment={
                "MULBERRYPADDLE_ROUTER": self.router_address,
                "MULBERRYPADDLE_OPERATOR_KEY": "wrong",
            },
        )
        self.assertEqual(6, completed.returncode)
        self.assertThat(
            completed.stderr, matchers.StartsWith("unauthenticated:")
        )
