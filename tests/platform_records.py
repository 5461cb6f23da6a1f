"""Provide sample records and settings in the format of the users' platform."""

CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'ficu95.example',
            'prefix': '/pufi791/',
            'kind': 'non_idempotent',
            'timeoutMs': 1000,
            'targetLatencyMs': 200,
            'priority': 1,
            'service': 'ledger',
            'maxAttempts': 1,
        },
        {
            'name': 'r-2',
            'host': 'ficu95.example',
            'prefix': '/lohu930/',
            'kind': 'streaming',
            'timeoutMs': 12000,
            'targetLatencyMs': 800,
            'priority': 0,
            'trafficSplit': [
                {'service': 'tutor', 'weight': 90},
                {'service': 'tutor-2', 'weight': 10},
            ],
            'maxAttempts': 2,
            'resumable': True,
            'gapAimMs': 250,
        },
        {
            'name': 'r-3',
            'host': 'ficu95.example',
            'prefix': '/read/',
            'kind': 'idempotent',
            'timeoutMs': 1000,
            'service': 'ledger',
            'maxAttempts': 2,
        },
    ],
    'services': [
        {'name': 'tutor', 'maxConns': 370, 'engine': {'slots': 5, 'stride': 3}},
        {'name': 'ledger', 'maxConns': 110},
    ],
    'tenants': [
        {
            'name': 'hule930',
            'apiKeys': ['key-a', 'key-b'],
            'priority': 1,
            'unit': 'tokens',
            'plainTokens': 200,
            'ratePerS': 47000,
            'burst': 65520,
        }
    ],
}

SERVER = {
    'service': 'ledger',
    'address': '10.128.0.9:8080',
    'zone': 'dc-a',
    'version': 'v1',
    'slots': 5,
    'state': 'ready',
    'seq': 4,
}

SETTINGS = """
nodeName = "entry-1"
ip = "127.0.0.1"
zone = "dc-a"
internalPorts = [7600,7615]
heartbeatMs = 1200
unknown = "ignored"
[listen]
front = "127.0.0.1:8221"
ready = "127.0.0.1:8224"
[bounds]
drainMs = 2000
graceS = 8
retryBudgetRatio = 0.2
budgetSlack = 58
[platform]
address = "127.0.0.1:8225"
"""
