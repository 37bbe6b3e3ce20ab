"""Compares the availability of schemes for at-most-once execution of keyed calls.

A service of five instances goes through one event (a replacement, a failure or a
network partition) on a virtual clock. Every minute, new keys are sent once and
repeated a minute later, through the real policies. The expected number of events
per day turns the losses after one event into a share of all calls.

The schemes are:

pinned
    The key names the process that issued it, and only that process runs it.
plain, fenced
    The owner first asks the instances that may have run the key to promise not to
    run it.
refuse all
    The rendezvous winner refuses calls for `RETENTION_S` after the list changed or
    the winner started.
owner only
    The rendezvous winner runs the call at once, without any protection.
"""

from random import Random

from bench.command import run_command
from mangowell_core.distribution.ranking import rank_instances
from mangowell_core.messages import FenceQuery
from mangowell_core.model import (
    Document,
    Instance,
    InstanceState,
    Route,
    Service,
    Snapshot,
    TrafficClass,
)
from mangowell_core.policy import RequestPolicy
from mangowell_core.policy.ownership import RETENTION_S
from mangowell_core.policy.types import (
    AskFences,
    Choice,
    Refusal,
    ReplayKey,
    RunKey,
    StoredAnswer,
)
from mangowell_core.settings import NodeSettings, SourceSettings

REPLACEMENTS_PER_DAY, FAILURES_PER_DAY = 250, 16
SERVICES, INSTANCES_PER_SERVICE = 610, 5  # 3,100 instances
STEP_S = 60.0
EVENT_AT_S = 30.0  # after the first calls and before their repeats
WINDOW_S = 5 * 3600.0  # the losses after one event end within this time
# Quiet time after which a process may run plain keys at once.
LONG_QUIET_S = 100_000.0
ANSWER = StoredAnswer(200, (), b"")
SCHEMES = ("pinned", "plain, fenced", "refuse all", "owner only")
PAYMENT_CLASS = TrafficClass("payment", 0)
DOCUMENT = Document(
    "bench",
    1,
    {"payment": PAYMENT_CLASS},
    {},
    {"s": Service("s")},
    {"pay": Route("pay", "s", "/", (), "payment", idempotent=False)},
    "",
    "",
)


class SimulatedService:
    """Simulates one service, the platform's instance list and two ingress nodes."""

    def __init__(self, seed):
        self.rng = Random(seed)
        self.now = 0.0
        self.revision = 0
        self.incarnations = 0
        self.instance_states = {}
        self.processes = {}  # policies of the running instances
        self.started_at = {}
        self.list_changed_at = float("-inf")
        self.network_sides = {}  # instance or node -> side of a partition
        self.isolated = set()  # nodes that get no new instance list
        self.ingress_nodes = {
            "near": self.make_policy("near"),
            "far": self.make_policy("far"),
        }
        for i in range(INSTANCES_PER_SERVICE):
            self.instance_states[f"i{i}"] = InstanceState.LIVE
        for name in list(self.instance_states):
            self.start_process(name, LONG_QUIET_S)
        self.publish_list()
        self.list_changed_at = float("-inf")

    def make_policy(self, name, quiet_s=LONG_QUIET_S):
        """Create the policy of a new process.

        No earlier process of the service ran a plain key in the `quiet_s` seconds
        before its start.
        """
        settings = NodeSettings(
            name,
            "s",
            "d0",
            "bench",
            "127.0.0.1",
            1,
            2,
            3,
            4,
            5,
            SourceSettings("http://127.0.0.1"),
            invariants="off",
        )
        # Processes with the same name need different incarnations, as real ones have
        # different start times.
        self.incarnations += 1
        return RequestPolicy.from_settings(
            settings, self.rng, self.incarnations, quiet_s
        )

    def start_process(self, name, quiet_s=0.0):
        """Start a process, whose name the list may contain already."""
        self.processes[name] = self.make_policy(name, quiet_s)
        self.started_at[name] = self.now
        if self.revision:
            self.publish_list()

    def publish_list(self):
        """Apply the list to every node that is not isolated from the platform."""
        self.revision += 1
        self.list_changed_at = self.now
        instances = tuple(
            Instance(n, "s", "d0", "127.0.0.1", 1, 2, 3, 4, 5, state)
            for n, state in self.instance_states.items()
        )
        snapshot = Snapshot(DOCUMENT, self.revision, {"s": instances})
        for name, policy in {**self.processes, **self.ingress_nodes}.items():
            if name not in self.isolated or policy.board.snapshot is None:
                policy.apply(snapshot, self.now)

    def can_reach(self, source, target):
        """Return whether two nodes are on the same side of the partition."""
        return self.network_sides.get(source, "near") == self.network_sides.get(
            target, "near"
        )

    def run_call(self, source, key):
        """Run one call; return ``ran``, ``replayed`` or ``refused``."""
        ingress = self.ingress_nodes[source]
        plan = ingress.match_route("r", "POST", "/pay", "t", None, key, self.now)
        choice = ingress.select_instance(plan, (), self.now)
        if not isinstance(choice, Choice):
            return "refused"
        name = choice.instance.name
        if name not in self.processes or not self.can_reach(source, name):
            return "refused"
        owner = self.processes[name]
        decision = owner.key_begin("s", key, self.now)
        if isinstance(decision, AskFences):
            decision = self.request_promises(name, owner, key, decision.instances)
        match decision:
            case RunKey():
                owner.key_finish("s", key, ANSWER, self.now)
                return "ran"
            case ReplayKey():
                return "replayed"
        return "refused"

    def request_promises(self, name, owner, key, instances):
        """Ask instances for promises and return the last decision of the owner."""
        decision = None
        for item in instances:
            target = self.processes.get(item.name)
            is_promised = (
                target is not None
                and self.can_reach(name, item.name)
                and target.handle_fence_query(
                    FenceQuery("s", key, 1), self.now, name
                ).promised
            )
            decision = owner.handle_fence_reply(
                "s", key, item.name, is_promised, self.now
            )
            if isinstance(decision, Refusal):
                return decision
        return decision

    def select_owner_by_list(self, source, key):
        """Select the rendezvous winner, for the schemes that ignore earlier owners."""
        live = [n for n, s in self.instance_states.items() if s is InstanceState.LIVE]
        names = live if source not in self.isolated else list(self.isolated_list)
        names = [n for n in names if n in self.processes and self.can_reach(source, n)]
        ranked = rank_instances(key, tuple(names))
        return ranked[0] if ranked else ""


