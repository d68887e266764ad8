"""Texts that other writers may leave where an entry or a message belongs."""

import json

DEPTH = 100_000
DEEP = '[' * DEPTH + ']' * DEPTH
DEEP_OBJECT = '{"a":' * DEPTH + '1' + '}' * DEPTH
HUGE = 10**30

_ENTRY = {
    'instance': 'i-odd',
    'started_ms': 1,
    'service': 'entries',
    'place': {'region': 'r0', 'failure_domain': 'd0'},
    'node': {'host': '10.9.9.9', 'port': 1},
    'slots': 6,
    'state': 'serving',
    'gossip_port': 2,
}


def _entry(**changes):
    return json.dumps({**_ENTRY, **changes})


def _node(host='10.9.9.9', port=1):
    return {'host': host, 'port': port}


# By what is odd about them; none of them names a target to use.
ODD_ENTRIES = {
    'nested deeply': DEEP,
    'an object nested deeply': DEEP_OBJECT,
    'a deep field': _entry(slots='X').replace('"X"', DEEP),
    'a deep unknown list in place of an entry': f'{{"x": {DEEP}}}',
    'a number too large': _entry(slots=HUGE),
    'a time too large': _entry(started_ms=HUGE),
    'a number with 5000 digits': _entry(slots='X').replace('"X"', '9' * 5000),
    'a negative number': _entry(slots=-1),
    'an infinite number': _entry(slots='X').replace('"X"', '1e999'),
    'a port out of range': _entry(node=_node(port=70_000)),
    'port 0': _entry(node=_node(port=0)),
    'a negative port': _entry(node=_node(port=-1)),
    'a gossip port out of range': _entry(gossip_port=65_536),
    'a host name': _entry(node=_node(host='example.com')),
    'a host with a zero byte': _entry(node=_node(host='10.0.0.1\0')),
    'a host out of range': _entry(node=_node(host='10.0.0.256')),
    'a host with a line end': _entry(node=_node(host='10.0.0.1\n')),
    'an empty host': _entry(node=_node(host='')),
    'a long host': _entry(node=_node(host='1' * 100_000)),
    'a long service': _entry(service='s' * 100_000),
    'a field of another type': _entry(node='10.0.0.1:1'),
    'a missing field': '{"instance": "i-odd"}',
    'an unknown state': _entry(state='resting'),
    'a large object': _entry(state='resting', filler='x' * 900_000),
    'a list': '[]',
    'a number': '1',
    'null': 'null',
    'a text': '"entry"',
}

# Datagrams and header values, none of which is a message.
ODD_MESSAGES = {
    'empty': b'',
    'no JSON': b'\x00\xff',
    'not Unicode': b'["q","\xff"]',
    'nested deeply': b'[' * 60_000,
    'a deep unknown part': b'["q","n",[0,0,0,0],5,[],' + b'[' * 50_000,
    'a deep known part': b'["q","n",' + b'[' * 20_000 + b']' * 20_000 + b']',
    'a number too large': b'["q","n",[%d,0,0,0],5,[]]' % HUGE,
    'a negative number': b'["q","n",[-1,0,0,0],5,[]]',
    'a version too large': b'["q","n",[0,0,%d,0],5,[]]' % HUGE,
    'an age below unknown': b'["q","n",[0,0,0,-2],5,[]]',
    'a revision too large': b'["q","n",[0,0,0,0],5,[["k",%d,"x"]]]' % HUGE,
    'a name too long': b'["q","%s",[0,0,0,0],5,[]]' % (b'n' * 5000),
    'an unknown kind': b'["zz","n",[0,0,0,0],5,[]]',
    'an object': b'{}',
    'cut short': b'["q","n",[0,0',
    'a crash in the far past': b'["sp","s",0,0,[["ab",[["i",1,%d]],-1]]]'
    % HUGE,
}
