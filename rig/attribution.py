#!/usr/bin/env python3
"""Sums the dispatchers' counts by route over a played day, in spans of 5 s.

    fleetbench run SITE DAY --log edge > LOG; rig/attribution.py LOG
"""

import collections
import re
import sys

LINE = re.compile(
    r"\s*([\d.]+) \S+ I dispatch: route (\S+): (\d+) started, waited (\d+) ms on average and (\d+) ms at most; "
    r"late: (\d+) waiting here, (\d+) at the worker, (\d+) by a pause; "
    r"long prompts: (\d+) at their preferred worker, (\d+) elsewhere"
)
REFUSED = re.compile(r"I dispatch: permits refused: (.*)")
SPAN_S = 5


def main(path):
    routes = collections.defaultdict(lambda: [0] * 8)
    refusals = collections.Counter()
    with open(path, errors="replace") as log:
        for line in log:
            if found := LINE.match(line):
                add(routes, found)
            elif found := REFUSED.search(line):
                for part in found[1].split(", "):
                    count, reason = part.strip().split(" by ")
                    refusals[reason] += int(count)
    print("route | from s | started | waited ms, mean | at most | late: waiting | worker | pause | preferred | elsewhere")
    for (route, span), row in sorted(routes.items()):
        row[1] //= max(row[0], 1)
        print(route, span, *row, sep=" | ")
    print("permits refused:", ", ".join(f"{count} by {reason}" for reason, count in refusals.most_common()))


def add(routes, found):
    span = int(float(found[1]) // SPAN_S) * SPAN_S
    started, mean, most, waiting, worker, pause, preferred, elsewhere = map(int, found.groups()[2:])
    row = routes[found[2], span]
    row[0] += started
    row[1] += started * mean
    row[2] = max(row[2], most)
    for at, count in enumerate((waiting, worker, pause, preferred, elsewhere), 3):
        row[at] += count


main(sys.argv[1])
