"""Parts of a decision that can be left out, to measure what each is worth."""

from typing import NamedTuple


class Mechanisms(NamedTuple):
    """Which parts take part; all that are on here do in the product.

    :ivar in_time_first: units that can be in time go before those that can't.
    :ivar packing: tasks go to the fullest rack, and there the fullest runner.
    :ivar rack_patience: gangs and tasks wait for one rack, or that of the data.
    :ivar preemption: urgent units stop others.
    :ivar repeat_loss: runs that were stopped before are spared.
    :ivar reservations: room is kept for blocked units.
    :ivar headroom: tasks by themselves leave room to gangs.
    :ivar evidence: runners with failures or hangs come last.
    :ivar sound_attempts: scarce attempts are spent on sound runners only.
    :ivar breaker: runners that fail what they start pause, and are tried first.
    :ivar retry_pause: a unit pauses before it starts again.
    :ivar warm_first: what can't bear a slow start goes to warm runners, and
        cold ones get work in steps.
    :ivar speeds: gangs get runners of like speed, urgent units the fast ones;
        off until a play shows that callers gain by it.
    :ivar observed_durations: durations are expected as they were observed; off
        until it is known what it does on even loads.
    """

    in_time_first: bool = True
    packing: bool = True
    rack_patience: bool = True
    preemption: bool = True
    repeat_loss: bool = True
    reservations: bool = True
    headroom: bool = True
    evidence: bool = True
    sound_attempts: bool = True
    breaker: bool = True
    retry_pause: bool = True
    warm_first: bool = True
    speeds: bool = False
    observed_durations: bool = False


DEFAULT_MECHANISMS = Mechanisms()
