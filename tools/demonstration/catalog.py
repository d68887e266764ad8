"""The two deployments of the demo.

Rates are requests a second for each unit of ``Sizes.rate_factor``.
"""

from tools.demonstration.deployment import Call, Deployment, Service
from tools.standin.plan import Stream

_PATIENT_MS = 4_000
_PROMPT_MS = 3_000

BRUJULA = Deployment(
    name='brujula-andina',
    rules='brujula-andina.rules',
    places=(
        ('sierra', 'sierra-a'),
        ('costa', 'costa-a'),
        ('austro', 'austro-a'),
        ('sierra', 'sierra-b'),
        ('costa', 'costa-b'),
        ('austro', 'austro-b'),
    ),
    services=(
        Service(
            name='calendario',
            slots=35,
            connections=300,
            calls=(
                Call(
                    service='recorridos',
                    path='/internal/rosters/7',
                    under='/events',
                ),
            ),
        ),
        Service(
            name='inscripcion',
            slots=35,
            connections=300,
            calls=(
                Call(service='salidas', path='/start-lists/7'),
                Call(service='recorridos', path='/internal/maps/7'),
            ),
        ),
        Service(name='recorridos', slots=35, connections=300),
        Service(
            name='salidas',
            slots=5,
            connections=130,
            time_share=0.25,
            calls=(
                Call(
                    service='calendario',
                    path='/internal/timing/7',
                    under='/start-lists',
                ),
            ),
        ),
    ),
    streams=(
        Stream(
            label='critical',
            service='inscripcion',
            method='POST',
            path='/entries/7',
            keyed=True,
            rate_per_s=2.5,
            timeout_ms=_PROMPT_MS,
            surge_factor=2,
        ),
        Stream(
            label='critical-payments',
            service='inscripcion',
            method='POST',
            path='/payments/7/captures/1',
            keyed=True,
            rate_per_s=1,
            timeout_ms=_PROMPT_MS,
            surge_factor=2,
        ),
        Stream(
            label='critical-swaps',
            service='salidas',
            method='POST',
            path='/start-times/swaps/7',
            keyed=True,
            rate_per_s=0.5,
            timeout_ms=_PROMPT_MS,
            surge_factor=2,
        ),
        Stream(
            label='high',
            service='inscripcion',
            path='/entries/7',
            rate_per_s=1,
            timeout_ms=_PATIENT_MS,
            surge_factor=2,
        ),
        Stream(
            label='normal',
            service='calendario',
            path='/events/7',
            rate_per_s=8,
            timeout_ms=_PATIENT_MS,
            surge_factor=5,
        ),
        Stream(
            label='normal-courses',
            service='recorridos',
            path='/courses/7',
            rate_per_s=4,
            timeout_ms=_PATIENT_MS,
            surge_factor=5,
        ),
        Stream(
            label='low',
            service='recorridos',
            path='/internal/rosters/7',
            rate_per_s=3,
            timeout_ms=_PROMPT_MS,
            surge_factor=8,
        ),
    ),
    lost='inscripcion',
)

TUNTIKIRJA = Deployment(
    name='tuntikirja',
    rules='tuntikirja.rules',
    places=(
        ('uusimaa', 'uusimaa-a'),
        ('pirkanmaa', 'pirkanmaa-a'),
        ('varsinais', 'varsinais-a'),
        ('uusimaa', 'uusimaa-b'),
        ('pirkanmaa', 'pirkanmaa-b'),
        ('varsinais', 'varsinais-b'),
    ),
    services=(
        Service(
            name='timesheet',
            slots=35,
            connections=300,
            calls=(
                Call(service='ledger', path='/internal/hours', under='/hours'),
            ),
        ),
        Service(
            name='invoicing',
            slots=35,
            connections=300,
            calls=(Call(service='ledger', path='/internal/matters'),),
        ),
        Service(name='ledger', slots=35, connections=300),
        Service(
            name='trust',
            slots=7,
            connections=140,
            time_share=0.35,
            calls=(Call(service='ledger', path='/internal/accounts'),),
        ),
    ),
    streams=(
        Stream(
            label='critical',
            service='trust',
            method='POST',
            path='/postings/7',
            keyed=True,
            rate_per_s=1.5,
            timeout_ms=_PROMPT_MS,
            surge_factor=2,
        ),
        Stream(
            label='critical-invoices',
            service='invoicing',
            method='POST',
            path='/invoice-runs/7',
            keyed=True,
            rate_per_s=1,
            timeout_ms=_PROMPT_MS,
            surge_factor=2,
        ),
        Stream(
            label='high',
            service='timesheet',
            path='/hours/7',
            rate_per_s=4,
            timeout_ms=_PATIENT_MS,
            surge_factor=2.5,
        ),
        Stream(
            label='normal',
            service='invoicing',
            path='/invoices/7',
            rate_per_s=3,
            timeout_ms=_PATIENT_MS,
            surge_factor=4,
        ),
        Stream(
            label='low',
            service='ledger',
            path='/internal/balances',
            rate_per_s=6,
            timeout_ms=_PROMPT_MS,
            surge_factor=8,
        ),
    ),
    lost='invoicing',
)

DEPLOYMENTS = (BRUJULA, TUNTIKIRJA)
