import { ADDRESS_SCHEMA, type RoleContext, RolePlugin, type RunningRole } from "@kumquathall/kernel";
import { ControlRole } from "./controlRole.js";

/** Settings of the control role. */
export interface ControlSettings {
    /** Address for entries and other members. */
    listen: string;
    /** Folder that holds the log and snapshots. */
    dataFolder: string;
    /** All members of the control group, this one included. */
    members: { id: string; address: string }[];
    /** Interval of planning and presence decisions, in milliseconds. */
    decisionIntervalMs: number;
    /** A VM that no entry lists for this long is lost, in milliseconds. */
    lostAfterMs: number;
}

/** Registers the control role. */
export class ControlPlugin extends RolePlugin {
    override readonly name = "control";
    override readonly settingsSchema = {
        type: "object",
        additionalProperties: false,
        required: ["listen", "dataFolder", "members"],
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
            decisionIntervalMs: { type: "integer", minimum: 20, default: 200 },
            lostAfterMs: { type: "integer", minimum: 500, default: 3000 },
        },
    };

    override start(context: RoleContext, roleSettings: unknown): Promise<RunningRole> {
        return ControlRole.start(context, roleSettings as ControlSettings);
    }
}
