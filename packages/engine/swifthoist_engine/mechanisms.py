"""Scheduler mechanisms that can be turned off to measure their effect."""

from typing import NamedTuple


class Mechanisms(NamedTuple):
    """Which mechanisms are enabled; the defaults are those used in production.

    :ivar in_time_first: units that can meet their objective go before others.
    :ivar packing: tasks go to the fullest rack and the fullest runner on it.
    :ivar rack_patience: gangs wait for a single rack, and tasks for the rack of
        their data.
    :ivar preemption: urgent units preempt other runs.
    :ivar repeat_loss: runs of units that ran before are less likely victims.
    :ivar reservations: room is reserved for blocked units.
    :ivar headroom: single tasks leave room for urgent gangs.
    :ivar evidence: runners with failures or hangs are used last.
    :ivar sound_attempts: units with few attempts left use healthy runners only.
    :ivar breaker: runners on which starts fail are paused, and tried before
        they are used again.
    :ivar retry_pause: a unit pauses before its next start.
    :ivar warm_first: units that do not tolerate a slow start go to warm
        runners, and cold ones are ramped up in steps.
    :ivar speeds: gangs get runners of similar speed, and urgent units the fast
        ones; off until a simulation shows a benefit for callers.
    :ivar observed_durations: durations are estimated from observed runs; off
        until its effect on even loads is known.
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
