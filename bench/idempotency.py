"""Computes what each way to run a keyed request at most once costs.

A service of five instances goes through one event (a replacement, a failure,
a cut-off domain) on a virtual clock. Every minute fresh keys are sent once and
repeated a minute later, through the real policies. Rates of events turn the
losses after one event into a share of all calls.
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

REPLACED_A_DAY, FAILED_A_DAY = 250, 16
SERVICES, SIZE = 610, 5  # 3,100 instances
STEP_S = 60.0
EVENT_AT_S = 30.0  # after the first calls and before their repeats
WINDOW_S = 5 * 3600.0  # losses after one event are over by then
LONG_AGO_S = 100_000.0
ANSWER = StoredAnswer(200, (), b"")
SCHEMES = ("pinned", "plain, fenced", "refuse all", "owner only")
CLASS = TrafficClass("payment", 0)
DOCUMENT = Document(
    "bench",
    1,
    {"payment": CLASS},
    {},
    {"s": Service("s")},
    {"pay": Route("pay", "s", "/", (), "payment", idempotent=False)},
    "",
    "",
)


class Fleet:
    """One service: its processes, the platform's list, and the callers' nodes."""

    def __init__(self, seed):
        self.rng = Random(seed)
        self.now = 0.0
        self.revision = 0
        self.incarnation = 0
        self.listed = {}
        self.alive = {}
        self.started = {}
        self.changed_at = float("-inf")
        self.side = {}  # instance or node to the side of a cut
        self.frozen = set()  # nodes whose view does not change
        self.ingress = {
            "near": self.make_policy("near"),
            "far": self.make_policy("far"),
        }
        for i in range(SIZE):
            self.listed[f"i{i}"] = InstanceState.LIVE
        for name in list(self.listed):
            self.start(name, LONG_AGO_S)
        self.publish()
        self.changed_at = float("-inf")

    def make_policy(self, name, quiet_s=LONG_AGO_S):
        """Return the policy of a new process."""
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
        # Two processes of one name must differ, as their start times do.
        self.incarnation += 1
        return RequestPolicy.from_settings(
            settings, self.rng, self.incarnation, quiet_s
        )

    def start(self, name, quiet_s=0.0):
        """Start a process, which may find its name in the list already."""
        self.alive[name] = self.make_policy(name, quiet_s)
        self.started[name] = self.now
        if self.revision:
            self.publish()

    def publish(self):
        """Show the list to every node that is not cut off from it."""
        self.revision += 1
        self.changed_at = self.now
        members = tuple(
            Instance(n, "s", "d0", "127.0.0.1", 1, 2, 3, 4, 5, state)
            for n, state in self.listed.items()
        )
        snapshot = Snapshot(DOCUMENT, self.revision, {"s": members})
        for name, policy in {**self.alive, **self.ingress}.items():
            if name not in self.frozen or policy.board.snapshot is None:
                policy.apply(snapshot, self.now)

    def reaches(self, one, other):
        """Tell whether two nodes can talk."""
        return self.side.get(one, "near") == self.side.get(other, "near")

    def call(self, source, key):
        """Run one call to its end; return ``ran``, ``replayed`` or ``refused``."""
        ingress = self.ingress[source]
        plan = ingress.match("r", "POST", "/pay", "t", None, key, self.now)
        choice = ingress.pick(plan, (), self.now)
        if not isinstance(choice, Choice):
            return "refused"
        name = choice.instance.name
        if name not in self.alive or not self.reaches(source, name):
            return "refused"
        owner = self.alive[name]
        found = owner.key_begin("s", key, self.now)
        if isinstance(found, AskFences):
            found = self.ask(name, owner, key, found.instances)
        match found:
            case RunKey():
                owner.key_finish("s", key, ANSWER, self.now)
                return "ran"
            case ReplayKey():
                return "replayed"
        return "refused"

    def ask(self, name, owner, key, instances):
        """Collect promises until the decision is certain."""
        found = None
        for item in instances:
            target = self.alive.get(item.name)
            promised = (
                target is not None
                and self.reaches(name, item.name)
                and target.fence(FenceQuery("s", key, 1), self.now, name).promised
            )
            found = owner.key_fenced("s", key, item.name, promised, self.now)
            if isinstance(found, Refusal):
                return found
        return found

    def find_simple_owner(self, source, key):
        """Return the rendezvous winner by list, for the schemes without history."""
        live = [n for n, s in self.listed.items() if s is InstanceState.LIVE]
        names = live if source not in self.frozen else list(self.frozen_list)
        names = [n for n in names if n in self.alive and self.reaches(source, n)]
        ranked = rank_instances(key, tuple(names))
        return ranked[0] if ranked else ""


def replace_one(fleet):
    """Start a new instance, then let the old one leave in order."""
    yield 0.0
    fleet.listed["n0"] = InstanceState.LIVE
    fleet.start("n0")
    yield 30.0
    fleet.listed["i0"] = InstanceState.LEAVING
    fleet.alive["i0"].start_drain(fleet.now)
    fleet.publish()
    yield 60.0
    del fleet.alive["i0"], fleet.listed["i0"]
    fleet.publish()


def replace_all(fleet):
    """Replace the whole service, one instance every two minutes."""
    for i in range(SIZE):
        yield i * 120.0
        fleet.listed[f"n{i}"] = InstanceState.LIVE
        fleet.start(f"n{i}")
        yield i * 120.0 + 30.0
        fleet.listed[f"i{i}"] = InstanceState.LEAVING
        fleet.alive[f"i{i}"].start_drain(fleet.now)
        fleet.publish()
        yield i * 120.0 + 60.0
        del fleet.alive[f"i{i}"], fleet.listed[f"i{i}"]
        fleet.publish()


def fail_one(fleet):
    """Kill an instance; the list drops it after a minute, a new one starts."""
    yield 0.0
    del fleet.alive["i0"]
    yield 60.0
    del fleet.listed["i0"]
    fleet.publish()
    yield 120.0
    fleet.listed["n0"] = InstanceState.LIVE
    fleet.start("n0")


def restart_one(fleet):
    """Kill an instance that starts again under its name after 20 s."""
    yield 0.0
    del fleet.alive["i0"]
    yield 20.0
    fleet.start("i0")


def cut_domain(fleet, is_dropped):
    """Cut off two of the five instances, and some callers, for an hour."""
    yield 0.0
    for name in ("i0", "i1", "far"):
        fleet.side[name] = "far"
        fleet.frozen.add(name)
    fleet.frozen_list = list(fleet.listed)
    if is_dropped:
        yield 60.0
        del fleet.listed["i0"], fleet.listed["i1"]
        fleet.publish()
    yield 3600.0
    fleet.side.clear()
    fleet.frozen.clear()
    fleet.listed = {f"i{i}": InstanceState.LIVE for i in range(SIZE)}
    fleet.publish()


EVENTS = {
    "replace one": replace_one,
    "replace whole service": replace_all,
    "fail, new name": fail_one,
    "fail, same name": restart_one,
    "cut, list keeps": lambda fleet: cut_domain(fleet, False),
    "cut, list drops": lambda fleet: cut_domain(fleet, True),
}


def run_event(event, keys, seed=1):
    """Return minutes lost by the calls of a service, by scheme.

    Returns
    -------
    dict of str to dict
        ``first`` and ``repeat``: refused calls in minutes of all calls;
        ``twice``: keys that ran twice, in minutes; also for ``far`` callers.
    """
    fleet = Fleet(seed)
    script = EVENTS[event](fleet)
    due = next(script) + EVENT_AT_S
    lost = {s: {"first": 0.0, "repeat": 0.0, "twice": 0.0} for s in SCHEMES}
    batch = []
    cut = event.startswith("cut")
    for step in range(int(WINDOW_S / STEP_S)):
        until = step * STEP_S + 5.0
        while due is not None and due <= until:
            fleet.now = due
            due = next(script, None)  # does the step that is due
            if due is not None:
                due += EVENT_AT_S
        fleet.now = until
        for source, scheme, key, first, ran_at in batch:
            # A caller at the edge of a cut repeats on the other side.
            other = {"near": "far", "far": "near"}[source] if cut else source
            repeat, again_at = send(fleet, other, scheme, key)
            count(lost[scheme], "repeat", repeat == "refused", keys)
            twice = first == "ran" and repeat == "ran" and ran_at != again_at
            count(lost[scheme], "twice", twice, keys)
        batch = []
        for scheme in SCHEMES:
            for i in range(keys):
                source = "far" if cut and i % 5 < 2 else "near"
                key = make_key(fleet, source, scheme, f"{step}.{i}")
                first, ran_at = send(fleet, source, scheme, key)
                count(lost[scheme], "first", first == "refused", keys)
                batch.append((source, scheme, key, first, ran_at))
    return lost


def count(row, name, happened, keys):
    """Add one call's share of a minute."""
    row[name] += STEP_S / 60.0 / keys if happened else 0.0