def replace_one(service):
    """Start a new instance, then shut an old one down in order."""
    yield 0.0
    service.instance_states["n0"] = InstanceState.LIVE
    service.start_process("n0")
    yield 30.0
    service.instance_states["i0"] = InstanceState.LEAVING
    service.processes["i0"].start_drain(service.now)
    service.publish_list()
    yield 60.0
    del service.processes["i0"], service.instance_states["i0"]
    service.publish_list()


def replace_service(service):
    """Replace the whole service, one instance every two minutes."""
    for i in range(INSTANCES_PER_SERVICE):
        yield i * 120.0
        service.instance_states[f"n{i}"] = InstanceState.LIVE
        service.start_process(f"n{i}")
        yield i * 120.0 + 30.0
        service.instance_states[f"i{i}"] = InstanceState.LEAVING
        service.processes[f"i{i}"].start_drain(service.now)
        service.publish_list()
        yield i * 120.0 + 60.0
        del service.processes[f"i{i}"], service.instance_states[f"i{i}"]
        service.publish_list()


def fail_one(service):
    """Kill an instance; it leaves the list after 60 s; a new one starts after 120 s."""
    yield 0.0
    del service.processes["i0"]
    yield 60.0
    del service.instance_states["i0"]
    service.publish_list()
    yield 120.0
    service.instance_states["n0"] = InstanceState.LIVE
    service.start_process("n0")


def restart_one(service):
    """Kill an instance that restarts with the same name after 20 s."""
    yield 0.0
    del service.processes["i0"]
    yield 20.0
    service.start_process("i0")


def cut_domain(service, is_dropped):
    """Partition two of the five instances and the ``far`` callers off for an hour.

    If `is_dropped`, the platform's list drops the two instances after a minute.
    """
    yield 0.0
    for name in ("i0", "i1", "far"):
        service.network_sides[name] = "far"
        service.isolated.add(name)
    service.isolated_list = list(service.instance_states)
    if is_dropped:
        yield 60.0
        del service.instance_states["i0"], service.instance_states["i1"]
        service.publish_list()
    yield 3600.0
    service.network_sides.clear()
    service.isolated.clear()
    service.instance_states = {
        f"i{i}": InstanceState.LIVE for i in range(INSTANCES_PER_SERVICE)
    }
    service.publish_list()


EVENTS = {
    "replace one": replace_one,
    "replace whole service": replace_service,
    "fail, new name": fail_one,
    "fail, same name": restart_one,
    "cut, list keeps": lambda service: cut_domain(service, False),
    "cut, list drops": lambda service: cut_domain(service, True),
}


