#!/usr/bin/python3
"""Guards against a docs/settings.md that is out of date with the settings of the
daemons. scripts/generate writes the page."""

import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("DOGWOOD_BUILD", ROOT / "build"))


def main():
    page = (ROOT / "docs" / "settings.md").read_text()
    for program in ("controld", "entryd", "batchd", "hostd"):
        description = subprocess.run([BUILD / f"dogwood_{program}", "--describe-settings"],
                              capture_output=True, text=True, check=True).stdout
        if description.strip() not in page:
            sys.exit(f"FAILED: docs/settings.md differs from the output of dogwood_{program} --describe-settings")
    print("passed")


main()
