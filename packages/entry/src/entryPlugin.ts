import { ADDRESS_SCHEMA, type RoleContext, RolePlugin, type RunningRole } from "@kumquathall/kernel";
import { EntryRole } from "./entryRole.js";

/** What an operator's key allows. */
export type OperatorRight = "read" | "publish" | "drain";

export interface OperatorAccount {
    name: string;
    /** Hexadecimal SHA-256 of the operator's key. */
    keyDigest: string;
    rights: OperatorRight[];
}

/** Settings of the entry role. */
export interface EntrySettings {
    /** Address for callers and operators. */
    http: string;
    /** Address for agents. */
    listen: string;
    control: { id: string; address: string }[];
    operators: OperatorAccount[];
    routingPolicy: string;
    maxBodyBytes: number;
    /** Time a caller may take to send its whole request, in milliseconds. */
    requestTimeoutMs: number;
    /** `refuse`: without a configuration lease take no new work. `serve`: go on under terms that may be out of force. */
    onControlLoss: "refuse" | "serve";
    /** How long the entry goes on accepting after its readiness check fails, in milliseconds. */
    stopGraceMs: number;
    /** TLS for callers and operators; plain HTTP without it. */
    httpsFiles?: { certificateFile: string; keyFile: string };
}

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
