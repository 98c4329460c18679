"""The load tool: runs a plan in several processes and merges their results.

    python -m bench.load PLAN.json OBSERVATION.json

runs one worker process; `run_load` starts the workers.
"""

from gevent import monkey

if __name__ == '__main__':
    monkey.patch_all()

import contextlib  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

from bench import callers  # noqa: E402
from bench import plans  # noqa: E402
from bench import processes  # noqa: E402
from bench import records  # noqa: E402

# Time allowed for the workers to import their modules before the load starts.
_WORKER_START_SECONDS = 1.0
_FINISH_TIMEOUT_SECONDS = 60.0


class Load:
    """A running load: starts the workers and collects their observations.

    Parameters
    ----------
    plan : Plan
        The plan to run. Its `start` is set when the workers start.
    folder : pathlib.Path
        For the workers' plans, observations and output files.
    workers : int
        Number of processes that share the load.
    """

    __slots__ = ('plan', '_folder', '_workers', '_stack')

    def __init__(
        self, plan: plans.Plan, folder: pathlib.Path, *, workers: int = 2
    ) -> None:
        self.plan = plan
        self._folder = folder
        self._stack = contextlib.ExitStack()
        self._workers = [self._build_worker(index) for index in range(workers)]

    def _build_worker(self, index: int) -> processes.Process:
        command = processes.build_python_command(
            'bench.load',
            str(self._folder / f'plan-{index}.json'),
            str(self._folder / f'observation-{index}.json'),
        )
        return processes.Process(f'load-{index}', command, self._folder)

    def __enter__(self) -> 'Load':
        self._folder.mkdir(parents=True, exist_ok=True)
        self.plan.start = time.monotonic() + _WORKER_START_SECONDS
        worker_plans = self.plan.split(len(self._workers))
        del self._workers[len(worker_plans) :]
        for index, worker_plan in enumerate(worker_plans):
            plans.write_plan(self._folder / f'plan-{index}.json', worker_plan)
            self._stack.callback(self._workers[index].close)
            self._workers[index].start()
        return self

    def __exit__(self, *exception: object) -> None:
        self._stack.close()

    def is_over(self) -> bool:
        """Return whether the planned time has passed."""
        return time.monotonic() >= self.plan.start + self.plan.seconds

    def read_elapsed_seconds(self) -> float:
        """Return the seconds since the load's start; negative before it."""
        return time.monotonic() - self.plan.start

    def finish(self) -> records.Observation:
        """Wait for the workers; return their merged observations.

        Raises
        ------
        processes.ProcessFailed
            A worker did not exit with code 0.
        """
        merged = records.Observation(
            start=self.plan.start,
            seconds=self.plan.seconds,
            step_seconds=self.plan.step_seconds,
        )
        end = self.plan.start + self.plan.seconds + _FINISH_TIMEOUT_SECONDS
        for index, worker in enumerate(self._workers):
            if worker.wait(max(0.0, end - time.monotonic())) != 0:
                raise processes.ProcessFailed(worker.read_output()[-2000:])
            path = self._folder / f'observation-{index}.json'
            merged.merge(records.read_observation(path))
        return merged


def run_load(
    plan: plans.Plan, folder: pathlib.Path, *, workers: int = 2
) -> records.Observation:
    """Run a plan to its end; return the merged observations."""
    with Load(plan, folder, workers=workers) as load:
        return load.finish()


def main() -> None:
    """Run one worker process."""
    plan_path, observation_path = map(pathlib.Path, sys.argv[1:3])
    load_callers = callers.Callers(plans.read_plan(plan_path))
    load_callers.run()
    records.write_observation(observation_path, load_callers.observation)


if __name__ == '__main__':
    main()
