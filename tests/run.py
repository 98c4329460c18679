"""Runs the behave features concurrently and counts the results.

Those in the folder `apart` run one at a time after all others: they measure
processes, which other load would disturb.

The summary that behave prints differs between versions, so the results are
read from its JSON report. Each scenario counts as one test.
"""

import concurrent.futures
import json
import pathlib
import subprocess
import sys
import tempfile
import typing

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_FEATURES = _ROOT / 'tests' / 'features'
_APART = _FEATURES / 'apart'
_KNOWN_RED = _ROOT / 'KNOWN-RED.txt'
_WORKERS = 4
_FEATURE_TIMEOUT_SECONDS = 600


class FeatureResult:
    """Output and scenario results of one feature file."""

    __slots__ = ('path', 'passed', 'failed', 'output')

    def __init__(
        self, path: pathlib.Path, passed: int, failed: list[str], output: str
    ) -> None:
        self.path = path
        self.passed = passed
        self.failed = failed
        self.output = output


def run_feature(path: pathlib.Path) -> FeatureResult:
    """Run one feature file in a separate behave process."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / 'report.json'
        command = [sys.executable, '-m', 'behave', '--no-color']
        command += ['-f', 'json', '-o', str(report), '-f', 'plain']
        command += ['--no-capture', str(path)]
        try:
            completed = subprocess.run(
                command,
                cwd=_ROOT,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
                timeout=_FEATURE_TIMEOUT_SECONDS,
            )
            output, code = completed.stdout, completed.returncode
        except subprocess.TimeoutExpired as expired:
            output, code = str(expired.output), 1
        return _read_report(path, report, output, code)


def _read_report(
    path: pathlib.Path, report: pathlib.Path, output: str, code: int
) -> FeatureResult:
    passed, failed = 0, []
    try:
        features = json.loads(report.read_text())
    except (OSError, ValueError):
        features = []
    for feature in features:
        for element in feature.get('elements', []):
            if element.get('type') == 'background':
                continue
            if element.get('status') == 'passed':
                passed += 1
            else:
                failed.append(element.get('name', '?').strip())
    if code and not failed:
        failed.append(f'{path.name}: behave exited with code {code}')
    return FeatureResult(path, passed, failed, output)


def run_features(
    paths: typing.Iterable[pathlib.Path],
) -> typing.Iterator[FeatureResult]:
    """Run features, several at a time except for those in `apart`."""
    together = [path for path in paths if path.parent != _APART]
    with concurrent.futures.ThreadPoolExecutor(_WORKERS) as pool:
        yield from pool.map(run_feature, together)
    yield from map(
        run_feature, [path for path in paths if path.parent == _APART]
    )


def read_known_red() -> list[str]:
    """Return the scenario names in KNOWN-RED.txt.

    Each line holds one entry: the name, and details after a `|`.
    """
    if not _KNOWN_RED.exists():
        return []
    lines = _KNOWN_RED.read_text().splitlines()
    return [line.split('|')[0].strip() for line in lines if line.strip()]


def main() -> int:
    """Run the features given on the command line, or all features."""
    given_paths = [pathlib.Path(name).resolve() for name in sys.argv[1:]]
    paths = given_paths or sorted(_FEATURES.rglob('*.feature'))
    known_red = read_known_red()
    passed, failed, known_failures = 0, [], []
    for result in run_features(paths):
        passed += result.passed
        unexpected_failures = [
            name for name in result.failed if name not in known_red
        ]
        known_failures += [name for name in result.failed if name in known_red]
        failed += unexpected_failures
        verdict = 'failed' if unexpected_failures else 'ok'
        name = result.path.relative_to(_ROOT)
        print(f'{name}: {result.passed} scenarios, {verdict}')
        if unexpected_failures:
            print(result.output)
    for name in known_failures:
        print(f'known red: {name}')
    for name in failed:
        print(f'FAILED: {name}')
    print(f'{passed} passed, {len(failed)} failed')
    return 1 if failed or not passed else 0


if __name__ == '__main__':
    sys.exit(main())
