"""Enforce the teams' quotas of running tasks and of accelerators."""

import attrs

from azurelanding import quarantine
from azurelanding.rules import TeamRule

MIN_SHARE = 0.001


@attrs.frozen
class OtherPoolsUsage:
    """What each team runs in the other pools that the daemon controls."""

    tasks: dict[str, int] = attrs.field(factory=dict)
    accelerators: dict[str, int] = attrs.field(factory=dict)


NO_OTHER_USAGE = OtherPoolsUsage()


class Usage:
    """The running tasks and accelerators of teams and the running tasks of jobs.

    It is updated with each placement of a pass.
    """

    def __init__(self, rule_set, usage_in_other_pools):
        self.rule_set = rule_set
        self.tasks = dict(usage_in_other_pools.tasks)
        self.accelerators = dict(usage_in_other_pools.accelerators)
        self.jobs = {}

    @classmethod
    def from_running(cls, running, rule_set, usage_in_other_pools=NO_OTHER_USAGE):
        """Return the usage of ``running``, which maps job and team to a task count."""
        usage = cls(rule_set, usage_in_other_pools)
        for (job, team), count in running.items():
            usage.add(job, team, count)
        return usage

    def add(self, job, team, count):
        """Add ``count`` running tasks of ``job`` and ``team``."""
        rule = self.rule_set.jobs.get(job)
        accelerators = count * rule.accelerators if rule else 0
        self.tasks[team] = self.tasks.get(team, 0) + count
        self.accelerators[team] = self.accelerators.get(team, 0) + accelerators
        self.jobs[job] = self.jobs.get(job, 0) + count

    def team_rule(self, team):
        """Return the ``TeamRule`` of ``team``, a default one if none is declared."""
        return self.rule_set.teams.get(team) or TeamRule(team)

    def tasks_per_share(self, team):
        """Return the running tasks of the team divided by its share.

        A share below ``MIN_SHARE``, such as 0, counts as ``MIN_SHARE``.
        """
        share = max(self.team_rule(team).share, MIN_SHARE)
        return self.tasks.get(team, 0) / share

    def over_quota_reason(self, rule, team):
        """Return why quotas forbid ``team`` one more task of ``rule``, or ``""``."""
        quota, used = self.team_rule(team), self.tasks.get(team, 0)
        if used >= quota.tasks:
            return f"team {team} runs {used} tasks, its quota is {quota.tasks}"
        held = self.accelerators.get(team, 0)
        if rule.accelerators and held + rule.accelerators > quota.accelerators:
            text = f"team {team} holds {held} accelerators"
            return f"{text}, its quota is {quota.accelerators}"
        return ""

    def job_held_reason(self, rule, health, now):
        """Return why the job may not start one more task now, or ``""``."""
        limit = quarantine.job_limit(health, rule.name, now)
        if limit is None or self.jobs.get(rule.name, 0) < limit:
            return ""
        failed_on = ", ".join(sorted(health.jobs[rule.name].failed_on))
        text = f"job {rule.name} failed on {failed_on}, which run other jobs"
        return f"{text}; one task at a time is tried"