def run_event(event, keys_per_minute, seed=1):
    """Simulate one event and return the losses of the service by scheme.

    Losses are in minutes: one minute is all the calls of the service in a minute.

    Returns
    -------
    dict of str to dict
        ``first``: refused first calls; ``repeat``: refused repeats; ``twice``: keys
        that ran twice. Calls of ``far`` callers are included.
    """
    service = SimulatedService(seed)
    script = EVENTS[event](service)
    due_at = next(script) + EVENT_AT_S
    lost_minutes = {s: {"first": 0.0, "repeat": 0.0, "twice": 0.0} for s in SCHEMES}
    awaiting_repeat = []
    is_cut = event.startswith("cut")
    for step in range(int(WINDOW_S / STEP_S)):
        until = step * STEP_S + 5.0
        while due_at is not None and due_at <= until:
            service.now = due_at
            due_at = next(script, None)  # runs the step that is due
            if due_at is not None:
                due_at += EVENT_AT_S
        service.now = until
        for source, scheme, key, first, first_process in awaiting_repeat:
            # During a partition a caller repeats on the other side.
            repeat_source = {"near": "far", "far": "near"}[source] if is_cut else source
            repeat, repeat_process = run_call_with_scheme(
                service, repeat_source, scheme, key
            )
            add_outcome(
                lost_minutes[scheme], "repeat", repeat == "refused", keys_per_minute
            )
            twice = (
                first == "ran" and repeat == "ran" and first_process != repeat_process
            )
            add_outcome(lost_minutes[scheme], "twice", twice, keys_per_minute)
        awaiting_repeat = []
        for scheme in SCHEMES:
            for i in range(keys_per_minute):
                source = "far" if is_cut and i % 5 < 2 else "near"
                key = make_key(service, source, scheme, f"{step}.{i}")
                first, first_process = run_call_with_scheme(
                    service, source, scheme, key
                )
                add_outcome(
                    lost_minutes[scheme], "first", first == "refused", keys_per_minute
                )
                awaiting_repeat.append((source, scheme, key, first, first_process))
    return lost_minutes


def add_outcome(row, name, happened, keys_per_minute):
    """Add the share of one call in a minute to a loss, if it happened."""
    row[name] += STEP_S / 60.0 / keys_per_minute if happened else 0.0


def make_key(service, source, scheme, text):
    """Create a key; a node that the caller can reach mints a pinned one."""
    if scheme != "pinned":
        return text
    names = [
        n
        for n, policy in service.processes.items()
        if service.can_reach(source, n) and policy.accepts_new(service.now)
    ]
    names = [n for n in names if n not in service.ingress_nodes[source].board.leaving]
    return (
        service.processes[service.rng.choice(names)].issue_pinned_key(service.now)
        if names
        else text
    )


def run_call_with_scheme(service, source, scheme, key):
    """Run one call by a scheme.

    Returns
    -------
    tuple
        ``ran``, ``replayed`` or ``refused``, and an identity of the process that
        ran the call. A call through the policies has a unique identity, so that
        any second run of its key counts as twice.
    """
    if scheme in ("pinned", "plain, fenced"):
        return service.run_call(source, key), object()
    owner = service.select_owner_by_list(source, key)
    if not owner:
        return "refused", ""
    # A restarted process has the same name but has lost its ledger of keys.
    process = (owner, service.started_at[owner])
    if scheme == "refuse all":
        last_change_at = max(
            service.list_changed_at, service.started_at[owner] or float("-inf")
        )
        if service.now - last_change_at < RETENTION_S:
            return "refused", ""
    return "ran", process


def run(quick=False):
    """Simulate all events.

    Returns
    -------
    dict
        ``events``: minutes lost per event and scheme; ``fleet``: share of all
        calls refused in the fleet on an ordinary day, by scheme.
    """
    keys_per_minute = 20 if quick else 100
    events = {event: run_event(event, keys_per_minute) for event in EVENTS}
    fleet = {}
    day = SERVICES * 1440.0
    for scheme in SCHEMES:
        failure_minutes = (
            events["fail, new name"][scheme]["first"]
            + events["fail, same name"][scheme]["first"]
        ) / 2
        single_minutes = events["replace one"][scheme]["first"] * REPLACEMENTS_PER_DAY
        whole_minutes = events["replace whole service"][scheme]["first"]
        fleet[scheme] = {
            "one by one": (single_minutes + failure_minutes * FAILURES_PER_DAY) / day,
            "whole services": (
                whole_minutes * REPLACEMENTS_PER_DAY / INSTANCES_PER_SERVICE
                + failure_minutes * FAILURES_PER_DAY
            )
            / day,
        }
    return {"events": events, "fleet": fleet}


def print_table(result):
    """Print the figures of `run`."""
    print("minutes lost by the calls of one service after one event")
    print(f"  {'event':<24}{'scheme':<16}{'first':>8}{'repeat':>8}{'ran twice':>11}")
    for event, rows in result["events"].items():
        for scheme, row in rows.items():
            print(
                f"  {event:<24}{scheme:<16}{row['first']:8.2f}{row['repeat']:8.2f}"
                f"{row['twice']:11.2f}"
            )
    print(
        f"keyed calls refused ({REPLACEMENTS_PER_DAY} replaced, "
        f"{FAILURES_PER_DAY} failed a day)"
    )
    for scheme, row in result["fleet"].items():
        print(
            f"  {scheme:<16} replaced one by one {row['one by one']:9.4%}"
            f"   whole services {row['whole services']:9.4%}"
        )


def main():
    """Run from the command line."""
    run_command(__doc__, run, print_table)


if __name__ == "__main__":
    main()
