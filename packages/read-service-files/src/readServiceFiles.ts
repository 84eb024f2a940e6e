import { describeError, KumquathallError } from "@kumquathall/errors";
import { type ServiceDefinition, ServiceKind } from "@kumquathall/types";
import { Ajv, type ErrorObject } from "ajv";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { type Either, Left, Right } from "purify-ts";

/** File name suffix of service files. */
export const SERVICE_FILE_SUFFIX = ".service.json";
const SKIPPED_FOLDERS = new Set(["node_modules", ".git", "dist"]);

/** One error in a service file. */
export class ServiceFileError extends KumquathallError {
    readonly file: string;
    /** JSON pointer of the field; empty if the error concerns the whole file. */
    readonly field: string;

    constructor(file: string, field: string, message: string) {
        super(`${file}: ${field === "" ? "" : `${field}: `}${message}`);
        this.file = file;
        this.field = field;
    }
}

/** A valid service file with defaults filled in. */
export interface ServiceFile {
    file: string;
    definition: ServiceDefinition;
}

const schema = JSON.parse(readFileSync(new URL("../schema/service.schema.json", import.meta.url), "utf8")) as object;
const validateSchema = new Ajv({ allErrors: true }).compile(schema);

/** Lists the paths of service files below a folder, sorted by name in each folder. */
export function findServiceFiles(folder: string): string[] {
    return readdirSync(folder, { withFileTypes: true })
        .sort((left, right) => left.name < right.name ? -1 : 1)
        .flatMap(item => {
            const path = join(folder, item.name);
            if (item.isDirectory()) {
                return SKIPPED_FOLDERS.has(item.name) ? [] : findServiceFiles(path);
            }
            return item.name.endsWith(SERVICE_FILE_SUFFIX) ? [path] : [];
        });
}

/** Reads all service files below a folder; `Left` holds all errors of all files. */
export function readServiceFiles(folder: string): Either<ServiceFileError[], ServiceFile[]> {
    if (!existsSync(folder)) {
        return Left([new ServiceFileError(folder, "", "folder does not exist")]);
    }
    const paths = findServiceFiles(folder);
    if (paths.length === 0) {
        return Left([new ServiceFileError(folder, "", `no file named *${SERVICE_FILE_SUFFIX} below this folder`)]);
    }
    const results = paths.map(path => validateServiceFile(path, readFileSync(path, "utf8")));
    const files = results.flatMap(result => result.isRight() ? [result.extract()] : []);
    const errors = [
        ...results.flatMap(result => result.isLeft() ? result.extract() : []),
        ...listDuplicates(files),
    ];
    return errors.length > 0 ? Left(errors) : Right(files);
}

/** Validates the text of one service file and fills in defaults. */
export function validateServiceFile(file: string, text: string): Either<ServiceFileError[], ServiceFile> {
    let parsed: unknown;
    try {
        parsed = JSON.parse(text);
    }
    catch (error) {
        return Left([new ServiceFileError(file, "", `invalid JSON: ${describeError(error)}`)]);
    }
    if (!validateSchema(parsed)) {
        return Left((validateSchema.errors ?? []).map(error => toFileError(file, error)));
    }
    const definition = completeDefinition(parsed as Partial<ServiceDefinition>);
    const errors = checkConsistency(file, definition);
    return errors.length > 0 ? Left(errors) : Right({ file, definition });
}

function toFileError(file: string, error: ErrorObject): ServiceFileError {
    const parameters = error.params as { allowedValues?: string[]; additionalProperty?: string };
    if (parameters.additionalProperty !== undefined) {
        return new ServiceFileError(
            file,
            `${error.instancePath}/${parameters.additionalProperty}`,
            "unknown field; remove it or correct its name",
        );
    }
    const allowed = parameters.allowedValues === undefined ? "" : `: ${parameters.allowedValues.join(", ")}`;
    return new ServiceFileError(file, error.instancePath, `${error.message ?? "invalid value"}${allowed}`);
}

const DEFAULT_DEADLINE_MS = 60_000;

function completeDefinition(parsed: Partial<ServiceDefinition>): ServiceDefinition {
    const given = parsed as ServiceDefinition;
    return {
        institution: given.institution,
        service: given.service,
        version: given.version,
        kind: given.kind,
        models: (given.models ?? []).map(model => ({
            name: model.name,
            version: model.version,
            adapters: model.adapters ?? [],
        })),
        replicaGroup: given.replicaGroup ?? { vms: 1, acceleratorsPerVm: 0 },
        capacity: {
            groups: given.capacity.groups ?? (given.kind === ServiceKind.Model ? 1 : 0),
            concurrentRequests: given.capacity.concurrentRequests,
            requestsPerSecond: given.capacity.requestsPerSecond,
        },
        objective: {
            groupDowntime: given.objective?.groupDowntime ?? 1,
            strandedAccelerators: given.objective?.strandedAccelerators ?? 1,
        },
        deadlineMs: given.deadlineMs ?? DEFAULT_DEADLINE_MS,
        accounts: given.accounts.map(account => ({
            name: account.name,
            keyDigest: account.keyDigest,
            weight: account.weight ?? 1,
            priority: account.priority ?? 5,
        })),
        requests: given.requests ?? [],
    };
}

/** Checks the rules that the schema cannot express. */
function checkConsistency(file: string, definition: ServiceDefinition): ServiceFileError[] {
    const errors: ServiceFileError[] = [];
    if (definition.kind === ServiceKind.Model && definition.models.length === 0) {
        errors.push(new ServiceFileError(file, "/models", "a model service needs at least one model"));
    }
    if (definition.kind === ServiceKind.Plain && definition.models.length > 0) {
        errors.push(
            new ServiceFileError(file, "/models", 'a plain service has no models; remove them or set /kind to "model"'),
        );
    }
    const names = definition.accounts.map(account => account.name);
    for (const [index, name] of names.entries()) {
        if (names.indexOf(name) !== index) {
            errors.push(new ServiceFileError(file, `/accounts/${index}/name`, `account "${name}" is declared twice`));
        }
    }
    return errors;
}

function listDuplicates(files: ServiceFile[]): ServiceFileError[] {
    const firstFiles = new Map<string, string>();
    const errors: ServiceFileError[] = [];
    for (const { file, definition } of files) {
        const serviceName = `${definition.institution}/${definition.service}`;
        const firstFile = firstFiles.get(serviceName);
        if (firstFile !== undefined) {
            errors.push(
                new ServiceFileError(
                    file,
                    "/service",
                    `${serviceName} is also declared in ${firstFile}; keep one of them`,
                ),
            );
        }
        firstFiles.set(serviceName, firstFile ?? file);
    }
    return errors;
}
