"""Runs: one deployment, one policy, one scenario or fault, measured."""

import pathlib
import threading
import typing

import numpy

from amaranthslip import settings as settings_module
from bench import deployments
from bench import faults as faults_module
from bench import figures
from bench import fleet as fleet_module
from bench import load as load_module
from bench import plans
from bench import processes
from bench import records
from bench import sampling
from bench import scenarios

# The first seconds fill the queues and the engines; they are left out.
WARM_UP_SECONDS = 3.0
# A second with less than this part of the slots busy is one of a fault.
_HEALTHY_UTILISATION = 0.9
_FIRST_TOKEN_STEPS = 1.0
# Settings of dispatch that are amounts of tokens.
_TOKEN_SETTINGS = ('charge_tokens', 'commit_tokens')


class Run:
    """What to run.

    Parameters
    ----------
    deployment : Deployment
        Not changed.
    policy : str
        The setting `dispatch.policy`.
    scenario : Scenario
        The load.
    fault : Fault or None
        What goes wrong meanwhile.
    seconds : float
        The load's time; 0: as the scenario or fault has it.
    seed : int
        The load's seed: the same for every policy.
    through_proxy : bool
        Whether messages between routers take the deployment's delay.
    """

    __slots__ = (
        'deployment',
        'policy',
        'scenario',
        'fault',
        'seconds',
        'seed',
        'through_proxy',
    )

    def __init__(
        self,
        deployment: deployments.Deployment,
        policy: str,
        scenario: scenarios.Scenario,
        *,
        fault: faults_module.Fault | None = None,
        seconds: float = 0.0,
        seed: int = 1,
        through_proxy: bool = True,
    ) -> None:
        self.deployment = deployment
        self.policy = policy
        self.scenario = scenario
        self.fault = fault
        self.seconds = seconds or (fault or scenario).seconds
        self.seed = seed
        self.through_proxy = through_proxy

    @property
    def name(self) -> str:
        """The scenario's name, or the fault's."""
        return self.fault.name if self.fault else self.scenario.name


class Result:
    """The measures of one run; the slots are the fields of the JSON file.

    What was not measured is None.
    """

    __slots__ = (
        'policy',
        'deployment',
        'scenario',
        'fairness_gap_tokens',
        'gap_bound_tokens',
        'gap_accounts',
        'utilisation',
        'control_bytes_per_second_per_instance',
        'control_messages_per_second_per_instance',
        'control_by_kind_per_second_per_instance',
        'goodput',
        'refusals_by_reason',
        'failures_by_reason',
        'outcomes',
        'first_token_seconds_p50',
        'first_token_seconds_p95',
        'between_chunks_seconds_p95',
        'most_waiting_in_an_engine',
        'disturbed_seconds',
        'processor_share_per_router',
        'error',
        'series',
    )

    def __init__(self, run: Run) -> None:
        for name in self.__slots__:
            setattr(self, name, None)
        self.policy = run.policy
        self.deployment = run.deployment.name
        self.scenario = run.name

    def build_values(self) -> dict[str, typing.Any]:
        """Return what the JSON file holds."""
        return {
            name: getattr(self, name)
            for name in self.__slots__
            if name != 'series'
        }


def execute_or_explain(run: Run, folder: pathlib.Path) -> Result:
    """Execute a run; one that breaks off tells why in `error`.

    A fleet that does not come back from a fault is a result as well, and
    must not cost the other runs theirs.
    """
    try:
        return execute(run, folder)
    except (processes.ProcessFailed, OSError) as error:
        result = Result(run)
        result.error = str(error)
        return result


def execute(run: Run, folder: pathlib.Path) -> Result:
    """Start the fleet, run the load and the fault, measure, end it all."""
    deployment = run.deployment.copy()
    service = deployment.list_services('model')[0]
    scenarios.scale_estimates(deployment, service)
    # The scenario may change the document, so it is built once before the
    # fleet starts; a second time with the addresses that are known then.
    run.scenario.build(deployment, service, ['127.0.0.1:1'])
    with fleet_module.Fleet(
        deployment,
        folder,
        policy=run.policy,
        through_proxy=run.through_proxy,
        stale_list=bool(run.fault and run.fault.stale_list),
        settings=_build_settings(run.policy),
    ) as fleet:
        plan = _build_plan(run, fleet, service)
        return _measure(run, fleet, plan, service, folder)


def _build_settings(policy: str) -> dict[str, dict[str, typing.Any]]:
    """Return the settings that differ: amounts of tokens scale as sizes."""
    scaled = {
        key: max(1, int(kind.default / scenarios.SIZE_SCALE))
        for key, kind in settings_module.SECTIONS['dispatch'].items()
        if key in _TOKEN_SETTINGS
    }
    return {
        'shutdown': {'notice_seconds': 0.5},
        'dispatch': {'policy': policy} | scaled,
    }


def _build_plan(
    run: Run, fleet: fleet_module.Fleet, service: str
) -> plans.Plan:
    entries = [router.callers for router in fleet.routers.values()]
    unscaled = run.deployment.copy()
    scenarios.scale_estimates(unscaled, service)
    return plans.Plan(
        traffics=run.scenario.build(unscaled, service, entries),
        seconds=run.seconds,
        seed=run.seed,
    )


