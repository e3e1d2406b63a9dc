"""
Tests of the command line
=========================

Invalid settings and bundle files, and the exit codes and errors for them.
"""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from returns.result import Failure

from cardamomdrift.bundle.model import check_value, decode_bundle, encode_bundle
from cardamomdrift.command import (
    EXIT_BAD_INPUT,
    EXIT_NO_ANSWER,
    Commands,
    merge_burn_reports,
)
from cardamomdrift.settings import load_settings
from tests.values import BUNDLE

SETTINGS = {
    "vm": "vm-1",
    "failure_domain": "za",
    "deployment": "test",
    "callers": {"allow_any_user": True, "allow_plaintext": True},
    "upstreams": {"user": "proxy"},
    "platform": {"url": "http://127.0.0.1:9", "access_key": "k"},
    "peers": {"address": "127.0.0.1", "port": 4000},
}
BAD_SETTINGS = (
    ("colour", {"colour": "red"}, "colour"),
    ("vm", {"vm": "VM 1"}, "vm"),
    (
        "callers.port",
        {"callers": {**SETTINGS["callers"], "port": 70000}},
        "callers.port",
    ),
    ("no protection", {"callers": {"allow_any_user": True}}, "allow_plaintext"),
    ("no users", {"callers": {"allow_plaintext": True}}, "allow_any_user"),
    ("peers", {"peers": {"address": "127.0.0.1"}}, "peers.port"),
)


def _change_group(**changes):
    """Return a change of BUNDLE that replaces keys of its group."""
    return {"groups": {"g": {**BUNDLE["groups"]["g"], **changes}}}


BAD_BUNDLES = (
    ("unknown key", {"colour": "red"}, "colour"),
    ("no groups", {"groups": {}}, "groups"),
    ("slots", _change_group(slots=0), "groups.g.slots"),
    ("text for a number", _change_group(slots="2"), "groups.g.slots"),
    ("record", _change_group(record="never"), "groups.g.record"),
    (
        "age of a write",
        {"classes": {**BUNDLE["classes"], "w": {"kind": "write", "max_age_ms": 5}}},
        "classes.w",
    ),
    ("default of the wrong kind", {"defaults": {"read": "w", "write": "w"}}, "read"),
    (
        "database in two groups",
        {"groups": {"g": BUNDLE["groups"]["g"], "h": BUNDLE["groups"]["g"]}},
        "two groups",
    ),
)


class FileCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / "token.key").write_text("sixteen bytes key")

    def write(self, name, value, comment="// a comment\n"):
        """Write a JSON file with a comment at its head; return its path."""
        path = self.folder / name
        path.write_text(comment + json.dumps(value))
        return str(path)

    def settings(self, **changes):
        """Write a settings file, with some top-level keys replaced; return its path."""
        value = {**SETTINGS, "token_key_file": str(self.folder / "token.key")}
        return self.write("vm-1.jsonc", {**value, **changes})

    def run_command(self, function, *arguments):
        """Return the exit code and the text on standard error."""
        stderr = io.StringIO()
        with (
            contextlib.redirect_stderr(stderr),
            self.assertRaises(SystemExit) as caught,
        ):
            function(*arguments)
        return caught.exception.code, stderr.getvalue()


class SettingsTest(FileCase):
    def test_good_settings(self):
        self.assertEqual(load_settings(self.settings()).unwrap().vm, "vm-1")
        self.assertIn("ok vm-1", Commands().settings.check(self.settings()))

    def test_each_error_names_file_and_key(self):
        for name, changes, key in BAD_SETTINGS:
            with self.subTest(name):
                path = self.settings(**changes)
                result = load_settings(path)
                self.assertIsInstance(result, Failure)
                (line,) = result.failure().faults
                self.assertIn(path, line)
                self.assertIn(key, line)

    def test_unreadable_files(self):
        broken = self.folder / "broken.jsonc"
        broken.write_text("{ not json")
        short = self.folder / "short.key"
        short.write_text("short")
        for path in (
            str(broken),
            str(self.folder / "absent.jsonc"),
            self.settings(token_key_file=str(short)),
            self.settings(token_key_file=str(self.folder / "absent.key")),
        ):
            with self.subTest(path):
                code, stderr = self.run_command(Commands().settings.check, path)
                self.assertEqual(code, EXIT_BAD_INPUT)
                self.assertIn("SettingsError", stderr)


class BundleTest(FileCase):
    def test_good_bundle_round_trip(self):
        model = check_value(BUNDLE, "t").unwrap()
        bundle = decode_bundle(encode_bundle(model)).unwrap()
        self.assertEqual(bundle.groups["g"].databases, ("d",))
        self.assertIn("ok ", Commands().bundle.check(self.write("b.jsonc", BUNDLE)))

    def test_each_error_names_file_and_key(self):
        for name, changes, key in BAD_BUNDLES:
            with self.subTest(name):
                path = self.write("b.jsonc", {**BUNDLE, **changes})
                code, stderr = self.run_command(Commands().bundle.check, path)
                self.assertEqual(code, EXIT_BAD_INPUT)
                self.assertIn(key, stderr)
                self.assertIn(path, stderr)

    def test_bundle_of_another_deployment_is_not_signed_off(self):
        path = self.write("b.jsonc", {**BUNDLE, "deployment": "other"})
        sign_off = Commands().bundle.sign_off
        code, stderr = self.run_command(sign_off, path, self.settings())
        self.assertEqual(code, EXIT_BAD_INPUT)
        self.assertIn("deployment", stderr)

    def test_unreachable_platform(self):
        code, stderr = self.run_command(Commands().bundle.show, self.settings())
        self.assertEqual(code, EXIT_NO_ANSWER)
        self.assertIn("PlatformUnavailable", stderr)

    def test_unreachable_daemon(self):
        code, _ = self.run_command(Commands().status, "127.0.0.1:9")
        self.assertEqual(code, EXIT_NO_ANSWER)

    def test_burn_reports_of_several_daemons_are_summed(self):
        def make_report(bad):
            window = {"seconds": 300, "total": 100, "bad": bad, "rate": 0}
            causes = [["NoPrimary", bad]]
            return [
                {"name": "w", "objective": 0.99, "windows": [window], "causes": causes}
            ]

        (merged,) = merge_burn_reports([make_report(1), make_report(3)])
        self.assertEqual(merged["windows"][0]["bad"], 4)
        self.assertAlmostEqual(merged["windows"][0]["rate"], 2.0)
        self.assertEqual(merged["causes"], [("NoPrimary", 4)])


if __name__ == "__main__":
    unittest.main()
