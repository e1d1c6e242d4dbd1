#!/usr/bin/env python3
"""Makes site files of deployments that nobody runs from one that somebody does, to see what a decision does elsewhere.

    rig/variations.py SITE.toml FOLDER

Each differs in one respect: what prompts share, the workers, the dispatchers, or the share of batch work.
"""

import pathlib
import re
import shutil
import sys

LONG_PROMPT_TOKENS = 5000


def scale_counts(text, pattern, factor):
    """Multiplies each `count = N` in the lines that match the pattern, to 1 at least."""

    def scaled(line):
        if not re.search(pattern, line):
            return line
        times = lambda found: f"count = {max(1, round(int(found[1]) * factor))}"
        return re.sub(r"\bcount = (\d+)", times, line)

    return "\n".join(scaled(line) for line in text.split("\n"))


def shared_parts(text, things, tokens, skew=None):
    """Changes number and length of the long shared parts of prompts, and how uneven they are asked for."""

    def changed(found):
        mean, highest, count = float(found[1]), float(found[3]), int(found[4])
        if mean < LONG_PROMPT_TOKENS:
            return found[0]
        old_skew = found[5]
        return (
            f"chain = [{{ tokens = {{ mean = {mean * tokens:.0f}.0, spread = {found[2]}, max = {highest * tokens:.0f}.0 }}, "
            f"things = {max(1, round(count * things))}, skew = {old_skew if skew is None else skew}"
        )

    pattern = (
        r"chain = \[\{ tokens = \{ mean = ([\d.]+), spread = ([\d.]+), max = ([\d.]+) \}, "
        r"things = (\d+), skew = ([\d.]+)"
    )
    return re.sub(pattern, changed, text)


def batch_share(text, factor):
    """Changes the traffic of the batch class in all mixes."""
    batch = re.search(r'name = "([\w-]+)"[^\n]*kind = "batch"', text)[1]
    times = lambda found: f"{batch} = {float(found[1]) * factor:.4g}"
    return re.sub(rf"\b{batch} = ([\d.]+)", times, text)


def larger_workers(text):
    """A third of the workers of engines, each with three times the slots and memory."""

    def line(old):
        if "llm = {" not in old:
            return old
        old = re.sub(r"\bcount = (\d+)", lambda m: f"count = {max(1, int(m[1]) // 3)}", old)
        for field in ("slots", "queue", "conn_cap", "batch", "kv_tokens"):
            old = re.sub(rf"\b{field} = (\d+)", lambda m: f"{field} = {int(m[1]) * 3}", old)
        return old

    return "\n".join(map(line, text.split("\n")))


VARIATIONS = {
    "parts-many-short": lambda text: shared_parts(text, things=10, tokens=0.5),
    "parts-few-hot": lambda text: shared_parts(text, things=0.06, tokens=1, skew=1.0),
    "workers-few-large": larger_workers,
    "dispatchers-few": lambda text: scale_counts(text, r'class = "front".*cpu_share = 0\.(?:12|04|2\d)\b', 0.2),
    "batch-none": lambda text: batch_share(text, 0.001),
    "batch-twice": lambda text: batch_share(text, 2),
}


def main(site, folder):
    source, folder = pathlib.Path(site), pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    text = source.read_text()
    for extra in ("wire.json", "CUT"):
        if (source.parent / extra).exists():
            shutil.copy(source.parent / extra, folder / extra)
    for name, change in VARIATIONS.items():
        changed = change(text)
        if changed == text:
            sys.exit(f"{name}: nothing to change in {site}")
        (folder / f"{source.stem}-{name}.toml").write_text(changed)


if len(sys.argv) != 3:
    sys.exit(__doc__)
main(sys.argv[1], sys.argv[2])
