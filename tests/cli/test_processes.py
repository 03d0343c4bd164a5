"""The whole path as separate processes, driven by the command line."""

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

from mulberrypaddle.standins.web import free_port
from tests.support.processes import Process, run_command

CALLER_KEY = "caller-key"
OPERATOR_KEY = "operator-key"
MAX_READY_POLLS = 300


def digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def http(
    method: str, url: str, *, body: bytes = b"", headers: dict | None = None
) -> tuple[int, str]:
    request = urllib.request.Request(
        url, data=body or None, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=20) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


class ProcessesTest(testtools.TestCase):
    """Object API, engine and router, each a process of its own."""

    def start(self, *arguments: str) -> Process:
        process = Process(*arguments)
        self.addCleanup(process.stop)
        return process

    def file(self, name: str, text: str) -> str:
        path = pathlib.Path(self.directory, name)
        path.write_text(text, encoding="utf-8")
        return str(path)

    def command(self, *arguments: str) -> tuple[int, str, str]:
        done = run_command(
            *arguments,
            environment={
                "MULBERRYPADDLE_ROUTER": self.router_address,
                "MULBERRYPADDLE_OPERATOR_KEY": OPERATOR_KEY,
            },
        )
        return done.returncode, done.stdout, done.stderr

    def setUp(self) -> None:
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = directory.name
        store = self.start("standin", "object-api")
        engine = self.start("standin", "engine", "card-writer-1")
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
        settings = self.file(
            "settings.yaml",
            "member_id: router-1\n"
            "data_centre: south\n"
            "region: tx-central\n"
            f"listen: {{callers: '{self.router_address}',"
            f" peers: '127.0.0.1:{free_port()}'}}\n"
            f"object_api: {{address: '{self.store_address}'}}\n"
            f"operator_key_sha256: ['{digest(OPERATOR_KEY)}']\n"
            "peer_plaintext: true\n",
        )
        self.router = self.start("router", settings)
        self.wait_until(lambda: self.get("/readyz")[0] == 200)

    def put_object(self, key: str, text: str) -> None:
        http(
            "PUT",
            f"http://{self.store_address}/objects/{key}",
            body=text.encode(),
            headers={"If-Match": "0"},
        )

    def get(self, path: str) -> tuple[int, str]:
        try:
            return http("GET", f"http://{self.router_address}{path}")
        except OSError:
            return 0, ""

    def wait_until(self, condition) -> None:  # noqa: ANN001
        for _ in range(MAX_READY_POLLS):
            if condition():
                return
            time.sleep(0.05)
        raise AssertionError("the condition did not become true")

    def ask(self) -> tuple[int, str]:
        return http(
            "POST",
            f"http://{self.router_address}/services/card-writer/v1/completions",
            body=json.dumps({"prompt": "a card", "max_tokens": 2}).encode(),
            headers={"Authorization": f"Bearer {CALLER_KEY}"},
        )

    def test_operator_drives_the_fleet_and_a_caller_is_served(self) -> None:
        contract = self.file(
            "contract.yaml",
            "organisation: museum\n"
            f"key_sha256: ['{digest(CALLER_KEY)}']\n"
            "services:\n"
            "- {service: card-writer, in_flight_requests: 4, urgency: high,"
            " deadline_seconds: 20}\n",
        )
        service = self.file(
            "service.yaml", "service: card-writer\nkind: engine\n"
        )
        status, _, error = self.command("contract", "apply", contract)
        self.assertEqual(2, status)
        self.assertThat(error, matchers.Contains("allowed are: none"))
        self.assertEqual(0, self.command("service", "apply", service)[0])
        self.assertEqual(0, self.command("data-centre", "bring-in", "south")[0])
        self.wait_until(
            lambda: self.command("contract", "apply", contract)[0] == 0
        )
        self.wait_until(lambda: self.ask()[0] == 200)
        body = json.loads(self.ask()[1])
        self.assertEqual("a0 card1 ", body["text"])

        status, out, _ = self.command("contract", "list", "--json")
        self.assertEqual("museum", json.loads(out)[0]["name"])
        status, _, error = self.command(
            "contract", "apply", contract, "--version=1"
        )
        self.assertEqual(3, status)
        self.assertThat(error, matchers.StartsWith("conflict: "))
        edit = "services.card-writer.in_flight_requests=9"
        self.assertEqual(0, self.command("contract", "edit", "museum", edit)[0])
        self.assertIn(
            "in_flight_requests: 9",
            self.command("contract", "get", "museum")[1],
        )

        take_out = ("data-centre", "take-out", "south")
        status, _, error = self.command(*take_out)
        self.assertEqual(5, status)
        self.assertThat(error, matchers.StartsWith("unsafe_move: "))
        self.assertThat(error, matchers.Contains("0 of 16 slots remain"))
        self.assertEqual(200, self.ask()[0])
        self.assertEqual(0, self.command(*take_out, "--override")[0])
        self.wait_until(lambda: self.ask()[0] == 503)
        refusal = json.loads(self.ask()[1])
        self.assertEqual("not run", refusal["ran"])
        status, out, _ = self.command("explain", refusal["request_id"])
        self.assertEqual(0, status)
        self.assertThat(out, matchers.Contains("refuse: no_runner"))
        status, out, _ = self.command("status", "data_centres")
        self.assertThat(out, matchers.Contains("south"))
        self.assertThat(out, matchers.Contains("out"))

        self.assertEqual("", self.router.children())
        self.assertEqual(0, self.router.stop())

    def test_wrong_operator_key_is_denied(self) -> None:
        done = run_command(
            "status",
            environment={
                "MULBERRYPADDLE_ROUTER": self.router_address,
                "MULBERRYPADDLE_OPERATOR_KEY": "wrong",
            },
        )
        self.assertEqual(6, done.returncode)
        self.assertThat(done.stderr, matchers.StartsWith("unauthenticated:"))
