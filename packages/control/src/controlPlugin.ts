import {
    ADDRESS_LIST_SCHEMA,
    ADDRESS_SCHEMA,
    type RoleContext,
    RolePlugin,
    type RunningRole,
} from "@kumquathall/kernel";
import { ControlRole } from "./controlRole.js";
import type { ControlSettings } from "./controlSettings.js";

/** Registers the control role. */
export class ControlPlugin extends RolePlugin {
    override readonly name = "control";
    override readonly settingsSchema = {
        type: "object",
        additionalProperties: false,
        required: ["listen", "dataFolder"],
        oneOf: [{ required: ["members"] }, { required: ["founding"] }],
        properties: {
            listen: ADDRESS_SCHEMA,
            dataFolder: { type: "string", minLength: 1 },
            members: {
                type: "array",
                minItems: 1,
                items: {
                    type: "object",
                    additionalProperties: false,
                    required: ["id", "address"],
                    properties: { id: { type: "string", minLength: 1 }, address: ADDRESS_SCHEMA },
                },
            },
            founding: {
                type: "object",
                additionalProperties: false,
                required: ["seeds", "isFirstStart", "targetMembers"],
                properties: {
                    seeds: ADDRESS_LIST_SCHEMA,
                    isFirstStart: { type: "boolean" },
                    targetMembers: { type: "integer", minimum: 1 },
                },
            },
            decisionIntervalMs: { type: "integer", minimum: 20, default: 200 },
            snapshotEvery: { type: "integer", minimum: 10, default: 4000 },
            lostAfterMs: { type: "integer", minimum: 500, default: 3000 },
        },
    };

    override start(context: RoleContext, roleSettings: unknown): Promise<RunningRole> {
        return ControlRole.start(context, roleSettings as ControlSettings);
    }
}
