import { Gauge, type Registry } from "prom-client";

export interface AgentGauges {
    countRunning: () => number;
    hasLease: () => boolean;
}

/** Registers the gauges of an agent. */
export function registerAgentMetrics(metrics: Registry, gauges: AgentGauges): void {
    const registers = [metrics];
    new Gauge({
        name: "kumquathall_agent_running",
        help: "Requests that run on this endpoint",
        registers,
        collect() {
            this.set(gauges.countRunning());
        },
    });
    new Gauge({
        name: "kumquathall_agent_configuration_lease",
        help: "1 while this agent can confirm its configuration",
        registers,
        collect() {
            this.set(gauges.hasLease() ? 1 : 0);
        },
    });
}
