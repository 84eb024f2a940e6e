import { describeError, KumquathallError } from "@kumquathall/errors";
import { Ajv, type ErrorObject } from "ajv";
import { readFileSync } from "node:fs";
import { type Either, Left, Right } from "purify-ts";
import type { DaemonSettings } from "./daemonSettings.js";
import { listRolePlugins } from "./registry.js";
import { ADDRESS_SCHEMA } from "./schemas.js";

/** An error in a settings file. */
export class SettingsError extends KumquathallError {}

/** Reads and validates a settings file; `Left` holds every error found. */
export function readSettings(file: string): Either<SettingsError[], DaemonSettings> {
    let parsed: unknown;
    try {
        parsed = JSON.parse(readFileSync(file, "utf8"));
    }
    catch (error) {
        return Left([new SettingsError(`${file}: ${describeError(error)}`)]);
    }
    return validateSettings(file, parsed);
}

/** Validates parsed settings against the schemas of the kernel and of all registered roles, and fills in defaults. */
export function validateSettings(file: string, parsed: unknown): Either<SettingsError[], DaemonSettings> {
    const validate = new Ajv({ allErrors: true, useDefaults: true, strict: false }).compile(buildSchema());
    if (!validate(parsed)) {
        return Left((validate.errors ?? []).map(error => new SettingsError(describeSchemaError(file, error))));
    }
    return Right(parsed as DaemonSettings);
}

function buildSchema(): object {
    const roles = Object.fromEntries(listRolePlugins().map(plugin => [plugin.name, plugin.settingsSchema]));
    const name = { type: "string", pattern: "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$" };
    const path = { type: "string", minLength: 1 };
    return {
        type: "object",
        additionalProperties: false,
        required: ["cluster", "region", "dataCentre", "id", "roles"],
        properties: {
            cluster: name,
            region: name,
            dataCentre: name,
            controlGroup: { ...name, default: "default" },
            id: name,
            logLevel: { enum: ["debug", "info", "warn", "error"], default: "info" },
            operations: ADDRESS_SCHEMA,
            tls: {
                type: "object",
                additionalProperties: false,
                required: ["certificateFile", "keyFile", "authorityFile"],
                properties: { certificateFile: path, keyFile: path, authorityFile: path },
            },
            roles: { type: "object", additionalProperties: false, minProperties: 1, properties: roles },
        },
    };
}

function describeSchemaError(file: string, error: ErrorObject): string {
    const parameters = error.params as { additionalProperty?: string; allowedValues?: unknown[] };
    if (parameters.additionalProperty !== undefined) {
        return `${file}: ${error.instancePath}/${parameters.additionalProperty}: unknown field; remove it or correct its name`;
    }
    const allowed = parameters.allowedValues === undefined ? "" : `: ${parameters.allowedValues.join(", ")}`;
    return `${file}: ${error.instancePath || "/"}: ${error.message ?? "invalid value"}${allowed}`;
}
