import { ADDRESS_SCHEMA, type RoleContext, RolePlugin, type RunningRole } from "@kumquathall/kernel";
import { EntryRole } from "./entryRole.js";
import type { EntrySettings } from "./entrySettings.js";

/** Registers the entry role. */
export class EntryPlugin extends RolePlugin {
    override readonly name = "entry";
    override readonly settingsSchema = {
        type: "object",
        additionalProperties: false,
        required: ["http", "listen", "control"],
        properties: {
            http: ADDRESS_SCHEMA,
            listen: ADDRESS_SCHEMA,
            control: {
                type: "array",
                minItems: 1,
                items: {
                    type: "object",
                    additionalProperties: false,
                    required: ["id", "address"],
                    properties: { id: { type: "string", minLength: 1 }, address: ADDRESS_SCHEMA },
                },
            },
            operators: {
                type: "array",
                default: [],
                items: {
                    type: "object",
                    additionalProperties: false,
                    required: ["name", "keyDigest", "rights"],
                    properties: {
                        name: { type: "string", minLength: 1 },
                        keyDigest: { type: "string", pattern: "^[0-9a-f]{64}$" },
                        rights: { type: "array", items: { enum: ["read", "publish", "drain"] } },
                    },
                },
            },
            routingPolicy: { type: "string", default: "prefix-affinity" },
            maxBodyBytes: { type: "integer", minimum: 1024, maximum: 4194304, default: 1048576 },
            requestTimeoutMs: { type: "integer", minimum: 100, default: 10000 },
            onControlLoss: { enum: ["refuse", "serve"], default: "refuse" },
            stopGraceMs: { type: "integer", minimum: 0, default: 2000 },
            httpsFiles: {
                type: "object",
                additionalProperties: false,
                required: ["certificateFile", "keyFile"],
                properties: {
                    certificateFile: { type: "string", minLength: 1 },
                    keyFile: { type: "string", minLength: 1 },
                },
            },
        },
    };

    override start(context: RoleContext, roleSettings: unknown): Promise<RunningRole> {
        return EntryRole.start(context, roleSettings as EntrySettings);
    }
}