def _measure(
    run: Run,
    fleet: fleet_module.Fleet,
    plan: plans.Plan,
    service: str,
    folder: pathlib.Path,
) -> Result:
    with (
        load_module.Load(plan, folder) as load,
        sampling.Sampler(fleet, service) as sampler,
    ):
        window = _Window(fleet, load)
        if run.fault:
            window.wait(faults_module.FAULT_START_SECONDS)
            run.fault.act(fleet, load, service)
        observation = load.finish()
        window.end()
    result = Result(run)
    series = _build_series(fleet, observation, service)
    _fill_fairness(result, run, series, plan, fleet, service)
    _fill_occupancy(result, run, sampler, series, load)
    _fill_traffic(result, window)
    _fill_outcomes(result, observation)
    return result


class _Window:
    """Samples the routers at the end of the warm-up and of the load."""

    __slots__ = ('_fleet', '_load', '_thread', '_before', '_after', '_used')

    def __init__(
        self, fleet: fleet_module.Fleet, load: load_module.Load
    ) -> None:
        self._fleet = fleet
        self._load = load
        self._before: sampling.ControlSample | None = None
        self._after: sampling.ControlSample | None = None
        self._used: dict[str, float] = {}
        self._thread = threading.Thread(target=self._begin, daemon=True)
        self._thread.start()

    def wait(self, seconds: float) -> None:
        """Wait until so many seconds after the load's start."""
        event = threading.Event()
        event.wait(max(0.0, seconds - self._load.measure_time()))

    def _begin(self) -> None:
        self.wait(WARM_UP_SECONDS)
        self._before = sampling.sample_control(self._fleet)
        self._used = self._read_processors()

    def end(self) -> None:
        """Take the second sample."""
        self._thread.join()
        self._after = sampling.sample_control(self._fleet)

    def _read_processors(self) -> dict[str, float]:
        return {
            router.name: router.process.read_processor_seconds()
            for router in self._fleet.routers.values()
            if router.process.is_running()
        }

    def compute_control_rate(self) -> sampling.ControlRate:
        """Return the control traffic between the two samples."""
        return sampling.ControlRate(self._before, self._after)

    def compute_processor_share(self) -> float:
        """Return the part of a core that a router used, in the mean."""
        elapsed = self._after.time - self._before.time
        used = self._read_processors()
        shares = []
        for name, seconds in used.items():
            before = self._used.get(name, 0.0)
            # A router that was restarted counts from zero again.
            gained = seconds - before if seconds >= before else seconds
            shares.append(gained / elapsed)
        return sum(shares) / len(shares) if shares else 0.0


def _build_series(
    fleet: fleet_module.Fleet, observation: records.Observation, service: str
) -> figures.ServiceSeries:
    # A slot's first token comes at the end of a step at the soonest.
    least = fleet.step_seconds * _FIRST_TOKEN_STEPS
    shares = fleet.deployment.read_shares(service)
    return figures.build_series(observation, shares, service_seconds=least)


def _fill_fairness(
    result: Result,
    run: Run,
    series: figures.ServiceSeries,
    plan: plans.Plan,
    fleet: fleet_module.Fleet,
    service: str,
) -> None:
    steady = series.cut(WARM_UP_SECONDS, run.seconds)
    gap = figures.compute_fairness_gap(steady)
    result.fairness_gap_tokens = gap.tokens
    result.gap_accounts = list(gap.accounts)
    result.gap_bound_tokens = figures.compute_gap_bound(
        largest_tokens=max(each.most_tokens for each in plan.traffics),
        slots=fleet.deployment.count_slots(service),
        shares=list(fleet.deployment.read_shares(service).values()),
    )
    result.series = series


def _fill_occupancy(
    result: Result,
    run: Run,
    sampler: sampling.Sampler,
    series: figures.ServiceSeries,
    load: load_module.Load,
) -> None:
    start = load.plan.start
    steady = series.cut(WARM_UP_SECONDS, run.seconds)
    occupancy = sampler.build_occupancy(steady, start)
    result.utilisation = figures.compute_utilisation([occupancy])
    result.most_waiting_in_an_engine = sampler.count_most_waiting()
    if run.fault:
        result.disturbed_seconds = _find_disturbed_time(occupancy)


def _find_disturbed_time(occupancy: figures.Occupancy) -> float:
    """Return the seconds in which too many slots idled while work waited."""
    with numpy.errstate(invalid='ignore'):
        busy = occupancy.busy / occupancy.slots
    disturbed = (busy < _HEALTHY_UTILISATION) & occupancy.waiting
    return float(disturbed.sum()) * sampling.SAMPLE_SECONDS


def _fill_traffic(result: Result, window: _Window) -> None:
    rate = window.compute_control_rate()
    result.control_bytes_per_second_per_instance = rate.bytes_per_second
    result.control_messages_per_second_per_instance = rate.messages_per_second
    result.control_by_kind_per_second_per_instance = rate.by_kind
    result.processor_share_per_router = window.compute_processor_share()


def _fill_outcomes(result: Result, observation: records.Observation) -> None:
    result.goodput = figures.compute_goodput(observation)
    result.refusals_by_reason = dict(figures.count_refusals(observation))
    result.failures_by_reason = dict(figures.count_failures(observation))
    result.outcomes = dict(figures.count_outcomes(observation))
    first = figures.compute_first_token(observation)
    result.first_token_seconds_p50 = first.p50
    result.first_token_seconds_p95 = first.p95
    between = figures.Percentiles(observation.gaps)
    result.between_chunks_seconds_p95 = between.p95
