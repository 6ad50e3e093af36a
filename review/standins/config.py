"""A configuration like that of a small deployment: a model service and a plain one."""

HOST = "ficu95.example"
KEYS = {"hule930": "n2ctnfzs989anu6wsjnb", "bora117": "k81xw0v3plqmd5tsy2ea"}

DRAFT_SERVICE = "coach-llm"
ASK_SERVICE = "rider-llm"
DESK_SERVICE = "booking-app"

DRAFT = "/lohu930/"
ASK = "/mevi204/"
VIEW = "/puxa403/"
PAY = "/qode518/"


def config(version: int, **route_changes: dict) -> dict:
    """Return a configuration; `route_changes` has fields of routes, by the route's name."""
    stream = {
        "kind": "streaming",
        "service": DRAFT_SERVICE,
        "timeout_ms": 25000,
        "goal_ms": 3000,
        "gap_aim_ms": 1200,
        "priority": 0,
        "max_attempts": 3,
        "resumable": True,
        "sticky": True,
    }
    plain = {"service": DESK_SERVICE, "timeout_ms": 1000, "goal_ms": 125, "priority": 2}
    routes = {
        "draft": {**stream, "prefix": DRAFT},
        "ask": {**stream, "prefix": ASK, "priority": 1, "service": ASK_SERVICE},
        "view": {**plain, "prefix": VIEW, "kind": "idempotent", "max_attempts": 2},
        "pay": {**plain, "prefix": PAY, "kind": "non_idempotent", "max_attempts": 1},
    }
    model_service = {
        "health_path": "/health",
        "max_conns": 360,
        "cold_s": 3.0,
        "cold_per_s": 13.0,
        "engine": {
            "capacity": 64,
            "kv_capacity": 623351,
            "stride": 6,
            "models": [{"name": "daka510000", "cost": 0.1}],
        },
    }
    desk_service = {"health_path": "/health", "max_conns": 96, "cold_s": 0.0, "cold_per_s": 0.0}
    return {
        "version": version,
        "routes": [
            {"name": name, "host": HOST, **route, **route_changes.get(name, {})}
            for name, route in routes.items()
        ],
        "services": [
            {"name": DRAFT_SERVICE, **model_service},
            {"name": ASK_SERVICE, **model_service},
            {"name": DESK_SERVICE, **desk_service},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 10000,
            "idle_timeout_ms": 60000,
        },
        "tenants": [{"name": name, "api_keys": [key]} for name, key in KEYS.items()],
    }
