"""A core process is killed while it creates its data file; later another core machine loses its disk."""

import os
import shutil
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from harness_2 import CannotRun, Operator, Worker, main, plain_config, request  # noqa: E402

# The time for which a machine that loses its disk is down, as on the users' days.
DOWN_S = 1.3
RESTART_S = 1.0
# A lost machine counts as back catchUpS (4 s) after its restart.
CAUGHT_UP_S = 16
# recoveryS is 12 s.
READ_BACK_S = 40
# A kill that comes too late to meet the creation of the file is tried again on an empty disk.
MAX_TRIES = 100
DATA_FILE = "replica.redb"


def lose_disk(host):
    host.kill()
    shutil.rmtree(host.data)
    host.deployment.record.write(f"{host.name} has lost its disk")
    time.sleep(DOWN_S)


def kill_at_creation(process, path):
    """Kills a process as soon as a file has a length."""
    until = time.monotonic() + 5
    while time.monotonic() < until:
        for _ in range(200):
            try:
                if os.stat(path).st_size:
                    os.kill(process.pid, signal.SIGKILL)
                    process.wait()
                    return
            except OSError:
                continue
    raise CannotRun("the data file is not created")


def start_and_kill(host):
    """Starts a host with an empty disk, and kills it while it creates its data file."""
    path = os.path.join(host.data, DATA_FILE)
    for count in range(1, MAX_TRIES + 1):
        host.start(bootstrap=False)
        kill_at_creation(host.process, path)
        with open(path, "rb") as file:
            is_whole = file.read(4) == b"redb"
        if not is_whole:
            host.deployment.record.write(
                f"{host.name} gets SIGKILL while it creates {DATA_FILE}: it has "
                f"{os.path.getsize(path)} bytes and no contents (try {count})")
            return
        shutil.rmtree(host.data)
    raise CannotRun("no kill met the creation of the data file")


def case(deployment, has_trouble):
    first, second, third = deployment.controls
    operator = Operator(deployment)
    for host in deployment.hosts:
        host.start(bootstrap=True)
    Worker(deployment, 1)
    if not operator.replace(plain_config(1), 20):
        raise CannotRun("the system does not start")
    time.sleep(3)
    lose_disk(third)
    if has_trouble:
        start_and_kill(third)
        time.sleep(RESTART_S)
    third.start(bootstrap=False)
    time.sleep(CAUGHT_UP_S)
    if not operator.replace(plain_config(2), 10):
        raise CannotRun("two core machines acknowledge nothing")
    request(deployment, deployment.entries[0], "0000000000000002")
    lose_disk(second)
    second.start(bootstrap=False)
    config = operator.read(READ_BACK_S)
    running = [host.name for host in deployment.hosts if host.is_running()]
    errors = [line for line in third.log().splitlines() if "event=disk_lost" in line]
    deployment.record.write(f"running: {', '.join(running)}")
    deployment.record.write(f"{third.name} has reported disk_lost {len(errors)} times")
    is_acknowledged = operator.replace(plain_config(3), 10)
    return (config is None or config["version"] < 2) and not is_acknowledged


main(case)
