"""Days of the users' bench with troubles at drawn moments; what pair_days and single_days share."""

KINDS = [
    '{ kind="add_nodes" }',
    '{ kind="after_ack_kill", count=2, for_s=3.0 }',
    '{ kind="answer_lost", x=0.05, share=0.6, for_s=5.0 }',
    '{ kind="big_config", count=350 }',
    '{ kind="clock_step", x=3000, share=0.4, for_s=4.0 }',
    '{ kind="clock_step", x=3000, share=0.4, for_s=4.0, how="back" }',
    '{ kind="config_storm", for_s=4.0, gap_s=0.3 }',
    '{ kind="core_cut", count=1, for_s=5.0, how="all" }',
    '{ kind="core_cut", count=1, for_s=5.0, how="near" }',
    '{ kind="core_cut", count=2, for_s=5.0, how="one_way" }',
    '{ kind="core_cut", count=3, for_s=5.0, how="refuse" }',
    '{ kind="garble", x=0.1, share=0.5, for_s=5.0, how="early" }',
    '{ kind="garble", x=0.05, share=0.5, for_s=5.0, how="extra" }',
    '{ kind="garble", x=0.05, share=0.5, for_s=5.0, how="unframed" }',
    '{ kind="garble", x=0.05, share=0.5, for_s=5.0 }',
    '{ kind="give_up", x=150, share=0.2, for_s=5.0 }',
    '{ kind="herd_kill", share=0.6, how="power", for_s=2.0 }',
    '{ kind="herd_kill", how="taken power", for_s=1.0 }',
    '{ kind="herd_kill", on="core", how="off", for_s=1.5 }',
    '{ kind="hup", share=0.5 }',
    '{ kind="lossy", x=0.03, for_s=5.0 }',
    '{ kind="node_cut", share=0.2, for_s=5.0 }',
    '{ kind="node_cut", share=0.2, for_s=5.0, how="all" }',
    '{ kind="node_cut", share=0.3, for_s=5.0, how="servers" }',
    '{ kind="node_freeze", share=0.3, for_s=4.0 }',
    '{ kind="node_slow", share=0.3, x=8, for_s=5.0 }',
    '{ kind="node_kill", share=0.3, for_s=3.0, how="power" }',
    '{ kind="platform_compact", x=5, for_s=8.0, how="drain" }',
    '{ kind="platform_down", how="nodes", share=0.35, for_s=5.0 }',
    '{ kind="platform_down", how="nodes busy", share=0.35, for_s=5.0 }',
    '{ kind="platform_down", how="nodes many leader", share=0.35, for_s=5.0 }',
    '{ kind="platform_down", how="nodes reset", share=0.35, for_s=5.0 }',
    '{ kind="platform_down", how="silent lapse", for_s=4.5 }',
    '{ kind="platform_down", how="busy", for_s=4.5 }',
    '{ kind="platform_down", how="reset lapse", share=0.4, for_s=5.0 }',
    '{ kind="platform_lost", x=0.4, for_s=4.5 }',
    '{ kind="platform_lost", x=0.4, for_s=4.5, how="late" }',
    '{ kind="platform_slow", x=60, for_s=4.5 }',
    '{ kind="release", share=0.5, gap_s=1.0 }',
    '{ kind="replace_with_reuse", share=0.2 }',
    '{ kind="replace_with_reuse", share=0.2, how="dark" }',
    '{ kind="replace_with_reuse", share=0.2, how="drain" }',
    '{ kind="reset_conns", share=0.3, x=0.5 }',
    '{ kind="roll_term", share=0.5, gap_s=1.3 }',
    '{ kind="roll_term", share=0.5, gap_s=1.3, how="busy" }',
    '{ kind="scale_in", share=0.2 }',
    '{ kind="scale_in", share=0.2, how="spot" }',
    '{ kind="scale_out", share=0.3 }',
    '{ kind="srv_crash", share=0.15, for_s=4.5 }',
    '{ kind="srv_crash", share=0.15, for_s=4.5, how="dark" }',
    '{ kind="srv_cut", share=0.2, for_s=5.0 }',
    '{ kind="srv_cut", share=0.2, for_s=5.0, how="fronts" }',
    '{ kind="srv_cut", share=0.2, for_s=5.0, how="one_way" }',
    '{ kind="srv_cut", share=0.2, for_s=5.0, how="reset" }',
    '{ kind="srv_cut", share=0.2, for_s=5.0, how="some" }',
    '{ kind="srv_grey", share=0.15, x=0.4, for_s=5.0, how="errors" }',
    '{ kind="srv_grey", share=0.15, x=0.4, for_s=5.0, how="hang" }',
    '{ kind="srv_grey", share=0.15, x=0.4, for_s=5.0, how="mute" }',
    '{ kind="srv_grey", share=0.15, x=0.4, for_s=5.0, how="reset" }',
    '{ kind="srv_grey", share=0.15, x=8, for_s=5.0, how="slow" }',
    '{ kind="srv_slow", share=0.2, x=4, for_s=5.0 }',
    '{ kind="burst", x=2.0, for_s=5.0 }',
    '{ kind="config_change", how="route weights" }',
    '{ kind="config_change", how="timeout" }',
]
CLOSINGS = [
    'closing = { kind = "power_off_all", down_s = 1.0, how = "all taken" }',
    'closing = { kind = "kill_all", down_s = 0.7 }',
    'closing = { kind = "power_off_all", down_s = 1.0, how = "timed" }',
    '',
]
PLANNED = ("add_nodes", "big_config", "config_storm", "release", "roll_term", "scale_in",
           "scale_out", "hup", "config_change")
TIMES = ((2, 8), (11, 17), (20, 27))


def is_planned(kind):
    return any('"%s"' % name in kind for name in PLANNED)


def day(name, kinds, generator, closing=""):
    """One day as TOML in which each of these troubles comes three times."""
    planned = []
    faults = []
    for kind in kinds:
        for first, last in TIMES:
            entry = kind.replace("{ ", "{ at=%.2f, " % generator.uniform(first, last), 1)
            (planned if is_planned(kind) else faults).append(entry)
    return "\n".join([
        'name = "%s"' % name, 'slot = "trouble"', "seed = %d" % generator.randrange(10**9),
        "one = 1.0", "zero = 0.0", closing, "goal = { floor = 0.1 }",
        "labels = []", "wall = 5.0",
        "plan = [\n  %s\n]" % ",\n  ".join(planned),
        "faults = [\n  %s\n]" % ",\n  ".join(faults), ""])
