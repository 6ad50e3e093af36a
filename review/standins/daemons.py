"""Starts daemons as the deploy file says: as processes, with a settings file each."""

import asyncio
import os
import signal
import subprocess
import tomllib
from pathlib import Path
from random import SystemRandom

from review.standins import http1

ROOT = Path(__file__).resolve().parents[2]
PORTS = {"front": 8227, "ready": 8220, "control": 8229, "relay": 7340}

BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "strict_revoke": "false",
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.9,
    "budget_window_s": 10,
    "retry_slack": 52,
    "expose_share": 0.15,
    "expose_slack": 30,
    "rollback_ms": 5000,
    "cold_over": 1.5,
    "cold_slack": 5,
    "evac_ms": 5000,
    "recover_s": 12,
    "pass_ms": 120,
    "again_s": 10,
    "session_s": 5,
}


class Daemon:
    """One daemon on a loopback address of its own, which stands for its machine."""

    def __init__(self, name: str, host: str, zone: str, settings: Path) -> None:
        self.name = name
        self.host = host
        self.zone = zone
        self.settings = settings
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, log: Path) -> None:
        with (ROOT / "deploy/system.toml").open("rb") as file:
            (role,) = tomllib.load(file)["roles"].values()
        inherited = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in inherited if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["COMFREYHATCH_SETTINGS"] = str(self.settings)
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with log.open("ab") as output:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=env, stdout=output, stderr=output
            )

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once and wait for its end."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()
            self.process = None

    async def ready(self) -> bool:
        answer = await http1.request(
            self.host, PORTS["ready"], "GET", "/ready", {"host": "ready"}, timeout_s=1.0
        )
        return answer is not None and answer.status == 200


class Fleet:
    """Daemons in zones; each one has a loopback address of the run."""

    def __init__(self, folder: Path, store_address: str, zones: list[str]) -> None:
        rng = SystemRandom()
        self._net = f"127.{rng.randrange(20, 250)}.{rng.randrange(1, 250)}"
        self._folder = folder
        self._store = store_address
        self._zones = zones
        self.log = folder / "daemons.log"
        self.daemons: list[Daemon] = []

    @property
    def net(self) -> str:
        return self._net

    def add(self, zone: str, memory_mb: int = 300, **bounds: object) -> Daemon:
        number = len(self.daemons) + 1
        host = f"{self._net}.{number}"
        seeds = ",".join(f"{self._net}.{n}:{PORTS['control']}" for n in (1, 2, 3))
        name = f"front-{zone}-{number}"
        lines = {
            "node_name": name,
            "role": "router",
            "machine_class": "front",
            "serves": "front,control",
            "ip": host,
            "zone": zone,
            "region": "central",
            **{f"zones.{z}": "central" for z in self._zones},
            "bind.front": f"{host}:{PORTS['front']}",
            "bind.ready": f"{host}:{PORTS['ready']}",
            "bind.control": f"{host}:{PORTS['control']}",
            "port_range": f"{PORTS['relay']},{PORTS['relay'] + 15}",
            "seeds": seeds,
            "bootstrap": "true",
            "limits.memory_mb": memory_mb,
            "limits.max_fds": 4100,
            "limits.link_mbps": 1000.0,
            "limits.disk_mb": 0,
            "discovery": "platform",
            "entry": "virtual_ip",
            "heartbeat_ms": 1200,
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,places,"
            "platform,rollout",
            **{f"bounds.{key}": value for key, value in {**BOUNDS, **bounds}.items()},
            "platform.address": self._store,
            "platform.form": "table",
            "platform.writes_per_s": 400,
            "platform.reads_per_s": 2000,
            "platform.history_s": 20,
            "platform.row_bytes": 65536,
        }
        settings = self._folder / f"{name}.conf"
        settings.write_text("".join(f"{key}={value}\n" for key, value in lines.items()))
        daemon = Daemon(name, host, zone, settings)
        self.daemons.append(daemon)
        return daemon

    async def start_all(self, timeout_s: float = 20.0) -> bool:
        """Start all daemons; return whether all became ready."""
        for daemon in self.daemons:
            daemon.start(self.log)
        return await self.wait_ready(timeout_s)

    async def wait_ready(self, timeout_s: float) -> bool:
        until = asyncio.get_running_loop().time() + timeout_s
        while asyncio.get_running_loop().time() < until:
            if all(await asyncio.gather(*(daemon.ready() for daemon in self.daemons))):
                return True
            await asyncio.sleep(0.2)
        return False

    def close(self) -> None:
        for daemon in self.daemons:
            daemon.kill()
