#!/usr/bin/python3
"""Guards against docs/settings.md that tells other settings than the programs
have. scripts/generate writes the page."""

import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("DOGWOOD_BUILD", ROOT / "build"))


def main():
    page = (ROOT / "docs" / "settings.md").read_text()
    for program in ("controld", "entryd", "batchd", "hostd"):
        told = subprocess.run([BUILD / f"dogwood_{program}", "--describe-settings"],
                              capture_output=True, text=True, check=True).stdout
        if told.strip() not in page:
            sys.exit(f"FAILED: docs/settings.md differs from dogwood_{program} --describe-settings")
    print("passed")


main()
