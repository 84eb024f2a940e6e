/** Settings of the agent role. */
export interface AgentSettings {
    /** Name of the VM. */
    vm: string;
    fabricDomain: string;
    accelerators: number;
    /** Address on which the head of a replica group requests leases from this member. */
    listen: string;
    /** Addresses of the entries that this agent connects to. */
    entries: string[];
    engine: {
        kind: "model" | "plain";
        url: string;
        /** Whether the engine itself refuses orders with outdated fencing numbers. */
        fencing: "enforced" | "ignored";
        /** For a plain service: `institution/service`. */
        service?: string;
    };
    /** Maximum number of requests that run at once. */
    maxRunning: number;
    /** Maximum number of response bytes that are buffered for slow or disconnected callers. */
    maxHeldBytes: number;
}
