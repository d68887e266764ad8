"""Versioned rules without a node: two operators, and a reader that lags."""

from fescueknot.clock import SystemClock
from fescueknot.objectapi.memory_store import MemoryStore
from fescueknot.rules.edit import Edit
from fescueknot.rules.errors import BaseMoved
from fescueknot.rules.in_force import RulesInForce
from fescueknot.rules.log_view import RULES_PREFIX, messages_of
from fescueknot.rules.publisher import RulesPublisher

ENTRIES = 'inscripcion POST /entries/** class=critical at-most-once  # Marta\n'
BROWSING = 'calendario GET /events/** class=normal retry=idempotent  # Paúl\n'


def edit(text: str, *, author: str, base: int) -> Edit:
    """Return an edit of version ``base``."""
    return Edit(text=text, file='example', author=author, base_version=base)


def main() -> None:
    """Apply, race, and read."""
    store = MemoryStore()
    publisher = RulesPublisher(store=store, clock=SystemClock())
    first = publisher.apply(edit(ENTRIES, author='Marta', base=0))
    late_message = first.entry
    publisher.apply(edit(ENTRIES + BROWSING, author='Marta', base=1))
    try:
        publisher.apply(edit(BROWSING, author='Paúl', base=1))
    except BaseMoved as refused:
        print(f'refused: {refused}')

    node = RulesInForce()
    for message in messages_of(store.list(RULES_PREFIX)):
        print(node.offer(message))
    print(node.offer(late_message))
    policy = node.rules.match(
        service='inscripcion', method='POST', path='/entries/7'
    )
    print(f'version {node.version}: {policy}')


if __name__ == '__main__':
    main()