def make_key(fleet, source, scheme, text):
    """Return a key; a pinned one comes from a node that the caller reaches."""
    if scheme != "pinned":
        return text
    names = [
        n
        for n, policy in fleet.alive.items()
        if fleet.reaches(source, n) and policy.accepts_new(fleet.now)
    ]
    names = [n for n in names if n not in fleet.ingress[source].board.leaving]
    return fleet.alive[fleet.rng.choice(names)].mint_key(fleet.now) if names else text


def send(fleet, source, scheme, key):
    """Return how a call ended, and the process that ran it."""
    if scheme in ("pinned", "plain, fenced"):
        return fleet.call(source, key), object()
    owner = fleet.find_simple_owner(source, key)
    if not owner:
        return "refused", ""
    # A restarted process has another ledger under the same name.
    process = (owner, fleet.started[owner])
    if scheme == "refuse all":
        recent = max(fleet.changed_at, fleet.started[owner] or float("-inf"))
        if fleet.now - recent < RETENTION_S:
            return "refused", ""
    return "ran", process


def run(quick=False):
    """Run all events.

    Returns
    -------
    dict
        ``events``: minutes lost per event and scheme; ``fleet``: share of all
        calls refused in the fleet on an ordinary day, by scheme.
    """
    keys = 20 if quick else 100
    events = {event: run_event(event, keys) for event in EVENTS}
    fleet = {}
    day = SERVICES * 1440.0
    for scheme in SCHEMES:
        fail = (
            events["fail, new name"][scheme]["first"]
            + events["fail, same name"][scheme]["first"]
        ) / 2
        one = events["replace one"][scheme]["first"] * REPLACED_A_DAY
        whole = events["replace whole service"][scheme]["first"]
        fleet[scheme] = {
            "one by one": (one + fail * FAILED_A_DAY) / day,
            "whole services": (whole * REPLACED_A_DAY / SIZE + fail * FAILED_A_DAY)
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
        f"keyed calls refused ({REPLACED_A_DAY} replaced, {FAILED_A_DAY} failed a day)"
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
