import type { ConsensusRuntime } from "@kumquathall/consensus";
import { computeInstitutionMetrics, getTraffic, listSuspects } from "@kumquathall/control-state";
import type { Command, CommandResult } from "@kumquathall/types";
import { Gauge, type Registry } from "prom-client";
import type { ControlStateMachine } from "./controlStateMachine.js";

const MS_PER_SECOND = 1000;

export interface ControlMetricSources {
    runtime: ConsensusRuntime<Command, CommandResult>;
    stateMachine: ControlStateMachine;
    /** Whether a write of this member waits for room on its disk. */
    isDiskFull: () => boolean;
}

/** Registers the gauges of a control member; values are read when metrics are collected. */
export function registerControlMetrics(
    metrics: Registry,
    { runtime, stateMachine, isDiskFull }: ControlMetricSources,
): void {
    const registers = [metrics];
    addGauge(registers, "kumquathall_control_is_leader", "1 on the leader", () => runtime.canServe() ? 1 : 0);
    addGauge(
        registers,
        "kumquathall_control_disk_full",
        "1 while a write waits for room on the disk",
        () => isDiskFull() ? 1 : 0,
    );
    addGauge(registers, "kumquathall_control_term", "Current term", () => runtime.getState().hardState.term);
    addGauge(
        registers,
        "kumquathall_control_commit_index",
        "Newest committed entry",
        () => runtime.getState().commitIndex,
    );
    addGauge(
        registers,
        "kumquathall_control_log_entries",
        "Entries in memory",
        () => runtime.getState().entries.length,
    );
    addGauge(
        registers,
        "kumquathall_configuration_revision",
        "Configuration revision",
        () => stateMachine.getState().configuration.revision,
    );
    addGauge(
        registers,
        "kumquathall_configuration_version",
        "Version of the newest traffic configuration that this member has applied",
        () => getTraffic(stateMachine.getState().configuration)?.version ?? 0,
    );
    addGauge(
        registers,
        "kumquathall_ledger_keys",
        "Keys in the at-most-once ledger",
        () => stateMachine.getState().ledger.size,
    );
    addGauge(
        registers,
        "kumquathall_quarantined",
        "What is quarantined because it ended the engines or endpoints that ran it",
        () => listSuspects(stateMachine.getState().configuration).filter(suspect => suspect.quarantined).length,
    );
    new Gauge({
        name: "kumquathall_group_downtime_seconds",
        help: "Seconds for which declared replica groups were not serving, summed over groups",
        labelNames: ["institution"],
        registers,
        collect() {
            for (const [institution, sum] of stateMachine.getState().metricTotals.groupDowntimeMs) {
                this.set({ institution }, sum / MS_PER_SECOND);
            }
        },
    });
    new Gauge({
        name: "kumquathall_stranded_accelerators",
        help: "Accelerators outside any serving group, divided among institutions by what they hold",
        labelNames: ["institution"],
        registers,
        collect() {
            for (const item of computeInstitutionMetrics(stateMachine.getState())) {
                this.set({ institution: item.institution }, item.strandedAccelerators);
            }
        },
    });
}

function addGauge(registers: Registry[], name: string, help: string, read: () => number): void {
    new Gauge({
        name,
        help,
        registers,
        collect() {
            this.set(read());
        },
    });
}
