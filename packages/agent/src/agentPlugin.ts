import {
    ADDRESS_LIST_SCHEMA,
    ADDRESS_SCHEMA,
    type RoleContext,
    RolePlugin,
    type RunningRole,
} from "@kumquathall/kernel";
import { AgentRole } from "./agentRole.js";
import type { AgentSettings } from "./agentSettings.js";

/** Registers the agent role. */
export class AgentPlugin extends RolePlugin {
    override readonly name = "agent";
    override readonly settingsSchema = {
        type: "object",
        additionalProperties: false,
        required: ["vm", "fabricDomain", "accelerators", "listen", "entries", "engine"],
        properties: {
            vm: { type: "string", minLength: 1 },
            fabricDomain: { type: "string", minLength: 1 },
            accelerators: { type: "integer", minimum: 0 },
            listen: ADDRESS_SCHEMA,
            entries: ADDRESS_LIST_SCHEMA,
            engine: {
                type: "object",
                additionalProperties: false,
                required: ["kind", "url"],
                properties: {
                    kind: { enum: ["model", "plain"] },
                    url: { type: "string", pattern: "^http://" },
                    fencing: { enum: ["enforced", "ignored"], default: "enforced" },
                    service: { type: "string", pattern: "^[^/]+/[^/]+$" },
                },
            },
            maxRunning: { type: "integer", minimum: 1, default: 256 },
            maxHeldBytes: { type: "integer", minimum: 65536, default: 33554432 },
        },
    };

    override start(context: RoleContext, roleSettings: unknown): Promise<RunningRole> {
        return AgentRole.start(context, roleSettings as AgentSettings);
    }
}
