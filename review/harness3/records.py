"""Build the records that operators write into the store."""

from review.harness3.lab import HOST, KEY

LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 4194304,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}


def make_route(name: str, service: str) -> dict[str, object]:
    """Return a route whose requests run once at most."""
    return {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': 'non_idempotent',
        'timeoutMs': 1000,
        'targetLatencyMs': 200,
        'priority': 0,
        'service': service,
        'maxAttempts': 1,
        'public': False,
    }


def make_config(routes: list[dict[str, object]], version: int = 1) -> dict[str, object]:
    """Return a configuration with one tenant."""
    services = sorted({str(route['service']) for route in routes})
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': name, 'healthPath': '/healthz', 'maxConns': 110}
            for name in services
        ],
        'limits': LIMITS,
        'tenants': [{'name': 'parents', 'apiKeys': [KEY], 'priority': 1}],
    }
