"""Counts the results of one test program: prints "passed failed known_red".

A program that crashed, or that wrote no report, counts as one more failure.
"""
import json
import sys


def known_failures(path):
    """Test names that KNOWN-RED.txt lists on lines "test: PROGRAM SUITE.NAME"."""
    try:
        with open(path, encoding="utf-8") as lines:
            return {line.split("test:", 1)[1].strip() for line in lines if line.startswith("test:")}
    except FileNotFoundError:
        return set()


def main(report_path, known_path, program, status):
    passed = failed = red = 0
    known = known_failures(known_path)
    try:
        with open(report_path, encoding="utf-8") as report:
            suites = json.load(report)["testsuites"]
    except (FileNotFoundError, ValueError):
        print("0 1 0")
        return
    for suite in suites:
        for case in suite["testsuite"]:
            if case.get("result") != "COMPLETED":
                failed += 1
                continue
            if not case.get("failures"):
                passed += 1
            elif f"{program} {suite['name']}.{case['name']}" in known:
                red += 1
            else:
                failed += 1
    if status != 0 and failed == 0 and red == 0:
        failed += 1
    print(passed, failed, red)


main(sys.argv[1], sys.argv[2], sys.argv[3], int(sys.argv[4]))
